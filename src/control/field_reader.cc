#include "control/field_reader.h"

#include <fmt/format.h>

namespace sycamorebend {
namespace internal {

namespace {

// Largest integer that JSON parsers with double-precision numbers read exactly.
constexpr std::uint64_t kMaxExactInteger = (1ULL << 53) - 1;

}  // namespace

FieldReader::FieldReader(const Json::Value& object) : object(object) {
  if (!object.isObject()) {
    this->error = "the parameters must be an object";
  }
}

const Json::Value& FieldReader::Get(const std::string& key) const {
  return this->object.isObject() ? this->object[key]
                                 : Json::Value::nullSingleton();
}

std::string FieldReader::Name(const std::string& key, std::size_t max_size) {
  const Json::Value& value = this->Get(key);
  if (!value.isString() || value.asString().empty() ||
      value.asString().size() > max_size) {
    this->Reject(key, fmt::format("a string of 1 to {} bytes", max_size));
    return {};
  }
  return value.asString();
}

std::string FieldReader::OptionalString(const std::string& key) {
  const Json::Value& value = this->Get(key);
  if (!value.isNull() && !value.isString()) {
    this->Reject(key, "a string");
  }
  return value.isString() ? value.asString() : std::string();
}

std::uint64_t FieldReader::Unsigned(const std::string& key) {
  const std::optional<std::uint64_t> value = this->OptionalUnsigned(key);
  if (!value) {
    this->Reject(key, "a whole number from 0 to 9007199254740991");
  }
  return value.value_or(0);
}

std::optional<std::uint64_t> FieldReader::OptionalUnsigned(
    const std::string& key) {
  const Json::Value& value = this->Get(key);
  if (value.isNull()) {
    return std::nullopt;
  }
  if (!value.isUInt64() || value.asUInt64() > kMaxExactInteger) {
    this->Reject(key, "a whole number from 0 to 9007199254740991");
    return std::nullopt;
  }
  return value.asUInt64();
}

bool FieldReader::OptionalBool(const std::string& key) {
  const Json::Value& value = this->Get(key);
  if (!value.isNull() && !value.isBool()) {
    this->Reject(key, "true or false");
  }
  return value.isBool() && value.asBool();
}

std::vector<std::string> FieldReader::Names(const std::string& key) {
  const Json::Value& value = this->Get(key);
  std::vector<std::string> names;
  if (!value.isNull() && !value.isArray()) {
    this->Reject(key, "a list of strings");
    return names;
  }
  for (const Json::Value& item : value) {
    if (!item.isString() || item.asString().empty()) {
      this->Reject(key, "a list of strings that are not empty");
      return names;
    }
    names.push_back(item.asString());
  }
  return names;
}

void FieldReader::Reject(const std::string& key, const std::string& accepted) {
  if (this->error.empty()) {
    this->error = fmt::format("\"{}\" must be {}", key, accepted);
  }
}

Status FieldReader::Finish() const {
  if (!this->error.empty()) {
    return MakeError(ResultCode::kMalformedRequest, this->error);
  }
  return Success();
}

}  // namespace internal
}  // namespace sycamorebend
