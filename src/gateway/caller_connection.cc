#include "gateway/caller_connection.h"

#include <strings.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorebend::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr Duration kSweepPeriod = milliseconds(500);
// Maximum bytes of pipelined requests to buffer while a request is in progress;
// reading stops beyond that.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;

bool ExpectsContinue(const net::MessageHead& head) {
  const auto value = FindHeader(head.headers, "Expect");
  return value && strcasecmp(value->c_str(), "100-continue") == 0;
}

}  // namespace

CallerExchange::CallerExchange(std::shared_ptr<CallerConnection> connection,
                               net::MessageHead head,
                               std::string body,
                               TimePoint received_at)
    : connection(std::move(connection)),
      head(std::move(head)),
      body(std::move(body)),
      received_at(received_at) {}

void CallerExchange::Respond(int status,
                             const HttpHeaders& headers,
                             std::string_view body) {
  if (this->connection == nullptr) {
    return;
  }
  const auto self = this->connection;
  const bool close = !self->keep_alive || self->server->closing;
  std::string text = net::FormatResponseHead(
      status, headers, net::BodyFraming::kLength, body.size(), close);
  if (this->head.method != "HEAD") {
    text.append(body);
  }
  self->socket->Write(text);
  self->EndResponse(close);
}

void CallerExchange::Start(int status, const HttpHeaders& headers) {
  this->started = true;
  if (this->connection == nullptr) {
    return;
  }
  this->framing = this->head.http_1_0 ? net::BodyFraming::kUntilClose
                                      : net::BodyFraming::kChunked;
  const bool close =
      !this->connection->keep_alive || this->connection->server->closing;
  this->connection->keep_alive = !close;
  if (this->framing == net::BodyFraming::kUntilClose) {
    this->connection->socket->ResetUnlessFlushed();
  }
  this->connection->socket->Write(
      net::FormatResponseHead(status, headers, this->framing, 0, close));
}

void CallerExchange::Write(std::string_view data) {
  if (this->connection == nullptr || data.empty()) {
    return;
  }
  if (this->framing == net::BodyFraming::kChunked) {
    std::string chunk;
    net::AppendChunk(chunk, data);
    this->connection->socket->Write(chunk);
  } else {
    this->connection->socket->Write(data);
  }
}

void CallerExchange::Finish() {
  if (this->connection == nullptr) {
    return;
  }
  const auto self = this->connection;
  if (this->framing == net::BodyFraming::kChunked) {
    self->socket->Write(net::kLastChunk);
  }
  self->EndResponse(!self->keep_alive ||
                    this->framing == net::BodyFraming::kUntilClose);
}

void CallerExchange::Abort() {
  this->on_disconnect = nullptr;
  if (this->connection != nullptr) {
    this->connection->Close();
  }
}

std::size_t CallerExchange::UnsentBytes() const {
  return this->connection == nullptr ? 0
                                     : this->connection->socket->UnsentBytes();
}

CallerServer::CallerServer(net::EventLoop& loop, CallerHandler& handler)
    : loop(loop), handler(handler) {}

Result<std::unique_ptr<CallerServer>> CallerServer::Start(
    net::EventLoop& loop,
    const std::string& address,
    CallerHandler& handler) {
  std::unique_ptr<CallerServer> server(new CallerServer(loop, handler));
  CallerServer* const raw = server.get();
  BOOST_OUTCOME_TRY(
      listener, net::TcpListener::Start(loop, address,
                                        [raw](int fd) { raw->Accept(fd); }));
  server->listener = std::move(listener);
  server->sweep_timer =
      loop.SubscribePeriodic(kSweepPeriod, [raw] { raw->Sweep(); });
  return server;
}

CallerServer::~CallerServer() {
  this->loop.Cancel(this->sweep_timer);
  const std::vector<std::shared_ptr<CallerConnection>> open(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : open) {
    connection->Close();
  }
}

std::string CallerServer::Address() const {
  return this->listener == nullptr ? std::string() : this->listener->Address();
}

void CallerServer::Accept(int fd) {
  const auto connection = std::make_shared<CallerConnection>(
      *this, net::TcpConnection::Adopt(this->loop, fd, net::TcpOptions()));
  this->connections.insert(connection);
}

void CallerServer::StopAccepting() {
  this->closing = true;
  if (this->listener != nullptr) {
    // Closing the socket would reset the connections that wait in its queue.
    this->listener->AcceptPending();
    this->listener.reset();
  }
}

void CallerServer::CloseIdle() {
  const std::vector<std::shared_ptr<CallerConnection>> open(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : open) {
    if (connection->Idle()) {
      connection->socket->OnReadable();
    }
    if (connection->Idle()) {
      connection->Close();
    }
  }
}

bool CallerServer::Quiet() {
  this->flushing.erase(
      std::remove_if(this->flushing.begin(), this->flushing.end(),
                     [](const std::weak_ptr<net::TcpConnection>& socket) {
                       const auto open = socket.lock();
                       return open == nullptr || open->Closed();
                     }),
      this->flushing.end());
  return this->connections.empty() && this->flushing.empty();
}

void CallerServer::Sweep() {
  const TimePoint now = this->loop.Now();
  const std::vector<std::shared_ptr<CallerConnection>> open(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : open) {
    if (connection->exchange != nullptr) {
      continue;
    }
    const Duration phase_time = now - connection->phase_start;
    if (connection->Idle()) {
      if (phase_time > this->limits.idle_timeout) {
        connection->Close();
      }
    } else if (phase_time > this->limits.header_timeout &&
               (!connection->reading_body ||
                phase_time > this->limits.idle_timeout)) {
      connection->Reject(kRequestTimeout);
    }
  }
}

CallerConnection::CallerConnection(CallerServer& server,
                                   std::shared_ptr<net::TcpConnection> socket)
    : server(&server),
      socket(std::move(socket)),
      reader(net::HttpReader::Kind::kRequest,
             *this,
             server.limits.header_bytes),
      phase_start(server.loop.Now()) {
  this->socket->SetObserver(this);
}

bool CallerConnection::Idle() const {
  return this->exchange == nullptr && !this->reader.InMessage() &&
         this->pending.empty();
}

void CallerConnection::OnData(std::string_view data) {
  if (this->Idle()) {
    this->phase_start = this->server->loop.Now();
  }
  this->pending.append(data);
  if (this->exchange != nullptr) {
    if (this->pending.size() > kMaxPipelinedBytes) {
      this->socket->SetReading(false);
    }
    return;
  }
  this->ReadNext();
}

void CallerConnection::ReadNext() {
  const auto self = this->shared_from_this();
  while (this->server != nullptr && this->exchange == nullptr &&
         !this->pending.empty()) {
    const std::size_t used = this->reader.Read(this->pending);
    this->pending.erase(0, used);
    if (this->reader.Failed()) {
      const int malformed =
          this->reader.HeadTooLarge() ? kHeadTooLarge : kBadRequest;
      this->Reject(this->reject_status != 0 ? this->reject_status : malformed);
      return;
    }
  }
}

bool CallerConnection::OnHead(net::MessageHead received) {
  this->head = std::move(received);
  this->head_at = this->server->loop.Now();
  this->reading_body = true;
  this->body.clear();
  if (this->head.content_length.value_or(0) > this->server->limits.body_bytes) {
    this->reject_status = kBodyTooLarge;
    return false;
  }
  if (ExpectsContinue(this->head)) {
    this->socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void CallerConnection::OnBody(std::string_view data) {
  if (this->body.size() + data.size() > this->server->limits.body_bytes) {
    this->reject_status = kBodyTooLarge;
    return;
  }
  this->body.append(data);
}

void CallerConnection::OnMessageEnd() {
  this->reading_body = false;
  if (this->reject_status != 0) {
    this->Reject(this->reject_status);
    return;
  }
  this->keep_alive = this->head.keep_alive;
  this->exchange = std::make_shared<CallerExchange>(
      this->shared_from_this(), std::move(this->head), std::move(this->body),
      this->head_at);
  this->head = net::MessageHead();
  this->body = std::string();
  this->server->handler.Handle(this->exchange);
}

void CallerConnection::Reject(int status) {
  if (this->server == nullptr) {
    return;
  }
  this->socket->Write(
      net::FormatResponseHead(status, {}, net::BodyFraming::kLength, 0, true));
  this->Close();
}

void CallerConnection::EndResponse(bool close) {
  this->exchange->connection = nullptr;
  this->exchange->on_disconnect = nullptr;
  this->exchange = nullptr;
  this->phase_start = this->server->loop.Now();
  if (close) {
    this->Close();
    return;
  }
  this->socket->SetReading(true);
  if (!this->pending.empty()) {
    // Posted to avoid recursion: the handler may respond immediately to each of
    // many pipelined requests.
    this->server->loop.Post([self = this->shared_from_this()] {
      if (self->server != nullptr) {
        self->ReadNext();
      }
    });
  }
}

void CallerConnection::Close() {
  if (this->server == nullptr) {
    return;
  }
  const auto self = this->shared_from_this();
  CallerServer* const owner = std::exchange(this->server, nullptr);
  owner->connections.erase(self);
  this->socket->SetObserver(nullptr);
  const auto open = std::exchange(this->exchange, nullptr);
  if (open != nullptr && open->EndsWithConnection()) {
    // A close would be taken for the end of the body.
    this->socket->Close();
  } else {
    // Pending output is still sent.
    this->socket->CloseAfterFlush();
  }
  if (!this->socket->Closed()) {
    owner->flushing.push_back(this->socket);
  }
  if (open != nullptr) {
    open->connection = nullptr;
    const auto callback = std::exchange(open->on_disconnect, nullptr);
    if (callback) {
      callback();
    }
  }
}

void CallerConnection::OnEnd(net::ConnectionEnd /*end*/) {
  // A caller that closes its side is not expected to wait for the response.
  this->Close();
}

}  // namespace sycamorebend::gateway
