// Strict reader for settings files: JSON with comments in which every key must
// be known and every value accepted. Errors name file, line, key and the
// accepted values.
#ifndef SYCAMOREBEND_SETTINGS_H_
#define SYCAMOREBEND_SETTINGS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Reads JSON with comments.
// @param origin file name used in error messages.
Result<Json::Value> ParseJsonWithComments(std::string_view text,
                                          const std::string& origin);

// Reads JSON as other processes send it: no comments, one value, no duplicate
// keys, at most 64 levels deep.
Result<Json::Value> ParseJson(std::string_view text);

// The same for text that this system has written and that may contain input: at
// most 256 levels deep, so that whatever was accepted can be read again.
Result<Json::Value> ParseStoredJson(std::string_view text);

// @return compact JSON text without a trailing newline; keys are sorted, so
// that equal values have equal text.
std::string WriteJson(const Json::Value& value);

// One object of a settings file. Each getter marks its key as known and
// records the first error; Finish() reports it, or the first unknown key.
class SettingsObject {
 public:
  // Reads the file at `path`, whose top level must be an object.
  static Result<SettingsObject> Load(const std::string& path);
  // Reads `text`; `origin` stands for the file name in errors.
  static Result<SettingsObject> Parse(std::string_view text,
                                      const std::string& origin);

  // @return the value, or `fallback` if the key is absent. Without a fallback
  // an absent key is an error.
  std::string GetString(const std::string& key,
                        std::optional<std::string> fallback = std::nullopt);
  // A whole number within [minimum, maximum].
  std::int64_t GetInteger(const std::string& key,
                          std::int64_t minimum,
                          std::int64_t maximum,
                          std::optional<std::int64_t> fallback = std::nullopt);
  // Milliseconds within [minimum, maximum]. The key ends in "_ms".
  Duration GetMilliseconds(const std::string& key,
                           milliseconds minimum,
                           milliseconds maximum,
                           std::optional<milliseconds> fallback = std::nullopt);
  // Seconds within [minimum, maximum], fractions included. The key ends in
  // "_s".
  Duration GetSeconds(const std::string& key,
                      Duration minimum,
                      Duration maximum,
                      std::optional<Duration> fallback = std::nullopt);
  // A finite number within [minimum, maximum].
  double GetNumber(const std::string& key,
                   double minimum,
                   double maximum,
                   std::optional<double> fallback = std::nullopt);
  bool GetBool(const std::string& key,
               std::optional<bool> fallback = std::nullopt);
  // One of `accepted`.
  std::string GetChoice(const std::string& key,
                        const std::vector<std::string>& accepted,
                        std::optional<std::string> fallback = std::nullopt);
  // "IP:port" with an IPv4 address.
  std::string GetAddress(const std::string& key,
                         std::optional<std::string> fallback = std::nullopt);
  std::vector<std::string> GetStringList(
      const std::string& key,
      std::optional<std::vector<std::string>> fallback = std::nullopt);
  // A list of "IP:port".
  std::vector<std::string> GetAddressList(
      const std::string& key,
      std::optional<std::vector<std::string>> fallback = std::nullopt);
  // A nested object; an empty one if the key is absent. Its errors are
  // reported by this object's Finish().
  SettingsObject GetObject(const std::string& key);
  std::vector<SettingsObject> GetObjectList(const std::string& key);

  // Records that the value of `key` is not accepted.
  void Reject(const std::string& key, const std::string& accepted);

  bool Has(const std::string& key) const;
  std::vector<std::string> Keys() const;

  // @return the first error of this object or of those taken from it.
  Status Finish() const;

 private:
  struct Document;

  SettingsObject(std::shared_ptr<Document> document,
                 Json::Value value,
                 std::string path);

  const Json::Value* Find(const std::string& key, bool required);
  void Fail(ResultCode code, const std::string& key, const std::string& detail);

  std::shared_ptr<Document> document;
  Json::Value value;
  std::string path;
  std::shared_ptr<std::set<std::string>> known;
};

// @return the value of "log_severity": debug, info, warning or error; info if
// it is absent.
Severity ReadLogSeverity(SettingsObject& object);

// @return true if `text` can be the name of a server, service, customer or the
// like: 1 to 256 bytes of UTF-8 without control characters, and no space at
// either end. Such a name is the same text in JSON, headers and logs.
bool IsName(std::string_view text);

// @return true if `text` is an IPv4 address and a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SETTINGS_H_
