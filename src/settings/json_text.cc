#include <json/reader.h>
#include <json/writer.h>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

// Of input.
constexpr int kMaxJsonDepth = 64;
// Of text that this system has written. A patch has two levels for each one of
// the documents that it compares, and both are members of other objects.
constexpr int kMaxStoredJsonDepth = 4 * kMaxJsonDepth;

Result<Json::Value> ParseWith(std::string_view text,
                              bool comments,
                              int max_depth,
                              const std::string& origin,
                              ResultCode code) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = comments;
  builder["strictRoot"] = false;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  bool parsed = false;
  try {
    parsed =
        reader->parse(text.data(), text.data() + text.size(), &value, &errors);
  } catch (const Json::Exception& exception) {
    // jsoncpp throws when the nesting limit is exceeded.
    errors = exception.what();
  }
  if (!parsed) {
    return MakeError(code, origin + ": " + errors);
  }
  return value;
}

}  // namespace

Result<Json::Value> ParseJsonWithComments(std::string_view text,
                                          const std::string& origin) {
  return ParseWith(text, true, kMaxJsonDepth, origin,
                   ResultCode::kSettingsSyntax);
}

Result<Json::Value> ParseJson(std::string_view text) {
  return ParseWith(text, false, kMaxJsonDepth, "JSON",
                   ResultCode::kMalformedRequest);
}

Result<Json::Value> ParseStoredJson(std::string_view text) {
  return ParseWith(text, false, kMaxStoredJsonDepth, "stored JSON",
                   ResultCode::kMalformedRequest);
}

std::string WriteJson(const Json::Value& value) {
  static const auto* const kBuilder = [] {
    auto* builder = new Json::StreamWriterBuilder;
    (*builder)["indentation"] = "";
    (*builder)["commentStyle"] = "None";
    (*builder)["emitUTF8"] = true;
    return builder;
  }();
  return Json::writeString(*kBuilder, value);
}

}  // namespace sycamorebend
