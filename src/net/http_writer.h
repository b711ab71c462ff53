// Serialization of HTTP/1.1 messages.
#ifndef SYCAMOREBEND_SRC_NET_HTTP_WRITER_H_
#define SYCAMOREBEND_SRC_NET_HTTP_WRITER_H_

#include <string>
#include <string_view>

#include "net/body_framing.h"
#include "sycamorebend/http.h"

namespace sycamorebend::net {

// @return true for hop-by-hop headers, which must not be forwarded: Connection,
// Keep-Alive, Transfer-Encoding and the like.
bool IsConnectionHeader(std::string_view name);

// @return the headers without hop-by-hop headers, those that the Connection
// header lists, and Content-Length.
HttpHeaders ForwardableHeaders(const HttpHeaders& headers);

// @return a request head with `Content-Length: body_size`, which is left out
// for an empty body of GET, HEAD and DELETE; kMalformedRequest, naming the
// part, if the method, the target or a header would end its line early. The
// server would then read another request than the one that was meant.
Result<std::string> FormatRequestHead(const std::string& method,
                                      const std::string& target,
                                      const HttpHeaders& headers,
                                      std::size_t body_size);

// A header that would end its line early is left out (event header_refused).
// @param body_size used with kLength.
std::string FormatResponseHead(int status,
                               const HttpHeaders& headers,
                               BodyFraming framing,
                               std::size_t body_size,
                               bool close);

// Appends one chunk of a chunked body.
void AppendChunk(std::string& out, std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_HTTP_WRITER_H_
