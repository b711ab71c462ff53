#include "http/server_exchange.h"

#include <algorithm>
#include <cstring>

namespace sycamorebend::internal {

namespace {

constexpr std::size_t kStreamBlockBytes = 16 << 10;
constexpr int kStatusInternalError = 500;

}  // namespace

ServerExchange::ServerExchange(MHD_Connection* connection, TimePoint started)
    : started(started), connection(connection) {}

MHD_Response* ServerExchange::BuildResponseLocked() {
  MHD_Response* response = nullptr;
  if (this->streamed) {
    this->stream_reference = this->self.lock();
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes, &ServerExchange::ReadStream, this,
        &ServerExchange::ReleaseStream);
  } else if (!this->parts.empty()) {
    response = this->BuildPartsResponseLocked();
  } else {
    response = MHD_create_response_from_buffer(
        this->pending.size(), this->pending.data(), MHD_RESPMEM_MUST_COPY);
  }
  for (const HttpHeader& header : this->headers) {
    if (!IsValidHeader(header) ||
        MHD_add_response_header(response, header.name.c_str(),
                                header.value.c_str()) != MHD_YES) {
      LogEvent(
          Severity::kError, Event::kHeaderRefused,
          {{"header", header.name},
           {"reason", "the name or the value has characters of no header"}});
    }
  }
  return response;
}

MHD_Response* ServerExchange::BuildPartsResponseLocked() {
  auto* const owned = new BodyParts(std::move(this->parts));
  this->parts.clear();
  std::vector<MHD_IoVec> vectors;
  for (const BodyPart& part : *owned) {
    vectors.push_back({part.bytes.data(), part.bytes.size()});
  }
  return MHD_create_response_from_iovec(
      vectors.data(), static_cast<unsigned>(vectors.size()),
      [](void* context) { delete static_cast<BodyParts*>(context); }, owned);
}

MHD_Result ServerExchange::QueueOrSuspend() {
  std::lock_guard lock(this->mutex);
  if (this->connection == nullptr) {
    return MHD_NO;
  }
  if (this->phase == Phase::kWaiting) {
    this->suspended = true;
    MHD_suspend_connection(this->connection);
    return MHD_YES;
  }
  if (this->phase == Phase::kAborted && !this->streamed) {
    return MHD_NO;
  }
  MHD_Response* const response = this->BuildResponseLocked();
  const MHD_Result queued = MHD_queue_response(
      this->connection, static_cast<unsigned>(this->status), response);
  MHD_destroy_response(response);
  return queued;
}

ssize_t ServerExchange::ReadStream(void* context,
                                   std::uint64_t /*position*/,
                                   char* buffer,
                                   std::size_t capacity) {
  auto* const exchange = static_cast<ServerExchange*>(context);
  std::lock_guard lock(exchange->mutex);
  const std::size_t available =
      exchange->pending.size() - exchange->pending_offset;
  if (available > 0) {
    const std::size_t count = std::min(available, capacity);
    std::memcpy(buffer, exchange->pending.data() + exchange->pending_offset,
                count);
    exchange->pending_offset += count;
    if (exchange->pending_offset == exchange->pending.size()) {
      exchange->pending.clear();
      exchange->pending_offset = 0;
    }
    return static_cast<ssize_t>(count);
  }
  if (exchange->phase == Phase::kFinished) {
    return MHD_CONTENT_READER_END_OF_STREAM;
  }
  if (exchange->phase == Phase::kAborted || exchange->connection == nullptr) {
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }
  exchange->suspended = true;
  MHD_suspend_connection(exchange->connection);
  return 0;
}

void ServerExchange::ReleaseStream(void* context) {
  // The last reference may be this one, so it is moved out of the lock first.
  std::shared_ptr<ServerExchange> reference;
  auto* const exchange = static_cast<ServerExchange*>(context);
  std::lock_guard lock(exchange->mutex);
  reference = std::move(exchange->stream_reference);
}

void ServerExchange::ResumeLocked() {
  if (this->suspended && this->connection != nullptr) {
    this->suspended = false;
    MHD_resume_connection(this->connection);
  }
}

bool ServerExchange::BeginWholeLocked(int status, HttpHeaders headers) {
  if (this->phase != Phase::kWaiting) {
    return false;
  }
  this->phase = Phase::kWhole;
  this->status = status;
  this->headers = std::move(headers);
  this->gone_callback = nullptr;
  return true;
}

void ServerExchange::Respond(int status,
                             HttpHeaders headers,
                             std::string body) {
  std::lock_guard lock(this->mutex);
  if (this->BeginWholeLocked(status, std::move(headers))) {
    this->pending = std::move(body);
    this->ResumeLocked();
  }
}

void ServerExchange::RespondParts(int status,
                                  HttpHeaders headers,
                                  BodyParts body) {
  std::lock_guard lock(this->mutex);
  if (this->BeginWholeLocked(status, std::move(headers))) {
    this->parts = std::move(body);
    this->ResumeLocked();
  }
}

void ServerExchange::StartStream(int status, HttpHeaders headers) {
  std::lock_guard lock(this->mutex);
  if (this->phase != Phase::kWaiting) {
    return;
  }
  this->phase = Phase::kStreaming;
  this->streamed = true;
  this->status = status;
  this->headers = std::move(headers);
  this->ResumeLocked();
}

void ServerExchange::Write(std::string_view data) {
  std::lock_guard lock(this->mutex);
  if (this->phase != Phase::kStreaming || data.empty()) {
    return;
  }
  // What was sent already is dropped when it is the larger part, because a
  // caller that never catches up completely would otherwise leave all of a long
  // stream in memory.
  if (this->pending_offset > this->pending.size() / 2) {
    this->pending.erase(0, this->pending_offset);
    this->pending_offset = 0;
  }
  this->pending.append(data);
  this->ResumeLocked();
}

void ServerExchange::FinishStream() {
  std::lock_guard lock(this->mutex);
  if (this->phase != Phase::kStreaming) {
    return;
  }
  this->phase = Phase::kFinished;
  this->gone_callback = nullptr;
  this->ResumeLocked();
}

void ServerExchange::AbortStream() {
  std::lock_guard lock(this->mutex);
  if (this->phase == Phase::kFinished || this->phase == Phase::kWhole) {
    return;
  }
  this->phase = Phase::kAborted;
  this->gone_callback = nullptr;
  this->ResumeLocked();
}

void ServerExchange::OnCallerDisconnected(std::function<void()> callback) {
  {
    std::lock_guard lock(this->mutex);
    if (!this->gone) {
      this->gone_callback = std::move(callback);
      return;
    }
  }
  callback();
}

void ServerExchange::MarkGone() {
  std::function<void()> callback;
  {
    std::lock_guard lock(this->mutex);
    this->gone = true;
    callback = std::move(this->gone_callback);
    this->gone_callback = nullptr;
    if (this->phase == Phase::kWaiting || this->phase == Phase::kStreaming) {
      this->phase = Phase::kAborted;
    }
    this->ResumeLocked();
  }
  if (callback) {
    callback();
  }
}

void ServerExchange::Complete(bool whole) {
  {
    std::lock_guard lock(this->mutex);
    this->connection = nullptr;
  }
  if (!whole) {
    this->MarkGone();
  }
}

std::size_t ServerExchange::PendingBytes() const {
  std::lock_guard lock(this->mutex);
  return this->pending.size() - this->pending_offset;
}

void ServerExchange::Abandon() {
  this->Respond(kStatusInternalError, {}, "");
  this->AbortStream();
}

ServerExchangeHandle::ServerExchangeHandle(
    std::shared_ptr<ServerExchange> exchange)
    : exchange(std::move(exchange)) {}

ServerExchangeHandle::~ServerExchangeHandle() {
  this->exchange->Abandon();
}

const HttpRequest& ServerExchangeHandle::Request() const {
  return this->exchange->request;
}

void ServerExchangeHandle::Respond(int status,
                                   HttpHeaders headers,
                                   std::string body) {
  this->exchange->Respond(status, std::move(headers), std::move(body));
}

void ServerExchangeHandle::RespondShared(int status,
                                         HttpHeaders headers,
                                         HttpBody body) {
  // Here rather than on libmicrohttpd's thread, which serves all connections.
  if (!ShouldCompress(this->exchange->request.headers, body)) {
    this->exchange->RespondParts(status, std::move(headers), PlainBody(body));
    return;
  }
  headers.push_back({"Content-Encoding", "gzip"});
  this->exchange->RespondParts(status, std::move(headers), GzipBody(body));
}

void ServerExchangeHandle::StartStream(int status, HttpHeaders headers) {
  this->exchange->StartStream(status, std::move(headers));
}

void ServerExchangeHandle::Write(std::string_view data) {
  this->exchange->Write(data);
}

void ServerExchangeHandle::FinishStream() {
  this->exchange->FinishStream();
}

void ServerExchangeHandle::AbortStream() {
  this->exchange->AbortStream();
}

void ServerExchangeHandle::OnCallerDisconnected(
    std::function<void()> callback) {
  this->exchange->OnCallerDisconnected(std::move(callback));
}

std::size_t ServerExchangeHandle::PendingBytes() const {
  return this->exchange->PendingBytes();
}

}  // namespace sycamorebend::internal
