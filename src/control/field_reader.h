// Typed access to the fields of commands and RPC parameters.
#ifndef SYCAMOREBEND_SRC_CONTROL_FIELD_READER_H_
#define SYCAMOREBEND_SRC_CONTROL_FIELD_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"

namespace sycamorebend {
namespace internal {

// Reads members of a JSON object and records the first error. Unknown members
// are ignored, so that a newer release can add fields.
class FieldReader {
 public:
  explicit FieldReader(const Json::Value& object);

  // A non-empty string of at most `max_size` bytes.
  std::string Name(const std::string& key, std::size_t max_size = 256);
  // Any string; empty if absent.
  std::string OptionalString(const std::string& key);
  std::uint64_t Unsigned(const std::string& key);
  std::optional<std::uint64_t> OptionalUnsigned(const std::string& key);
  bool OptionalBool(const std::string& key);
  // A list of non-empty strings; empty if absent.
  std::vector<std::string> Names(const std::string& key);

  // Records an error for `key` if there is none yet.
  // @param accepted describes valid values: "KEY must be ACCEPTED".
  void Reject(const std::string& key, const std::string& accepted);

  // @return kMalformedRequest naming the first invalid field, if any.
  Status Finish() const;

 private:
  const Json::Value& Get(const std::string& key) const;

  const Json::Value& object;
  std::string error;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_FIELD_READER_H_
