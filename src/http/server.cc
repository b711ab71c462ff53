#include <fcntl.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <set>
#include <utility>

#include "http/hangup_watcher.h"
#include "http/incoming_bodies.h"
#include "http/listener.h"
#include "http/server_exchange.h"
#include "http/socket_drainer.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

using internal::HangupWatcher;
using internal::IncomingBodies;
using internal::ServerExchange;
using internal::ServerExchangeHandle;
using internal::SocketDrainer;

constexpr int kStatusBodyTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
// libmicrohttpd answers headers that exceed its own limit without an error
// body, so that limit is larger by this than the one that is checked here. It
// is memory of each connection, so it is not much larger.
constexpr std::size_t kHeaderMemorySlack = 16 << 10;

MHD_Result AppendHeader(void* context,
                        MHD_ValueKind /*kind*/,
                        const char* name,
                        const char* value) {
  static_cast<HttpHeaders*>(context)->push_back(
      {name, value != nullptr ? value : ""});
  return MHD_YES;
}

class MicrohttpdServer : public HttpServer {
 public:
  MicrohttpdServer(HttpServerOptions options, HttpHandler& handler)
      : options(std::move(options)),
        handler(handler),
        incoming(this->options.max_incoming_bytes,
                 [](int fd) { shutdown(fd, SHUT_RDWR); }),
        drainer(this->options.receive_timeout) {}

  ~MicrohttpdServer() override { this->Stop(); }

  Status Listen() {
    BOOST_OUTCOME_TRY(this->listener.Bind(this->options.address));
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD |
                           MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
                           MHD_USE_NO_LISTEN_SOCKET;
    const auto idle_seconds = static_cast<unsigned>(
        std::chrono::ceil<seconds>(this->options.receive_timeout).count());
    this->daemon = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &MicrohttpdServer::OnAccess, this,
        MHD_OPTION_THREAD_POOL_SIZE,
        static_cast<unsigned>(this->options.threads),
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(this->options.max_connections),
        MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        this->options.max_header_bytes + kHeaderMemorySlack,
        MHD_OPTION_URI_LOG_CALLBACK, &MicrohttpdServer::OnTarget, this,
        MHD_OPTION_NOTIFY_COMPLETED, &MicrohttpdServer::OnCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &MicrohttpdServer::OnConnection, this,
        MHD_OPTION_END);
    if (this->daemon == nullptr) {
      return MakeError(
          ResultCode::kListenFailed,
          "cannot start the HTTP server on " + this->listener.Address());
    }
    this->listener.Start([this](int fd, const sockaddr_in& peer) {
      // On failure libmicrohttpd closes the socket.
      MHD_add_connection(this->daemon, fd,
                         reinterpret_cast<const sockaddr*>(&peer),
                         sizeof(peer));
    });
    return Success();
  }

  std::string Address() const override { return this->listener.Address(); }

  std::size_t OpenExchanges() const override {
    std::lock_guard lock(this->mutex);
    return this->open.size();
  }

  void StopAccepting() override {
    std::lock_guard lock(this->stop_mutex);
    this->listener.Stop();
  }

  void Stop() override {
    this->StopAccepting();
    std::lock_guard lock(this->stop_mutex);
    if (this->daemon == nullptr) {
      return;
    }
    // libmicrohttpd requires that no connection is suspended when it stops.
    std::set<std::shared_ptr<ServerExchange>> left;
    {
      std::lock_guard open_lock(this->mutex);
      this->stopping = true;
      left = this->open;
    }
    for (const auto& exchange : left) {
      exchange->MarkGone();
    }
    left.clear();
    MHD_stop_daemon(this->daemon);
    this->daemon = nullptr;
  }

 private:
  using ExchangeSlot = std::shared_ptr<ServerExchange>;

  static void* OnTarget(void* context,
                        const char* target,
                        MHD_Connection* connection) {
    auto* const server = static_cast<MicrohttpdServer*>(context);
    auto* const slot = new ExchangeSlot(
        std::make_shared<ServerExchange>(connection, server->clock.Now()));
    (*slot)->self = *slot;
    (*slot)->request.target = target;
    return slot;
  }

  static void OnConnection(void* context,
                           MHD_Connection* connection,
                           void** /*socket_context*/,
                           MHD_ConnectionNotificationCode code) {
    if (code != MHD_CONNECTION_NOTIFY_STARTED) {
      return;
    }
    auto* const server = static_cast<MicrohttpdServer*>(context);
    const int fd = SocketOf(connection);
    const auto timeout_ms = static_cast<unsigned>(
        ToMilliseconds(server->options.unacknowledged_timeout));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    constexpr int kKeepAliveIdleSeconds = 10;
    constexpr int kKeepAliveIntervalSeconds = 5;
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
               sizeof(int));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
               sizeof(int));
  }

  static int SocketOf(MHD_Connection* connection) {
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
  }

  static MHD_Result OnAccess(void* context,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* /*version*/,
                             const char* upload,
                             std::size_t* upload_size,
                             void** request_context) {
    auto* const server = static_cast<MicrohttpdServer*>(context);
    ExchangeSlot& exchange = *static_cast<ExchangeSlot*>(*request_context);
    return server->Advance(connection, exchange, url, method, upload,
                           upload_size);
  }

  MHD_Result Advance(MHD_Connection* connection,
                     ExchangeSlot& exchange,
                     const char* url,
                     const char* method,
                     const char* upload,
                     std::size_t* upload_size) {
    if (exchange->dispatched) {
      return exchange->QueueOrSuspend();
    }
    if (exchange->request.method.empty()) {
      return this->Begin(connection, *exchange, url, method);
    }
    if (*upload_size > 0) {
      const std::string_view data(upload, *upload_size);
      *upload_size = 0;
      return this->Receive(connection, *exchange, data);
    }
    return this->Dispatch(connection, exchange);
  }

  MHD_Result Begin(MHD_Connection* connection,
                   ServerExchange& exchange,
                   const char* url,
                   const char* method) {
    HttpRequest& request = exchange.request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AppendHeader,
                              &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AppendHeader,
                              &request.query);
    const auto length = FindHeader(request.headers, "Content-Length");
    std::uint64_t bytes = 0;
    if (length) {
      std::from_chars(length->data(), length->data() + length->size(), bytes);
    }
    std::size_t header_bytes = request.target.size();
    for (const HttpHeader& header : request.headers) {
      header_bytes += header.name.size() + header.value.size();
    }
    // Answered before the body is read; the connection is closed afterwards by
    // the drainer.
    if (header_bytes > this->options.max_header_bytes) {
      exchange.dispatched = true;
      RefuseInput(exchange, kStatusHeadersTooLarge,
                  ResultCode::kHeadersTooLarge);
      return exchange.QueueOrSuspend();
    }
    if (bytes > this->options.max_body_bytes) {
      exchange.dispatched = true;
      RefuseInput(exchange, kStatusBodyTooLarge, ResultCode::kBodyTooLarge);
      return exchange.QueueOrSuspend();
    }
    return MHD_YES;
  }

  static void RefuseInput(ServerExchange& exchange,
                          int status,
                          ResultCode code) {
    const ResultCodeInfo& info = GetResultCodeInfo(code);
    exchange.Respond(
        status, {{"Content-Type", "application/json"}, {"Connection", "close"}},
        fmt::format(R"({{"error":{{"code":{},"name":"{}","message":"{}",)"
                    R"("ran":"not_run","retry":false,"retry_after_ms":0}}}})",
                    static_cast<int>(info.code), info.name, info.message));
  }

  MHD_Result Receive(MHD_Connection* connection,
                     ServerExchange& exchange,
                     std::string_view data) {
    if (this->clock.Now() - exchange.started > this->options.receive_timeout) {
      return MHD_NO;
    }
    if (exchange.request.body.size() + data.size() >
        this->options.max_body_bytes) {
      // The rest is dropped, so that the caller sees the status.
      exchange.body_too_large = true;
      exchange.request.body = std::string();
      this->incoming.Remove(&exchange);
      return MHD_YES;
    }
    if (exchange.body_too_large) {
      return MHD_YES;
    }
    exchange.request.body.append(data);
    this->incoming.Set(&exchange, SocketOf(connection),
                       exchange.request.body.capacity(), this->clock.Now());
    return MHD_YES;
  }

  MHD_Result Dispatch(MHD_Connection* connection, ExchangeSlot& exchange) {
    exchange->dispatched = true;
    exchange->received = true;
    this->incoming.Remove(exchange.get());
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return MHD_NO;
      }
      this->open.insert(exchange);
    }
    if (exchange->body_too_large) {
      RefuseInput(*exchange, kStatusBodyTooLarge, ResultCode::kBodyTooLarge);
    } else {
      const std::weak_ptr<ServerExchange> weak = exchange;
      exchange->watch_id = this->watcher.Add(SocketOf(connection), [weak] {
        if (const auto strong = weak.lock()) {
          strong->MarkGone();
        }
      });
      this->handler.Handle(std::make_shared<ServerExchangeHandle>(exchange));
    }
    return exchange->QueueOrSuspend();
  }

  static void OnCompleted(void* context,
                          MHD_Connection* connection,
                          void** request_context,
                          MHD_RequestTerminationCode code) {
    auto* const server = static_cast<MicrohttpdServer*>(context);
    auto* const slot = static_cast<ExchangeSlot*>(*request_context);
    if (slot == nullptr) {
      return;
    }
    const ExchangeSlot exchange = *slot;
    // The socket is still open here.
    server->incoming.Remove(exchange.get());
    delete slot;
    *request_context = nullptr;
    if (exchange->watch_id != 0) {
      server->watcher.Remove(exchange->watch_id);
    }
    {
      std::lock_guard lock(server->mutex);
      server->open.erase(exchange);
    }
    const bool whole = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    // libmicrohttpd reports its own response to incomplete headers as an error.
    const bool headers_refused = code == MHD_REQUEST_TERMINATED_WITH_ERROR &&
                                 exchange->request.method.empty();
    if ((whole && !exchange->received) || headers_refused) {
      server->DrainAfterResponse(SocketOf(connection));
    }
    exchange->Complete(whole);
  }

  // The caller may still be sending when libmicrohttpd closes the connection.
  void DrainAfterResponse(int fd) {
    const int duplicate = fcntl(fd, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
      LogEvent(Severity::kWarning, Event::kCallersShed,
               {{"count", 1},
                {"reason", "no descriptor to drain a refused caller"},
                {"message", std::strerror(errno)}});
      return;
    }
    this->drainer.Add(duplicate);
  }

  const HttpServerOptions options;
  HttpHandler& handler;
  SystemClock clock;
  IncomingBodies incoming;
  SocketDrainer drainer;
  HangupWatcher watcher;
  internal::Listener listener;
  std::mutex stop_mutex;
  MHD_Daemon* daemon = nullptr;
  mutable std::mutex mutex;
  bool stopping = false;
  std::set<ExchangeSlot> open;
};

}  // namespace

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
      return header.value;
    }
  }
  return std::nullopt;
}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options,
    HttpHandler& handler) {
  auto server = std::make_unique<MicrohttpdServer>(options, handler);
  BOOST_OUTCOME_TRY(server->Listen());
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace sycamorebend
