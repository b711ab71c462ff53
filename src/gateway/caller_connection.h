// HTTP server of a gateway for its callers.
#ifndef SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_
#define SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "gateway/body_buffer.h"
#include "gateway/caller_memory.h"
#include "gateway/routes.h"
#include "net/event_loop.h"
#include "net/http_reader.h"
#include "net/http_writer.h"
#include "net/tcp_connection.h"
#include "net/tcp_listener.h"

namespace sycamorebend::gateway {

class CallerConnection;

// One request of a caller and its response. The methods that send the response
// do nothing once the caller has disconnected.
class CallerExchange {
 public:
  CallerExchange(std::shared_ptr<CallerConnection> connection,
                 net::MessageHead head,
                 std::string body,
                 TimePoint received_at);

  const net::MessageHead& Head() const { return this->head; }
  const std::string& Body() const { return this->body; }
  // Time when the head of the request was complete.
  TimePoint ReceivedAt() const { return this->received_at; }

  void Respond(int status, const HttpHeaders& headers, std::string_view body);
  // Begins a response of unknown length, which is continued by Write and ended
  // by Finish or Abort.
  void Start(int status, const HttpHeaders& headers);
  void Write(std::string_view data);
  void Finish();
  // Ends the connection without ending the response, so that the caller detects
  // the truncation.
  void Abort();

  // @param callback called once if the caller disconnects before the response
  // is complete.
  void OnDisconnect(std::function<void()> callback) {
    this->on_disconnect = std::move(callback);
  }
  bool Disconnected() const { return this->connection == nullptr; }
  bool Started() const { return this->started; }
  // @return true if only the end of the connection marks that of the response.
  bool EndsWithConnection() const {
    return this->started && this->framing == net::BodyFraming::kUntilClose;
  }
  std::size_t UnsentBytes() const;

 private:
  friend class CallerConnection;

  std::shared_ptr<CallerConnection> connection;
  const net::MessageHead head;
  const std::string body;
  const TimePoint received_at;
  std::function<void()> on_disconnect;
  net::BodyFraming framing = net::BodyFraming::kChunked;
  bool started = false;
};

class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  virtual void Handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

// What a server may take of the resources of its process.
struct CallerServerLimits {
  // Counts the memory of all connections; nullptr: not limited.
  CallerMemory* memory = nullptr;
  // Includes the connections that are being closed.
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

// Why a connection was closed because there were too many.
enum class CrowdedOut {
  kClosing = 0,  // Was being closed, its caller still sent or did not read.
  kIdle = 1,     // Waited for a request.
  kHead = 2,     // Had not sent a complete head.
  kRefused = 3,  // A new one: all others had more to lose.
};
inline constexpr std::size_t kCrowdedOutReasons = 4;

// @return the name of `reason` in metrics.
std::string_view CrowdedOutName(CrowdedOut reason);

// Accepts connections of callers and handles the requests of each connection
// sequentially.
class CallerServer {
 public:
  static Result<std::unique_ptr<CallerServer>> Start(
      net::EventLoop& loop,
      const std::string& address,
      CallerHandler& handler,
      CallerServerLimits own = {});
  ~CallerServer();

  std::string Address() const;
  void SetLimits(const CallerLimits& new_limits) { this->limits = new_limits; }

  // Closes the listening socket. Open connections are closed after their next
  // response.
  void StopAccepting();
  // Closes the connections without a request in progress. A request that has
  // arrived but was not read yet is handled first.
  void CloseIdle();
  // @return true if no request is being read and no response is being sent.
  bool Quiet();
  // @param server name of the server in the labels.
  void Publish(Metrics& metrics, const std::string& server) const;

 private:
  friend class CallerConnection;
  friend class CallerExchange;

  CallerServer(net::EventLoop& loop,
               CallerHandler& handler,
               CallerServerLimits own);

  void Accept(int fd);
  std::size_t OpenSockets();
  // Closes the oldest connections that are worth the least.
  void MakeRoom();
  // Closes the oldest idle connections, or the oldest without a complete head.
  // @return the number of closed connections.
  std::size_t CloseOldest(bool idle);
  void CountCrowdedOut(CrowdedOut reason, std::size_t count);
  void LogCrowdedOut();
  // Closes idle connections, and those whose request is incomplete, after their
  // time limits.
  void Sweep();

  net::EventLoop& loop;
  CallerHandler& handler;
  const CallerServerLimits own;
  CallerLimits limits;
  std::array<std::uint64_t, kCrowdedOutReasons> crowded_out{};
  std::uint64_t crowded_out_logged = 0;
  bool closing = false;
  TimerId sweep_timer = 0;
  std::unique_ptr<net::TcpListener> listener;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
  // Sockets that are closed once their output was passed on.
  std::vector<std::weak_ptr<net::TcpConnection>> flushing;
};

// One connection of a caller.
class CallerConnection : public net::ConnectionObserver,
                         public net::MessageSink,
                         public MemoryHolder,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer& server,
                   std::shared_ptr<net::TcpConnection> socket);

  bool MayRead() override;
  void OnData(std::string_view data) override;
  void OnDrained() override { this->CountMemory(); }
  void ResumeReading() override;
  void GiveWay(ShedReason reason) override;
  void OnEnd(net::ConnectionEnd end) override;
  bool OnHead(net::MessageHead received) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

 private:
  friend class CallerExchange;
  friend class CallerServer;

  // Parses up to the end of the next request.
  // @return the number of bytes consumed.
  std::size_t Parse(std::string_view data);
  // Parses buffered bytes.
  void ReadNext();
  void UpdateReading();
  void CountMemory();
  bool PendingEmpty() const {
    return this->pending_used == this->pending.size();
  }
  void Reject(int status);
  void EndResponse(bool close);
  void Close();
  bool Idle() const;

  CallerServer* server;
  const std::shared_ptr<net::TcpConnection> socket;
  net::HttpReader reader;
  // Received bytes, of which the first `pending_used` have been parsed.
  std::string pending;
  std::size_t pending_used = 0;
  net::MessageHead head;
  BodyBuffer body;
  TimePoint head_at;
  MemoryAccount::Holder memory_id = 0;
  // Reading is paused: for lack of memory, or because of pipelined requests.
  bool waits_for_memory = false;
  bool waits_for_response = false;
  // Start of the current phase: idle, or receiving a request.
  TimePoint phase_start;
  int reject_status = 0;
  bool keep_alive = true;
  bool reading_body = false;
  // The present request was refused; what follows is dropped.
  bool rejected = false;
  std::shared_ptr<CallerExchange> exchange;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_
