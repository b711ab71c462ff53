// The side of a gateway that faces callers: requests in, answers out.
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

// One request of a caller and its answer. The answer's calls do nothing once
// the caller is gone.
class CallerExchange {
 public:
  CallerExchange(std::shared_ptr<CallerConnection> connection,
                 net::MessageHead head,
                 std::string body,
                 TimePoint received_at);

  const net::MessageHead& Head() const { return this->head; }
  const std::string& Body() const { return this->body; }
  // When the head of the request had arrived.
  TimePoint ReceivedAt() const { return this->received_at; }

  void Respond(int status, const HttpHeaders& headers, std::string_view body);
  // Begins an answer in pieces, continued by Write and ended by Finish or
  // Abort. Its length is not told in advance.
  void Start(int status, const HttpHeaders& headers);
  void Write(std::string_view data);
  void Finish();
  // Closes the connection; the caller sees that the answer is not whole.
  void Abort();

  // @param callback runs once if the caller leaves before the answer is whole.
  void OnGone(std::function<void()> callback) {
    this->gone = std::move(callback);
  }
  bool Gone() const { return this->connection == nullptr; }
  bool Started() const { return this->started; }
  std::size_t UnsentBytes() const;

 private:
  friend class CallerConnection;

  std::shared_ptr<CallerConnection> connection;
  const net::MessageHead head;
  const std::string body;
  const TimePoint received_at;
  std::function<void()> gone;
  net::BodyFraming framing = net::BodyFraming::kChunked;
  bool started = false;
};

class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  virtual void Handle(std::shared_ptr<CallerExchange> exchange) = 0;
};

// Accepts connections of callers and answers their requests in order, one at a
// time on each connection.
class CallerServer {
 public:
  static Result<std::unique_ptr<CallerServer>> Start(net::EventLoop& loop,
                                                     const std::string& address,
                                                     CallerHandler& handler);
  ~CallerServer();

  std::string Address() const;
  void SetLimits(const CallerLimits& new_limits) { this->limits = new_limits; }

  // Closes the listening socket. Connections are closed with their next
  // answer.
  void StopAccepting();
  // Closes the connections that are between two requests.
  void CloseIdle();

 private:
  friend class CallerConnection;
  friend class CallerExchange;

  CallerServer(net::EventLoop& loop, CallerHandler& handler);

  void Accept(int fd);
  // Closes connections that sent no whole request, or none at all, for too
  // long.
  void Sweep();

  net::EventLoop& loop;
  CallerHandler& handler;
  CallerLimits limits;
  bool closing = false;
  TimerId sweep_timer = 0;
  std::unique_ptr<net::TcpListener> listener;
  std::unordered_set<std::shared_ptr<CallerConnection>> connections;
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

  // Reads buffered bytes up to the next whole request.
  void ReadNext();
  void Refuse(int status);
  void EndAnswer(bool close);
  void Close();
  bool Idle() const;

  CallerServer* server;
  const std::shared_ptr<net::TcpConnection> socket;
  net::HttpReader reader;
  // Bytes after the request that is being answered.
  std::string pending;
  net::MessageHead head;
  std::string body;
  TimePoint head_at;
  // Start of the current phase: idle, or reading a request.
  TimePoint since;
  int refusal = 0;
  bool keep_alive = true;
  bool reading = false;
  std::shared_ptr<CallerExchange> exchange;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_CALLER_CONNECTION_H_
