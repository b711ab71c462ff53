#include "sycamorebend/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace sycamorebend {

namespace {

constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxNameBytes = 256;
constexpr boost::locale::utf::code_point kFirstPrintable = 0x20;
constexpr boost::locale::utf::code_point kDelete = 0x7f;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

int LineAt(std::string_view text, std::ptrdiff_t offset) {
  const auto end = std::min<std::size_t>(
      text.size(), offset < 0 ? 0 : static_cast<std::size_t>(offset));
  return 1 +
         static_cast<int>(std::count(text.begin(), text.begin() + end, '\n'));
}

}  // namespace

// The file that an object belongs to. `objects` records what was read, so that
// Finish() of the top object covers nested ones.
struct SettingsObject::Document {
  struct Object {
    Json::Value value;
    std::string path;
    std::shared_ptr<std::set<std::string>> known;
  };

  int LineOf(const Json::Value& value, const std::string& key) const {
    const Json::Value& node = value.isMember(key) ? value[key] : value;
    return LineAt(this->text, node.getOffsetStart());
  }

  std::string origin;
  std::string text;
  std::optional<Error> error;
  std::vector<Object> objects;
};

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes || text.front() == ' ' ||
      text.back() == ' ') {
    return false;
  }
  using Utf8 = boost::locale::utf::utf_traits<char>;
  for (const char* next = text.begin(); next != text.end();) {
    const boost::locale::utf::code_point symbol =
        Utf8::decode(next, text.end());
    if (!boost::locale::utf::is_valid_codepoint(symbol) ||
        symbol < kFirstPrintable || symbol == kDelete) {
      return false;
    }
  }
  return true;
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  in_addr parsed{};
  if (host.find('\0') != std::string::npos ||
      inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return false;
  }
  int port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] =
      std::from_chars(text.data() + colon + 1, last, port);
  return error == std::errc() && end == last && port >= 1 && port <= kMaxPort;
}

SettingsObject::SettingsObject(std::shared_ptr<Document> document,
                               Json::Value value,
                               std::string path)
    : document(std::move(document)),
      value(std::move(value)),
      path(std::move(path)),
      known(std::make_shared<std::set<std::string>>()) {
  this->document->objects.push_back({this->value, this->path, this->known});
}

Result<SettingsObject> SettingsObject::Load(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.is_open() || file.bad()) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     fmt::format("{}: cannot read the file", path));
  }
  return Parse(text.str(), path);
}

Result<SettingsObject> SettingsObject::Parse(std::string_view text,
                                             const std::string& origin) {
  BOOST_OUTCOME_TRY(root, ParseJsonWithComments(text, origin));
  if (!root.isObject()) {
    return MakeError(
        ResultCode::kSettingsSyntax,
        fmt::format("{}:1: the top level must be an object", origin));
  }
  auto document = std::make_shared<Document>();
  document->origin = origin;
  document->text = std::string(text);
  return SettingsObject(std::move(document), std::move(root), "");
}

void SettingsObject::Fail(ResultCode code,
                          const std::string& key,
                          const std::string& detail) {
  if (this->document->error) {
    return;
  }
  this->document->error =
      MakeError(code, fmt::format("{}:{}: \"{}{}\": {}", this->document->origin,
                                  this->document->LineOf(this->value, key),
                                  this->path, key, detail));
}

const Json::Value* SettingsObject::Find(const std::string& key, bool required) {
  this->known->insert(key);
  if (this->value.isMember(key)) {
    return &this->value[key];
  }
  if (required) {
    this->Fail(ResultCode::kSettingsMissingKey, key,
               "this key is required and missing");
  }
  return nullptr;
}

void SettingsObject::Reject(const std::string& key,
                            const std::string& accepted) {
  this->Fail(ResultCode::kSettingsInvalidValue, key,
             fmt::format("accepted: {}; found {}", accepted,
                         WriteJson(this->value.get(key, Json::Value()))));
}

std::string SettingsObject::GetString(const std::string& key,
                                      std::optional<std::string> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or("");
  }
  if (!found->isString()) {
    this->Reject(key, "a string");
    return "";
  }
  return found->asString();
}

std::int64_t SettingsObject::GetInteger(const std::string& key,
                                        std::int64_t minimum,
                                        std::int64_t maximum,
                                        std::optional<std::int64_t> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(minimum);
  }
  if (!found->isInt64() || found->asInt64() < minimum ||
      found->asInt64() > maximum) {
    this->Reject(key,
                 fmt::format("a whole number from {} to {}", minimum, maximum));
    return minimum;
  }
  return found->asInt64();
}

Duration SettingsObject::GetMilliseconds(const std::string& key,
                                         milliseconds minimum,
                                         milliseconds maximum,
                                         std::optional<milliseconds> fallback) {
  std::optional<std::int64_t> count;
  if (fallback) {
    count = fallback->count();
  }
  return milliseconds(
      this->GetInteger(key, minimum.count(), maximum.count(), count));
}

Duration SettingsObject::GetSeconds(const std::string& key,
                                    Duration minimum,
                                    Duration maximum,
                                    std::optional<Duration> fallback) {
  std::optional<double> count;
  if (fallback) {
    count = ToSeconds(*fallback);
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      this->GetNumber(key, ToSeconds(minimum), ToSeconds(maximum), count)));
}

double SettingsObject::GetNumber(const std::string& key,
                                 double minimum,
                                 double maximum,
                                 std::optional<double> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(minimum);
  }
  if (!found->isNumeric() || found->asDouble() < minimum ||
      found->asDouble() > maximum) {
    this->Reject(key, fmt::format("a number from {} to {}", minimum, maximum));
    return minimum;
  }
  return found->asDouble();
}

bool SettingsObject::GetBool(const std::string& key,
                             std::optional<bool> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(false);
  }
  if (!found->isBool()) {
    this->Reject(key, "true or false");
    return false;
  }
  return found->asBool();
}

std::string SettingsObject::GetChoice(const std::string& key,
                                      const std::vector<std::string>& accepted,
                                      std::optional<std::string> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(accepted.front());
  }
  if (!found->isString() || std::find(accepted.begin(), accepted.end(),
                                      found->asString()) == accepted.end()) {
    this->Reject(key,
                 fmt::format("one of \"{}\"", fmt::join(accepted, "\", \"")));
    return accepted.front();
  }
  return found->asString();
}

std::string SettingsObject::GetAddress(const std::string& key,
                                       std::optional<std::string> fallback) {
  const bool present = this->value.isMember(key);
  std::string address = this->GetString(key, std::move(fallback));
  if (present && !IsAddress(address)) {
    this->Reject(key, "an IPv4 address and port such as \"127.0.0.1:8080\"");
  }
  return address;
}

std::vector<std::string> SettingsObject::GetStringList(
    const std::string& key,
    std::optional<std::vector<std::string>> fallback) {
  const Json::Value* const found = this->Find(key, !fallback);
  if (found == nullptr) {
    return fallback.value_or(std::vector<std::string>());
  }
  std::vector<std::string> items;
  if (!found->isArray()) {
    this->Reject(key, "a list of strings");
    return items;
  }
  for (const Json::Value& item : *found) {
    if (!item.isString()) {
      this->Reject(key, "a list of strings");
      return {};
    }
    items.push_back(item.asString());
  }
  return items;
}

std::vector<std::string> SettingsObject::GetAddressList(
    const std::string& key,
    std::optional<std::vector<std::string>> fallback) {
  std::vector<std::string> items =
      this->GetStringList(key, std::move(fallback));
  if (!std::all_of(items.begin(), items.end(), IsAddress)) {
    this->Reject(key, "a list of addresses such as \"127.0.0.1:8080\"");
  }
  return items;
}

SettingsObject SettingsObject::GetObject(const std::string& key) {
  const Json::Value* const found = this->Find(key, false);
  Json::Value nested(Json::objectValue);
  if (found != nullptr) {
    if (found->isObject()) {
      nested = *found;
    } else {
      this->Reject(key, "an object");
    }
  }
  return SettingsObject(this->document, std::move(nested),
                        this->path + key + ".");
}

std::vector<SettingsObject> SettingsObject::GetObjectList(
    const std::string& key) {
  std::vector<SettingsObject> items;
  const Json::Value* const found = this->Find(key, false);
  if (found == nullptr) {
    return items;
  }
  if (!found->isArray()) {
    this->Reject(key, "a list of objects");
    return items;
  }
  for (Json::ArrayIndex i = 0; i < found->size(); ++i) {
    if (!(*found)[i].isObject()) {
      this->Reject(key, "a list of objects");
      return items;
    }
    items.push_back(
        SettingsObject(this->document, (*found)[i],
                       fmt::format("{}{}[{}].", this->path, key, i)));
  }
  return items;
}

bool SettingsObject::Has(const std::string& key) const {
  return this->value.isMember(key);
}

std::vector<std::string> SettingsObject::Keys() const {
  return this->value.getMemberNames();
}

Status SettingsObject::Finish() const {
  if (this->document->error) {
    return *this->document->error;
  }
  for (const Document::Object& object : this->document->objects) {
    for (const std::string& key : object.value.getMemberNames()) {
      if (object.known->count(key) == 0) {
        return MakeError(
            ResultCode::kSettingsUnknownKey,
            fmt::format("{}:{}: unknown key \"{}{}\"; accepted keys: {}",
                        this->document->origin,
                        this->document->LineOf(object.value, key), object.path,
                        key, fmt::join(*object.known, ", ")));
      }
    }
  }
  return Success();
}

Severity ReadLogSeverity(SettingsObject& object) {
  const std::vector<std::string> severities = {"debug", "info", "warning",
                                               "error"};
  const std::string severity =
      object.GetChoice("log_severity", severities, "info");
  return static_cast<Severity>(
      std::find(severities.begin(), severities.end(), severity) -
      severities.begin());
}

}  // namespace sycamorebend
