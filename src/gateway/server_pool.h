// Connections of a gateway to backend servers. A connection carries one request
// at a time and is used again only after an answer that left no doubt.
#ifndef SYCAMOREBEND_SRC_GATEWAY_SERVER_POOL_H_
#define SYCAMOREBEND_SRC_GATEWAY_SERVER_POOL_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/wire_format.h"
#include "net/event_loop.h"
#include "net/http_reader.h"
#include "net/tcp_connection.h"

namespace sycamorebend::gateway {

// How a call to a server failed.
enum class CallFailure {
  kConnect = 0,    // No connection; nothing was sent.
  kReset = 1,      // The connection ended before the answer was whole.
  kMalformed = 2,  // The answer is not HTTP, or not the server's.
};

// @return the name of `failure` in logs.
std::string_view CallFailureName(CallFailure failure);

// Receives the answer to one call. A call ends with OnAnswerEnd or OnFailure.
class CallObserver {
 public:
  virtual ~CallObserver() = default;
  virtual void OnConnected(bool reused) = 0;
  virtual void OnAnswerHead(const net::MessageHead& head,
                            const ResponseFields& fields) = 0;
  virtual void OnAnswerBody(std::string_view data) = 0;
  virtual void OnAnswerEnd() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

// One request as it goes to a server.
struct ServerRequest {
  std::string server_key;  // Identifies the server's incarnation.
  std::string address;
  std::string request_id;  // The answer must name it.
  std::string head;
  std::string_view body;
  bool no_answer_body = false;  // HEAD.
  // An idle connection may be used. Not for requests that must not run twice
  // and have no time to lose on a connection that the server has dropped.
  bool may_reuse = true;
  Duration connect_timeout = milliseconds(300);
};

class ServerConnection;

// A call in progress. Ends with its destruction: the connection is closed,
// unless the answer was whole.
class ServerCall {
 public:
  explicit ServerCall(std::shared_ptr<ServerConnection> connection)
      : connection(std::move(connection)) {}
  ~ServerCall();
  ServerCall(const ServerCall&) = delete;
  ServerCall& operator=(const ServerCall&) = delete;

 private:
  const std::shared_ptr<ServerConnection> connection;
};

class ServerPool {
 public:
  // The references must outlive the pool.
  ServerPool(net::EventLoop& loop, const WireFormat& format);
  ~ServerPool();

  // @param observer must live until the call ends or is destroyed.
  std::unique_ptr<ServerCall> Start(const ServerRequest& request,
                                    CallObserver& observer);

  // Closes the idle connections to a server that is gone.
  void Forget(const std::string& server_key);

 private:
  friend class ServerConnection;

  std::shared_ptr<ServerConnection> TakeIdle(const std::string& server_key);
  void PutIdle(std::shared_ptr<ServerConnection> connection);
  void RemoveIdle(const ServerConnection& connection);
  void Sweep();

  net::EventLoop& loop;
  const WireFormat& format;
  TimerId sweep_timer;
  // The connection that was used last is at the back and is taken first.
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<ServerConnection>>>
      idle;
};

class ServerConnection : public net::ConnectionObserver,
                         public net::MessageSink,
                         public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(ServerPool& pool,
                   std::string server_key,
                   const std::string& address);

  void Begin(const ServerRequest& request, CallObserver& observer);
  // The call is given up; the connection is closed unless it is idle.
  void Cancel();

  void OnConnected() override;
  void OnData(std::string_view data) override;
  void OnEnd(net::ConnectionEnd end) override;
  bool OnHead(net::MessageHead head) override;
  void OnBody(std::string_view data) override;
  void OnMessageEnd() override;

 private:
  friend class ServerPool;

  void Fail(CallFailure failure);
  void Close();

  ServerPool* pool;
  const std::string server_key;
  const std::shared_ptr<net::TcpConnection> socket;
  net::HttpReader reader;
  CallObserver* observer = nullptr;
  std::string request_id;
  TimerId connect_timer = 0;
  bool used_before = false;
  bool reusable = true;
  // The message being read belongs to an earlier request.
  bool skipping = false;
  Duration keep_alive{0};
  TimePoint idle_since;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_SERVER_POOL_H_
