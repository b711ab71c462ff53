#include "net/http_writer.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <vector>

#include <fmt/format.h>

namespace sycamorebend::net {

namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// @return the header names listed in the Connection headers.
std::vector<std::string> ConnectionHeaderNames(const HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (!EqualsIgnoreCase(header.name, "Connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      names.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

void AppendHeader(std::string& out, const HttpHeader& header) {
  out.append(header.name).append(": ").append(header.value).append("\r\n");
}

bool IsRequestTarget(std::string_view target) {
  return !target.empty() && IsHeaderValue(target) &&
         target.find_first_of(" \t") == std::string_view::npos;
}

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  constexpr std::array<std::string_view, 9> kNames = {
      "Connection",        "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Connection",  "TE",         "Trailer",
      "Transfer-Encoding", "Upgrade",    "Expect"};
  return std::any_of(kNames.begin(), kNames.end(), [name](auto known) {
    return EqualsIgnoreCase(known, name);
  });
}

HttpHeaders ForwardableHeaders(const HttpHeaders& headers) {
  const std::vector<std::string> listed = ConnectionHeaderNames(headers);
  HttpHeaders kept;
  kept.reserve(headers.size());
  for (const HttpHeader& header : headers) {
    const bool named =
        std::any_of(listed.begin(), listed.end(), [&](const std::string& name) {
          return EqualsIgnoreCase(name, header.name);
        });
    if (!named && !IsConnectionHeader(header.name) &&
        !EqualsIgnoreCase(header.name, "Content-Length")) {
      kept.push_back(header);
    }
  }
  return kept;
}

Result<std::string> FormatRequestHead(const std::string& method,
                                      const std::string& target,
                                      const HttpHeaders& headers,
                                      std::size_t body_size) {
  if (!IsHeaderName(method) || !IsRequestTarget(target)) {
    return MakeError(ResultCode::kMalformedRequest,
                     "the method or the target has characters of neither");
  }
  std::string out = fmt::format("{} {} HTTP/1.1\r\n", method, target);
  for (const HttpHeader& header : headers) {
    if (!IsValidHeader(header)) {
      return MakeError(
          ResultCode::kMalformedRequest,
          fmt::format("header \"{}\" would end its line early", header.name));
    }
    AppendHeader(out, header);
  }
  const bool bodyless =
      method == "GET" || method == "HEAD" || method == "DELETE";
  if (body_size > 0 || !bodyless) {
    out += fmt::format("Content-Length: {}\r\n", body_size);
  }
  out += "\r\n";
  return out;
}

std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               BodyFraming framing,
                               std::size_t body_size,
                               bool close) {
  std::string out =
      fmt::format("HTTP/1.1 {} {}\r\n", status,
                  http_status_str(static_cast<http_status>(status)));
  for (const HttpHeader& header : headers) {
    if (IsValidHeader(header)) {
      AppendHeader(out, header);
    } else {
      LogEvent(Severity::kError, Event::kHeaderRefused,
               {{"header", header.name},
                {"status", status},
                {"reason", "it would end its line early"}});
    }
  }
  if (framing == BodyFraming::kLength) {
    out += fmt::format("Content-Length: {}\r\n", body_size);
  } else if (framing == BodyFraming::kChunked) {
    out += "Transfer-Encoding: chunked\r\n";
  }
  if (close || framing == BodyFraming::kUntilClose) {
    out += "Connection: close\r\n";
  }
  out += "\r\n";
  return out;
}

void AppendChunk(std::string& out, std::string_view data) {
  out += fmt::format("{:x}\r\n", data.size());
  out.append(data);
  out += "\r\n";
}

}  // namespace sycamorebend::net
