// How the end of an HTTP/1 message body is marked.
#ifndef SYCAMOREBEND_SRC_NET_BODY_FRAMING_H_
#define SYCAMOREBEND_SRC_NET_BODY_FRAMING_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace sycamorebend::net {

enum class BodyFraming {
  kLength = 0,  // Content-Length, or no body at all.
  kChunked = 1,
  kUntilClose = 2,  // Delimited by connection close; responses only.
};

// @return the name of `framing` in logs and metrics.
inline std::string_view BodyFramingName(BodyFraming framing) {
  constexpr std::array<std::string_view, 3> kNames = {"length", "chunked",
                                                      "until_close"};
  return kNames[static_cast<std::size_t>(framing)];
}

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_BODY_FRAMING_H_
