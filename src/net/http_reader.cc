#include "net/http_reader.h"

#include <algorithm>
#include <utility>

namespace sycamorebend::net {

namespace {

constexpr int kMinFinalStatus = 200;
// Framing bytes in a row, as a multiple of the limit on the head: a header of a
// few bytes has as many separators.
constexpr std::size_t kMaxFramingFactor = 4;
// Framing bytes that each byte of a body makes up for: a chunk of one byte has
// five, and a few more with an extension.
constexpr std::size_t kFramingPerBodyByte = 16;
constexpr std::size_t kParseBytes = 1024;
constexpr int kStatusDigits = 3;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Return values of on_headers_complete.
constexpr int kHasBody = 0;
constexpr int kSkipBody = 1;
constexpr int kParserError = -1;

}  // namespace

std::string_view MessageHead::Path() const {
  return std::string_view(this->target).substr(0, this->target.find('?'));
}

struct HttpReader::Callbacks {
  static HttpReader& Of(http_parser* parser) {
    return *static_cast<HttpReader*>(parser->data);
  }

  static int OnBegin(http_parser* parser) {
    Of(parser).Start();
    return 0;
  }

  static int OnTarget(http_parser* parser, const char* at, size_t size) {
    Of(parser).head.target.append(at, size);
    return Of(parser).CountHead(size);
  }

  static int OnField(http_parser* parser, const char* at, size_t size) {
    HttpReader& reader = Of(parser);
    if (reader.value_begun) {
      reader.FinishHeader();
    }
    reader.field.append(at, size);
    return reader.CountHead(size);
  }

  static int OnValue(http_parser* parser, const char* at, size_t size) {
    HttpReader& reader = Of(parser);
    reader.value_begun = true;
    reader.value.append(at, size);
    return reader.CountHead(size);
  }

  static int OnHeadersComplete(http_parser* parser) {
    return Of(parser).HeadersComplete();
  }

  static int OnBody(http_parser* parser, const char* at, size_t size) {
    std::size_t& framing = Of(parser).framing_bytes;
    framing -= std::min(framing, size * kFramingPerBodyByte);
    Of(parser).sink.OnBody({at, size});
    return Of(parser).failed ? kParserError : 0;
  }

  static int OnComplete(http_parser* parser) {
    // Stops the parser so that Read can return at the end of the message.
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = &OnBegin;
      settings.on_url = &OnTarget;
      settings.on_header_field = &OnField;
      settings.on_header_value = &OnValue;
      settings.on_headers_complete = &OnHeadersComplete;
      settings.on_body = &OnBody;
      settings.on_message_complete = &OnComplete;
      return settings;
    }();
    return kSettings;
  }
};

HttpReader::HttpReader(Kind kind, MessageSink& sink, std::size_t max_head_bytes)
    : kind(kind), sink(sink), max_head_bytes(max_head_bytes) {
  http_parser_init(&this->parser,
                   kind == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  this->parser.data = this;
}

void HttpReader::Start() {
  this->head = MessageHead();
  this->field.clear();
  this->value.clear();
  this->value_begun = false;
  this->in_message = true;
  this->informational = false;
  this->head_bytes = 0;
}

int HttpReader::CountHead(std::size_t size) {
  this->head_bytes += size;
  this->head_too_large = this->head_bytes > this->max_head_bytes;
  return this->head_too_large ? kParserError : 0;
}

void HttpReader::FinishHeader() {
  this->head.headers.push_back(
      {std::move(this->field), std::move(this->value)});
  this->field.clear();
  this->value.clear();
  this->value_begun = false;
}

int HttpReader::HeadersComplete() {
  if (this->value_begun || !this->field.empty()) {
    this->FinishHeader();
  }
  if (this->parser.upgrade != 0 || this->parser.http_major != 1) {
    return kParserError;
  }
  const bool request = this->kind == Kind::kRequest;
  if (request) {
    this->head.method =
        http_method_str(static_cast<http_method>(this->parser.method));
  } else {
    this->head.status = static_cast<int>(this->parser.status_code);
    if (!IsStatusCode(this->head.status)) {
      return kParserError;
    }
    this->informational = this->head.status < kMinFinalStatus;
    if (this->informational) {
      return kSkipBody;
    }
  }
  this->head.keep_alive = http_should_keep_alive(&this->parser) != 0;
  this->head.http_1_0 =
      this->parser.http_major == 1 && this->parser.http_minor == 0;
  if ((this->parser.flags & F_CONTENTLENGTH) != 0) {
    this->head.content_length = this->parser.content_length;
  }
  const bool bodyless = this->no_body || this->head.status == kNoContent ||
                        this->head.status == kNotModified;
  if ((this->parser.flags & F_CHUNKED) != 0) {
    this->head.framing = BodyFraming::kChunked;
  } else if (!request && !bodyless && !this->head.content_length) {
    this->head.framing = BodyFraming::kUntilClose;
  }
  if (!this->sink.OnHead(std::move(this->head))) {
    return kParserError;
  }
  return !request && this->no_body ? kSkipBody : kHasBody;
}

void HttpReader::CheckStatusLine(std::string_view data) {
  if (!this->in_message) {
    this->status_line_part = StatusLinePart::kVersion;
    this->status_digits = 0;
  }
  for (const char c : data) {
    if (this->status_line_part == StatusLinePart::kRest) {
      return;
    }
    if (this->status_line_part == StatusLinePart::kVersion) {
      if (c == ' ') {
        this->status_line_part = StatusLinePart::kStatus;
      }
    } else if (c >= '0' && c <= '9') {
      ++this->status_digits;
    } else {
      this->status_line_part = StatusLinePart::kRest;
      this->failed = this->failed || this->status_digits != kStatusDigits;
    }
  }
}

std::size_t HttpReader::Read(std::string_view data) {
  std::size_t used = 0;
  while (used < data.size() && !this->failed) {
    // In pieces, so that the body bytes of a large read do not count as
    // framing.
    const std::string_view rest = data.substr(used, kParseBytes);
    if (this->kind == Kind::kResponse) {
      this->CheckStatusLine(rest);
      if (this->failed) {
        return used;
      }
    }
    const std::size_t size = http_parser_execute(
        &this->parser, &Callbacks::Settings(), rest.data(), rest.size());
    used += size;
    this->framing_bytes += size;
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&this->parser, 0);
      this->in_message = false;
      if (!this->informational) {
        this->framing_bytes = 0;
        this->sink.OnMessageEnd();
        return used;
      }
    } else if (error != HPE_OK) {
      this->head_too_large =
          this->head_too_large || error == HPE_HEADER_OVERFLOW;
      this->failed = true;
    }
    if (this->framing_bytes > this->max_head_bytes * kMaxFramingFactor) {
      this->failed = true;
    }
  }
  return used;
}

void HttpReader::End() {
  if (this->failed || !this->in_message) {
    return;
  }
  http_parser_execute(&this->parser, &Callbacks::Settings(), nullptr, 0);
  const auto error = HTTP_PARSER_ERRNO(&this->parser);
  if (error == HPE_PAUSED) {
    this->in_message = false;
    this->sink.OnMessageEnd();
  } else {
    this->failed = true;
  }
}

}  // namespace sycamorebend::net
