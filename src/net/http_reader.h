// Incremental parser of HTTP/1 messages, based on http_parser.
#ifndef SYCAMOREBEND_SRC_NET_HTTP_READER_H_
#define SYCAMOREBEND_SRC_NET_HTTP_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/body_framing.h"
#include "sycamorebend/http.h"

namespace sycamorebend::net {

// Start line and headers of a request or a response.
struct MessageHead {
  std::string method;  // Requests.
  std::string target;  // Requests: path and query as received.
  int status = 0;      // Responses.
  HttpHeaders headers;
  bool keep_alive = true;
  bool http_1_0 = false;
  // Absent for chunked messages and those delimited by connection close.
  std::optional<std::uint64_t> content_length;
  BodyFraming framing = BodyFraming::kLength;

  // @return the target without its query.
  std::string_view Path() const;
};

// Receives parsed messages piece by piece.
class MessageSink {
 public:
  virtual ~MessageSink() = default;
  // @return false to reject the message, which makes the reader fail.
  virtual bool OnHead(MessageHead head) = 0;
  virtual void OnBody(std::string_view data) = 0;
  virtual void OnMessageEnd() = 0;
};

class HttpReader {
 public:
  enum class Kind { kRequest, kResponse };

  // @param max_head_bytes limit on the size of start line and headers.
  HttpReader(Kind kind, MessageSink& sink, std::size_t max_head_bytes);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Parses up to the end of one message. Fails if the peer sends too many bytes
  // that belong neither to a final head nor to a body, such as informational
  // responses or chunk extensions, for the size of its body.
  // @return the number of bytes consumed; the rest belongs to the next message.
  std::size_t Read(std::string_view data);
  // Signals connection close, which ends a response without a length.
  void End();

  // Makes the reader fail at the present piece. May be called by the sink.
  void Stop() { this->failed = true; }
  // @return bytes of a head that is not complete.
  std::size_t HeldHeadBytes() const {
    return this->in_message ? this->head_bytes : 0;
  }

  // The next response has no body, because it belongs to a HEAD request.
  void ExpectNoBody(bool expected) { this->no_body = expected; }

  bool Failed() const { return this->failed; }
  bool HeadTooLarge() const { return this->head_too_large; }
  // @return true between the first byte of a message and its end.
  bool InMessage() const { return this->in_message; }

 private:
  struct Callbacks;
  enum class StatusLinePart { kVersion = 0, kStatus = 1, kRest = 2 };

  void Start();
  // Checks the form of a response's status line, of which http_parser accepts
  // more than three digits and several spaces. Fails if it is malformed.
  void CheckStatusLine(std::string_view data);
  // @return a parser error if the head is too large, otherwise 0.
  int CountHead(std::size_t size);
  void FinishHeader();
  int HeadersComplete();

  const Kind kind;
  MessageSink& sink;
  const std::size_t max_head_bytes;
  http_parser parser{};
  MessageHead head;
  std::string field;
  std::string value;
  bool value_begun = false;
  bool in_message = false;
  bool informational = false;
  bool no_body = false;
  bool failed = false;
  bool head_too_large = false;
  StatusLinePart status_line_part = StatusLinePart::kVersion;
  int status_digits = 0;
  std::size_t head_bytes = 0;
  // Bytes consumed since the end of a message that the pieces of its body do
  // not make up for.
  std::size_t framing_bytes = 0;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_HTTP_READER_H_
