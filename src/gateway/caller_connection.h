// HTTP server of a gateway for its callers.
#ifndef SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_
#define SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

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

// Accepts connections of callers and handles the requests of each connection
// sequentially.
class CallerServer {
 public:
  static Result<std::unique_ptr<CallerServer>> Start(net::EventLoop& loop,
                                                     const std::string& address,
                                                     CallerHandler& handler);
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

 private:
  friend class CallerConnection;
  friend class CallerExchange;

  CallerServer(net::EventLoop& loop, CallerHandler& handler);

  void Accept(int fd);
  // Closes idle connections, and those whose request is incomplete, after their
  // time limits.
  void Sweep();

  net::EventLoop& loop;
  CallerHandler& handler;
  CallerLimits limits;
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
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(CallerServer& server,
                   std::shared_ptr<net::TcpConnection> socket);

  void OnData(std::string_view data) override;
  void OnEnd(net::ConnectionEnd end) override;
  bool OnHead(net::MessageHead received) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

 private:
  friend class CallerExchange;
  friend class CallerServer;

  // Parses buffered bytes up to the end of the next request.
  void ReadNext();
  void Reject(int status);
  void EndResponse(bool close);
  void Close();
  bool Idle() const;

  CallerServer* server;
  const std::shared_ptr<net::TcpConnection> socket;
  net::HttpReader reader;
  // Received bytes that have not been parsed yet.
  std::string pending;
  net::MessageHead head;
  std::string body;
  TimePoint head_at;
  // Start of the current phase: idle, or receiving a request.
  TimePoint phase_start;
  int reject_status = 0;
  bool keep_alive = true;
  bool reading_body = false;
  std::shared_ptr<CallerExchange> exchange;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_
