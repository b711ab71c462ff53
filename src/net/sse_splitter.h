// Splits a server-sent event stream into complete events.
#ifndef SYCAMOREBEND_SRC_NET_SSE_SPLITTER_H_
#define SYCAMOREBEND_SRC_NET_SSE_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sycamorebend/http.h"

namespace sycamorebend::net {

// @return true if the media type of a message is that of an event stream.
bool IsEventStream(const HttpHeaders& headers);

// @return true if the message is an event stream that ends inside an event.
bool IsTruncatedEventStream(const HttpHeaders& headers, std::string_view body);

// One event. The views are valid until the next call of the splitter.
struct SseEvent {
  // The event's bytes as received, with the empty line that ends it.
  std::string_view bytes;
  // The value of its `id` line, if that is a number.
  std::optional<std::int64_t> id;
  bool has_data = false;
  // True for `data: [DONE]`.
  bool done = false;

  // @return true if the event carries nothing for its reader.
  bool IsComment() const { return !this->id && !this->has_data; }
};

// Accepts the stream in chunks of any size. Only line ends, `id` and `data` are
// interpreted; lines end with LF or CRLF.
class SseSplitter {
 public:
  void Append(std::string_view data);

  // @return the next complete event, or nothing until more data is appended.
  std::optional<SseEvent> Next();

  // @return bytes that belong to an incomplete event.
  std::size_t PendingBytes() const {
    return this->buffer.size() - this->event_begin;
  }

 private:
  std::string buffer;
  std::size_t event_begin = 0;
  // Start of the first line of the pending event not parsed yet.
  std::size_t line_begin = 0;
  // Bytes of the buffer that were searched for the end of that line.
  std::size_t searched = 0;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_SSE_SPLITTER_H_
