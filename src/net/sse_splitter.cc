#include "net/sse_splitter.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace sycamorebend::net {

namespace {

std::string_view WithoutCarriageReturn(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

// @return the value if `line` is a field called `name`.
std::optional<std::string_view> FieldValue(std::string_view line,
                                           std::string_view name) {
  if (line.substr(0, name.size()) != name) {
    return std::nullopt;
  }
  line.remove_prefix(name.size());
  if (line.empty()) {
    return line;
  }
  if (line.front() != ':') {
    return std::nullopt;
  }
  line.remove_prefix(1);
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return line;
}

void ParseLine(std::string_view line, SseEvent& event) {
  if (const auto id = FieldValue(line, "id")) {
    std::int64_t number = 0;
    const auto [end, error] =
        std::from_chars(id->data(), id->data() + id->size(), number);
    if (error == std::errc() && end == id->data() + id->size()) {
      event.id = number;
    }
  } else if (const auto data = FieldValue(line, "data")) {
    event.has_data = true;
    event.done = *data == "[DONE]";
  }
}

}  // namespace

bool IsEventStream(const HttpHeaders& headers) {
  constexpr std::string_view kType = "text/event-stream";
  const std::string value = FindHeader(headers, "Content-Type").value_or("");
  const std::string_view type =
      std::string_view(value).substr(0, value.find_first_of("; \t"));
  return type.size() == kType.size() &&
         strncasecmp(type.data(), kType.data(), kType.size()) == 0;
}

bool IsTruncatedEventStream(const HttpHeaders& headers, std::string_view body) {
  if (!IsEventStream(headers)) {
    return false;
  }
  SseSplitter splitter;
  splitter.Append(body);
  while (splitter.Next()) {
  }
  return splitter.PendingBytes() > 0;
}

void SseSplitter::Append(std::string_view data) {
  // Erases the events already returned; their views are only valid until this
  // call.
  if (this->event_begin > 0) {
    this->buffer.erase(0, this->event_begin);
    this->line_begin -= this->event_begin;
    this->searched -= this->event_begin;
    this->event_begin = 0;
  }
  this->buffer.append(data);
}

std::optional<SseEvent> SseSplitter::Next() {
  const std::string_view text = this->buffer;
  for (;;) {
    const std::size_t end =
        text.find('\n', std::max(this->line_begin, this->searched));
    if (end == std::string_view::npos) {
      this->searched = text.size();
      return std::nullopt;
    }
    const std::string_view line = WithoutCarriageReturn(
        text.substr(this->line_begin, end - this->line_begin));
    this->line_begin = end + 1;
    this->searched = this->line_begin;
    if (!line.empty()) {
      continue;
    }
    SseEvent event;
    event.bytes =
        text.substr(this->event_begin, this->line_begin - this->event_begin);
    this->event_begin = this->line_begin;
    std::size_t begin = 0;
    while (begin < event.bytes.size()) {
      const std::size_t line_end = event.bytes.find('\n', begin);
      ParseLine(
          WithoutCarriageReturn(event.bytes.substr(begin, line_end - begin)),
          event);
      begin = line_end + 1;
    }
    return event;
  }
}

}  // namespace sycamorebend::net
