#include "gateway/caller_connection.h"

#include <strings.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace sycamorebend::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kUnavailable = 503;
// Retry-After time of a request that gave way: bodies without progress are
// given up after a second.
constexpr const char* kRetryAfterSeconds = "1";
// What is read of a caller that was refused, so that it gets the response.
constexpr Duration kDrainTime = seconds(1);
constexpr std::size_t kDrainBytes = 4 << 20;
// Connections that are closed at once when there are too many, as a fraction of
// the limit, so that the search for the oldest is rare.
constexpr std::size_t kRoomFraction = 32;
constexpr Duration kSweepPeriod = milliseconds(500);
// Maximum bytes of pipelined requests to buffer while a request is in progress;
// reading stops beyond that.
constexpr std::size_t kMaxPipelinedBytes = 64 << 10;

constexpr std::array<std::string_view, kCrowdedOutReasons> kCrowdedOutNames = {
    "closing", "idle", "head", "refused"};

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
  self->CountMemory();
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
  this->connection->CountMemory();
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

std::string_view CrowdedOutName(CrowdedOut reason) {
  return kCrowdedOutNames[static_cast<std::size_t>(reason)];
}

CallerServer::CallerServer(net::EventLoop& loop,
                           CallerHandler& handler,
                           CallerServerLimits own)
    : loop(loop), handler(handler), own(own) {}

Result<std::unique_ptr<CallerServer>> CallerServer::Start(
    net::EventLoop& loop,
    const std::string& address,
    CallerHandler& handler,
    CallerServerLimits own) {
  std::unique_ptr<CallerServer> server(new CallerServer(loop, handler, own));
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

std::size_t CallerServer::OpenSockets() {
  this->flushing.erase(
      std::remove_if(this->flushing.begin(), this->flushing.end(),
                     [](const std::weak_ptr<net::TcpConnection>& socket) {
                       const auto open = socket.lock();
                       return open == nullptr || open->Closed();
                     }),
      this->flushing.end());
  return this->connections.size() + this->flushing.size();
}

void CallerServer::CountCrowdedOut(CrowdedOut reason, std::size_t count) {
  this->crowded_out[static_cast<std::size_t>(reason)] += count;
}

std::size_t CallerServer::CloseOldest(bool idle) {
  std::vector<std::shared_ptr<CallerConnection>> found;
  for (const auto& connection : this->connections) {
    if (idle ? connection->Idle()
             : connection->exchange == nullptr && !connection->reading_body) {
      found.push_back(connection);
    }
  }
  const std::size_t count =
      std::min(found.size(), 1 + this->own.max_connections / kRoomFraction);
  std::partial_sort(found.begin(),
                    found.begin() + static_cast<std::ptrdiff_t>(count),
                    found.end(), [](const auto& a, const auto& b) {
                      return a->phase_start < b->phase_start;
                    });
  std::size_t closed = 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (idle && found[i]->Idle()) {
      // A request that has arrived is handled first.
      found[i]->socket->OnReadable();
    }
    if (found[i]->server != nullptr && (!idle || found[i]->Idle())) {
      found[i]->Close();
      ++closed;
    }
  }
  return closed;
}

void CallerServer::MakeRoom() {
  if (!this->flushing.empty()) {
    const std::size_t count = std::min(
        this->flushing.size(), 1 + this->own.max_connections / kRoomFraction);
    for (std::size_t i = 0; i < count; ++i) {
      if (const auto socket = this->flushing[i].lock()) {
        socket->Close();
      }
    }
    this->CountCrowdedOut(CrowdedOut::kClosing, count);
    return;
  }
  const std::size_t idle = this->CloseOldest(/*idle=*/true);
  this->CountCrowdedOut(CrowdedOut::kIdle, idle);
  if (idle == 0) {
    this->CountCrowdedOut(CrowdedOut::kHead, this->CloseOldest(false));
  }
}

void CallerServer::Publish(Metrics& metrics, const std::string& server) const {
  metrics.SetGauge("sycamorebend_gateway_connections", "Open connections.",
                   {{"server", server}},
                   static_cast<double>(this->connections.size()));
  for (std::size_t i = 0; i < kCrowdedOutReasons; ++i) {
    const std::string reason(CrowdedOutName(static_cast<CrowdedOut>(i)));
    metrics.SetTotal("sycamorebend_gateway_connections_crowded_out_total",
                     "Connections closed because there were too many.",
                     {{"server", server}, {"reason", reason}},
                     static_cast<double>(this->crowded_out[i]));
  }
}

void CallerServer::Accept(int fd) {
  if (this->OpenSockets() >= this->own.max_connections) {
    this->MakeRoom();
    if (this->OpenSockets() >= this->own.max_connections) {
      ::close(fd);
      this->CountCrowdedOut(CrowdedOut::kRefused, 1);
      return;
    }
  }
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
  return this->OpenSockets() == 0;
}

void CallerServer::LogCrowdedOut() {
  std::uint64_t total = 0;
  for (const std::uint64_t count : this->crowded_out) {
    total += count;
  }
  if (total != this->crowded_out_logged) {
    LogEvent(Severity::kWarning, Event::kCallersShed,
             {{"address", this->Address()},
              {"reason", "too many connections"},
              {"count", total - this->crowded_out_logged},
              {"connections", this->connections.size()},
              {"max_connections", this->own.max_connections}});
    this->crowded_out_logged = total;
  }
}

void CallerServer::Sweep() {
  const TimePoint now = this->loop.Now();
  this->LogCrowdedOut();
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
  if (server.own.memory != nullptr) {
    this->memory_id = server.own.memory->Add(*this);
  }
}

bool CallerConnection::Idle() const {
  return this->exchange == nullptr && !this->reader.InMessage() &&
         this->PendingEmpty();
}

bool CallerConnection::MayRead() {
  CallerMemory* const memory = this->server->own.memory;
  if (memory == nullptr) {
    return true;
  }
  if (this->body.Size() >= MemoryAccount::kSmallBytes && memory->TurnUsedUp()) {
    return false;
  }
  if (!memory->Account().MayRead(this->memory_id, this->server->loop.Now())) {
    this->waits_for_memory = true;
    this->UpdateReading();
    return false;
  }
  return true;
}

void CallerConnection::UpdateReading() {
  this->socket->SetReading(!this->waits_for_memory &&
                           !this->waits_for_response);
}

void CallerConnection::ResumeReading() {
  this->waits_for_memory = false;
  this->UpdateReading();
}

void CallerConnection::CountMemory() {
  if (this->server == nullptr || this->server->own.memory == nullptr) {
    return;
  }
  MemoryAccount& account = this->server->own.memory->Account();
  account.SetHeld(this->memory_id, HeldKind::kIncomplete,
                  this->body.Capacity());
  account.SetHeld(this->memory_id, HeldKind::kUnparsed,
                  (this->PendingEmpty() ? 0 : this->pending.capacity()) +
                      this->reader.HeldHeadBytes());
  account.SetHeld(this->memory_id, HeldKind::kUnreadResponse,
                  this->socket->UnsentBytes());
}

void CallerConnection::GiveWay(ShedReason reason) {
  this->memory_id = 0;
  if (reason == ShedReason::kUnreadResponse || this->exchange != nullptr) {
    this->socket->Close();
    this->Close();
    return;
  }
  this->Reject(reason == ShedReason::kStalled ? kRequestTimeout : kUnavailable);
}

void CallerConnection::OnData(std::string_view data) {
  const auto self = this->shared_from_this();
  if (this->Idle()) {
    this->phase_start = this->server->loop.Now();
  }
  CallerMemory* const memory = this->server->own.memory;
  if (memory != nullptr && this->exchange == nullptr) {
    memory->Account().OnReceived(this->memory_id, data.size(),
                                 this->server->loop.Now());
    if (this->body.Size() >= MemoryAccount::kSmallBytes) {
      memory->CountTurn(data.size());
    }
  }
  if (this->exchange == nullptr && this->PendingEmpty()) {
    // Parsed where it is; only what belongs to the next request is copied.
    data.remove_prefix(this->Parse(data));
  }
  if (this->server == nullptr) {
    return;
  }
  if (!data.empty()) {
    this->pending.append(data);
    if (this->exchange == nullptr) {
      this->ReadNext();
    } else if (this->pending.size() - this->pending_used > kMaxPipelinedBytes) {
      this->waits_for_response = true;
      this->UpdateReading();
    }
  }
  this->CountMemory();
}

std::size_t CallerConnection::Parse(std::string_view data) {
  std::size_t used = 0;
  while (this->server != nullptr && this->exchange == nullptr &&
         used < data.size()) {
    used += this->reader.Read(data.substr(used));
    if (this->reader.Failed()) {
      const int malformed =
          this->reader.HeadTooLarge() ? kHeadTooLarge : kBadRequest;
      this->Reject(this->reject_status != 0 ? this->reject_status : malformed);
    }
  }
  return used;
}

void CallerConnection::ReadNext() {
  const auto self = this->shared_from_this();
  this->pending_used +=
      this->Parse(std::string_view(this->pending).substr(this->pending_used));
  if (this->PendingEmpty()) {
    this->pending = std::string();
    this->pending_used = 0;
  } else if (this->pending_used > this->pending.size() / 2) {
    this->pending.erase(0, this->pending_used);
    this->pending_used = 0;
  }
  this->CountMemory();
}

bool CallerConnection::OnHead(net::MessageHead received) {
  this->head = std::move(received);
  this->head_at = this->server->loop.Now();
  this->reading_body = true;
  if (this->head.content_length.value_or(0) > this->server->limits.body_bytes) {
    this->reject_status = kBodyTooLarge;
    return false;
  }
  if (this->server->own.memory != nullptr) {
    this->server->own.memory->Account().SetExpected(
        this->memory_id,
        static_cast<std::size_t>(this->head.content_length.value_or(
            this->server->limits.body_bytes)));
  }
  if (ExpectsContinue(this->head)) {
    this->socket->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void CallerConnection::OnBody(std::string_view data) {
  if (this->body.Size() + data.size() > this->server->limits.body_bytes) {
    this->reject_status = kBodyTooLarge;
    this->reader.Stop();
    return;
  }
  this->body.Append(data);
}

void CallerConnection::OnMessageEnd() {
  this->reading_body = false;
  this->keep_alive = this->head.keep_alive;
  this->exchange = std::make_shared<CallerExchange>(
      this->shared_from_this(), std::move(this->head), this->body.Take(),
      this->head_at);
  this->head = net::MessageHead();
  if (this->server->own.memory != nullptr) {
    this->server->own.memory->Account().OnComplete(
        this->memory_id, this->exchange->Body().capacity());
  }
  this->server->handler.Handle(this->exchange);
}

void CallerConnection::Reject(int status) {
  if (this->server == nullptr) {
    return;
  }
  HttpHeaders headers;
  if (status == kUnavailable) {
    headers.push_back({"Retry-After", kRetryAfterSeconds});
  }
  this->socket->Write(net::FormatResponseHead(
      status, headers, net::BodyFraming::kLength, 0, true));
  this->rejected = true;
  this->Close();
}

void CallerConnection::EndResponse(bool close) {
  this->exchange->connection = nullptr;
  this->exchange->on_disconnect = nullptr;
  this->exchange = nullptr;
  this->phase_start = this->server->loop.Now();
  if (this->server->own.memory != nullptr) {
    this->server->own.memory->Account().OnEnd(this->memory_id,
                                              this->phase_start);
  }
  if (close) {
    this->Close();
    return;
  }
  this->waits_for_response = false;
  this->UpdateReading();
  if (!this->PendingEmpty()) {
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
  if (owner->own.memory != nullptr) {
    owner->own.memory->Remove(this->memory_id);
  }
  this->socket->SetObserver(nullptr);
  const auto open = std::exchange(this->exchange, nullptr);
  if (open != nullptr && open->EndsWithConnection()) {
    // A close would be taken for the end of the body.
    this->socket->Close();
  } else if (this->rejected) {
    this->socket->CloseAfterDrain(kDrainTime, kDrainBytes);
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
