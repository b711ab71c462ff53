// The server's side of one HTTP request on libmicrohttpd.
#ifndef SYCAMOREBEND_SRC_HTTP_SERVER_EXCHANGE_H_
#define SYCAMOREBEND_SRC_HTTP_SERVER_EXCHANGE_H_

#include <microhttpd.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "http/body_parts.h"
#include "sycamorebend/http.h"

namespace sycamorebend::internal {

// State of one request, shared between libmicrohttpd's thread and whoever
// answers. The connection is suspended while there is nothing to send.
class ServerExchange {
 public:
  ServerExchange(MHD_Connection* connection, TimePoint started);

  // Called on libmicrohttpd's thread.
  // Queues the answer if it is known, and suspends the connection otherwise.
  MHD_Result QueueOrSuspend();
  // Called on libmicrohttpd's thread when the request is over; `whole` tells
  // whether the answer was sent completely.
  void Complete(bool whole);

  void Respond(int status, HttpHeaders headers, std::string body);
  void RespondParts(int status, HttpHeaders headers, BodyParts body);
  void StartStream(int status, HttpHeaders headers);
  void Write(std::string_view data);
  void FinishStream();
  void AbortStream();
  void OnCallerDisconnected(std::function<void()> callback);
  std::size_t PendingBytes() const;
  // The peer closed the connection.
  void MarkGone();
  // Answers with status 500 unless an answer was given.
  void Abandon();

  HttpRequest request;
  TimePoint started;
  std::size_t declared_body_bytes = 0;
  bool body_too_large = false;
  bool dispatched = false;
  // The whole request was read.
  bool received = false;
  std::uint64_t watch_id = 0;

 private:
  enum class Phase { kWaiting, kWhole, kStreaming, kFinished, kAborted };

  static ssize_t ReadStream(void* context,
                            std::uint64_t position,
                            char* buffer,
                            std::size_t capacity);
  static void ReleaseStream(void* context);

  // The caller holds `mutex`.
  void ResumeLocked();
  // @return false if there is an answer already.
  bool BeginWholeLocked(int status, HttpHeaders headers);
  MHD_Response* BuildPartsResponseLocked();
  MHD_Response* BuildResponseLocked();

  mutable std::mutex mutex;
  // Null once the request is over.
  MHD_Connection* connection;
  bool suspended = false;
  bool gone = false;
  Phase phase = Phase::kWaiting;
  bool streamed = false;
  int status = 0;
  HttpHeaders headers;
  std::string pending;
  // The body instead of `pending`, until it is passed to libmicrohttpd.
  BodyParts parts;
  std::size_t pending_offset = 0;
  std::function<void()> gone_callback;
  // Keeps this object alive while libmicrohttpd can call ReadStream.
  std::shared_ptr<ServerExchange> stream_reference;

  friend class ServerExchangeHandle;

 public:
  std::weak_ptr<ServerExchange> self;
};

// What the handler holds. It answers with status 500 when it is released
// without an answer.
class ServerExchangeHandle : public HttpExchange {
 public:
  explicit ServerExchangeHandle(std::shared_ptr<ServerExchange> exchange);
  ~ServerExchangeHandle() override;

  const HttpRequest& Request() const override;
  void Respond(int status, HttpHeaders headers, std::string body) override;
  void RespondShared(int status, HttpHeaders headers, HttpBody body) override;
  void StartStream(int status, HttpHeaders headers) override;
  void Write(std::string_view data) override;
  void FinishStream() override;
  void AbortStream() override;
  void OnCallerDisconnected(std::function<void()> callback) override;
  std::size_t PendingBytes() const override;

 private:
  std::shared_ptr<ServerExchange> exchange;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_SERVER_EXCHANGE_H_
