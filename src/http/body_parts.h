// Bytes of a response body that are sent from where they are.
#ifndef SYCAMOREBEND_SRC_HTTP_BODY_PARTS_H_
#define SYCAMOREBEND_SRC_HTTP_BODY_PARTS_H_

#include <memory>
#include <string_view>
#include <vector>

#include "sycamorebend/http.h"

namespace sycamorebend::internal {

struct BodyPart {
  // Keeps `bytes` valid.
  std::shared_ptr<const void> owner;
  std::string_view bytes;
};
using BodyParts = std::vector<BodyPart>;

// @return `body` without a change.
BodyParts PlainBody(const HttpBody& body);

// @return `body` as one gzip member (RFC 1952). Texts that were compressed
// before are not compressed again.
BodyParts GzipBody(const HttpBody& body);

// @return true if the body is worth compressing and `request_headers` accept
// that.
bool ShouldCompress(const HttpHeaders& request_headers, const HttpBody& body);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_BODY_PARTS_H_
