// HTTP server and client behind interfaces. The server runs on libmicrohttpd,
// the client on libcurl; neither appears in this header.
#ifndef SYCAMOREBEND_HTTP_H_
#define SYCAMOREBEND_HTTP_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

// @return the value of the first header called `name`, compared without regard
// to case.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// @return true if a number of three digits is a status code (RFC 9110, section
// 15): 100 to 599. A response with another one is no response.
constexpr bool IsStatusCode(int status) {
  return status >= 100 && status <= 599;
}

// @return true if `name` is the name of a header (RFC 9110, section 5.1).
bool IsHeaderName(std::string_view name);

// @return true if `value` can be the value of a header (RFC 9110, section 5.5):
// it has no control characters except for tabs. Any other value could end the
// line, and what follows would be read as further headers or requests.
bool IsHeaderValue(std::string_view value);

// @return true if a header with this name and value can be written.
inline bool IsValidHeader(const HttpHeader& header) {
  return IsHeaderName(header.name) && IsHeaderValue(header.value);
}

// Immutable text that several responses share, with its compressed form.
// Thread-safe.
class SharedText {
 public:
  explicit SharedText(std::string text) : text(std::move(text)) {}

  const std::string& Text() const { return this->text; }
  // Compressed by the first call.
  // @return deflate blocks (RFC 1951) none of which is the last one. They end
  // at a byte boundary and refer to nothing before them, so that they can be
  // part of any stream.
  const std::string& Deflated() const;
  // @return the CRC-32 of the text.
  std::uint32_t Checksum() const;

 private:
  void Compress() const;

  const std::string text;
  mutable std::once_flag compressed;
  mutable std::string deflated;
  mutable std::uint32_t checksum = 0;
};

// A body that consists of the texts in this order.
using HttpBody = std::vector<std::shared_ptr<const SharedText>>;

// @return the whole text of a body.
std::string JoinBody(const HttpBody& body);

// ---------------------------------------------------------------------------
// Server

// A request that was received completely.
struct HttpRequest {
  std::string method;
  std::string path;    // Without the query.
  std::string target;  // Path and query as received.
  HttpHeaders query;   // Decoded query parameters.
  HttpHeaders headers;
  std::string body;
};

// One request and its answer. Thread-safe; the answer can be given from any
// thread, at any time. An exchange that is released without an answer is
// answered with status 500.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  // Sends a whole answer.
  virtual void Respond(int status, HttpHeaders headers, std::string body) = 0;

  // As Respond, for a body of which other responses have parts too. The server
  // sends the texts from where they are, compressed (gzip) if the body is large
  // and the caller accepts that.
  virtual void RespondShared(int status, HttpHeaders headers, HttpBody body);

  // Begins a chunked answer, continued with Write and ended with FinishStream
  // or AbortStream.
  virtual void StartStream(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view data) = 0;
  virtual void FinishStream() = 0;
  // Closes the connection without the final chunk, so that the caller sees
  // that the answer is truncated.
  virtual void AbortStream() = 0;

  // Calls `callback` once, from any thread, when the caller has closed the
  // connection before the answer was sent completely. It is called at once if
  // that has happened already. It is not called after a complete answer.
  virtual void OnCallerDisconnected(std::function<void()> callback) = 0;

  // @return bytes written but not yet passed to the socket.
  virtual std::size_t PendingBytes() const = 0;
};

// Receives requests on the server's threads. It must not block.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

struct HttpServerOptions {
  std::string address;  // "IP:port"; port 0 picks a free one.
  int threads = 2;
  std::size_t max_body_bytes = 4 << 20;
  // Limit on the bodies in progress of all connections together: 32 of the
  // largest at one time.
  std::size_t max_incoming_bytes = 128 << 20;
  std::size_t max_header_bytes = 64 << 10;
  // Longest time to receive one request.
  Duration receive_timeout = seconds(10);
  // A peer that acknowledges nothing for this long is disconnected.
  Duration unacknowledged_timeout = seconds(15);
  int max_connections = 20000;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;

  // Begins to serve. `handler` must outlive the server.
  // @return the server, or kListenFailed.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      HttpHandler& handler);

  // @return the bound address as "IP:port".
  virtual std::string Address() const = 0;

  // @return the number of requests that are not answered completely.
  virtual std::size_t OpenExchanges() const = 0;

  // Closes the listening socket; open connections go on.
  virtual void StopAccepting() = 0;

  // Ends the server; open exchanges are aborted.
  virtual void Stop() = 0;
};

// ---------------------------------------------------------------------------
// Client

struct HttpCall {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration connect_timeout = seconds(1);
  // From the start of the call to the first byte of the answer's body or its
  // end.
  Duration first_byte_timeout = seconds(30);
  // Longest time between two pieces of the body.
  Duration gap_timeout = seconds(30);
  Duration total_timeout = std::chrono::minutes(30);
  // A longer body is an error (kProtocolError); 0: no limit.
  std::size_t max_body_bytes = 0;
  // Accepts a compressed body, which is passed on decompressed.
  bool accept_compressed = false;
  // Uses a connection of its own that is never reused. Required for calls that
  // must not run twice: libcurl sends a request again by itself when a reused
  // connection closes before the first byte of the answer.
  bool fresh_connection = false;
  // Called on a connected socket immediately before the first byte is sent.
  // The call is cancelled if it returns false.
  std::function<bool()> before_send;
};

// How a call ended.
struct HttpOutcome {
  // kOk when the answer was received completely, whatever its status.
  ResultCode code = ResultCode::kOk;
  std::string message;
  int status = 0;  // 0 if no answer arrived.
  // True if not a single byte of the request can have reached the server.
  bool nothing_sent = false;
  // Bytes of HTTP messages, without TCP and IP headers.
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

// Receives the answer on a thread of the client. Methods must not block.
class HttpObserver {
 public:
  virtual ~HttpObserver() = default;
  virtual void OnHeaders(int status, const HttpHeaders& headers) = 0;
  virtual void OnData(std::string_view data) = 0;
  // The last call; exactly once for each call, also after Cancel.
  virtual void OnDone(const HttpOutcome& outcome) = 0;
};

// A complete answer.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

using HttpCallId = std::uint64_t;

// Limit on the bodies that Fetch keeps.
inline constexpr std::size_t kMaxFetchedBytes = std::size_t{64} << 20;

class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // @param threads number of traffic threads.
  static std::unique_ptr<HttpClient> Create(int threads);

  virtual HttpCallId Start(HttpCall call,
                           std::shared_ptr<HttpObserver> observer) = 0;

  // Closes the call's connection. Does nothing for a finished call. OnDone
  // follows with kCancelled.
  virtual void Cancel(HttpCallId id) = 0;

  // Runs a call and waits for the whole answer. Without a limit on its body,
  // kMaxFetchedBytes holds.
  // @return the answer, whatever its status, or the error of the transport.
  Result<HttpResponse> Fetch(HttpCall call);
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_HTTP_H_
