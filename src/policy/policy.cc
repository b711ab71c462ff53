#include "sycamorebend/policy.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <optional>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr milliseconds kLongestTime = std::chrono::hours(24);
constexpr std::size_t kMaxTiers = 16;
constexpr std::size_t kDigestLength = 64;
constexpr int kMaxCount = 1000000;

// Reads the names of the tiers, by which classes and customers refer to them.
Status ParseTiers(SettingsObject& root, Policy& policy) {
  policy.tiers = root.GetStringList("tiers");
  const std::set<std::string> unique(policy.tiers.begin(), policy.tiers.end());
  if (policy.tiers.empty() || policy.tiers.size() > kMaxTiers ||
      unique.size() != policy.tiers.size()) {
    root.Reject("tiers", fmt::format("1 to {} different names", kMaxTiers));
  }
  return root.Finish();
}

Tier TierIndex(const Policy& policy, const std::string& name) {
  const auto found = std::find(policy.tiers.begin(), policy.tiers.end(), name);
  return static_cast<Tier>(found - policy.tiers.begin());
}

Selector ReadSelector(SettingsObject& object, const std::string& key) {
  Result<Selector> selector = Selector::Parse(object.GetString(key, ""));
  if (!selector) {
    object.Reject(key, selector.error().message);
    return {};
  }
  return std::move(selector.value());
}

ClassPolicy ReadClass(SettingsObject& object, const Policy& policy) {
  ClassPolicy result;
  const auto time = [&object](const std::string& key, Duration& value) {
    value =
        object.GetMilliseconds(key, milliseconds(1), kLongestTime,
                               std::chrono::duration_cast<milliseconds>(value));
  };
  result.name = object.GetString("name");
  result.tier = TierIndex(policy, object.GetChoice("tier", policy.tiers));
  result.match = ReadSelector(object, "match");
  result.servers = ReadSelector(object, "servers");
  time("first_token_ms", result.first_token_target);
  time("gap_ms", result.gap_target);
  time("deadline_ms", result.deadline);
  time("max_wait_ms", result.max_wait);
  time("first_byte_timeout_ms", result.first_byte_timeout);
  time("gap_timeout_ms", result.gap_timeout);
  result.max_queue = static_cast<int>(
      object.GetInteger("max_queue", 0, kMaxCount, result.max_queue));
  result.idempotent = object.GetBool("idempotent", true);
  return result;
}

CustomerPolicy ReadCustomer(SettingsObject& object, const Policy& policy) {
  CustomerPolicy result;
  result.name = object.GetString("name");
  result.key_sha256 = object.GetString("key_sha256");
  const bool is_digest = result.key_sha256.size() == kDigestLength &&
                         result.key_sha256.find_first_not_of(
                             "0123456789abcdef") == std::string::npos;
  if (!is_digest) {
    object.Reject("key_sha256", "64 lower-case hexadecimal digits");
  }
  for (const std::string& tier : object.GetStringList("tiers", policy.tiers)) {
    const Tier index = TierIndex(policy, tier);
    if (index == static_cast<Tier>(policy.tiers.size())) {
      object.Reject("tiers", fmt::format("a list of \"{}\"",
                                         fmt::join(policy.tiers, "\", \"")));
    }
    result.tiers.insert(index);
  }
  result.max_in_flight = static_cast<int>(
      object.GetInteger("max_in_flight", 1, kMaxCount, result.max_in_flight));
  constexpr double kSmallestWeight = 0.001;
  constexpr double kLargestWeight = 1000;
  result.weight = object.GetNumber("weight", kSmallestWeight, kLargestWeight,
                                   result.weight);
  return result;
}

std::map<std::string, Labels> ReadLabelMap(SettingsObject& root,
                                           const std::string& key) {
  std::map<std::string, Labels> result;
  SettingsObject object = root.GetObject(key);
  for (const std::string& name : object.Keys()) {
    SettingsObject entry = object.GetObject(name);
    Labels labels;
    for (const std::string& label : entry.Keys()) {
      labels[label] = entry.GetString(label);
    }
    const Result<Labels> checked = ParseLabels(FormatLabels(labels));
    if (!checked) {
      object.Reject(name, checked.error().message);
    }
    result[name] = std::move(labels);
  }
  return result;
}

// Rejects empty and duplicate names in the list at `key`.
template <typename Item>
void RejectDuplicateNames(SettingsObject& root,
                          const std::string& key,
                          const std::vector<Item>& items) {
  std::set<std::string> names;
  for (const Item& item : items) {
    if (item.name.empty() || !names.insert(item.name).second) {
      root.Reject(key, fmt::format("non-empty, unique names; \"{}\" is empty "
                                   "or a duplicate",
                                   item.name));
    }
  }
}

}  // namespace

const ClassPolicy* Policy::FindClass(std::string_view name) const {
  for (const ClassPolicy& candidate : this->classes) {
    if (candidate.name == name) {
      return &candidate;
    }
  }
  return nullptr;
}

const ClassPolicy* Policy::MatchClass(const Labels& labels) const {
  for (const ClassPolicy& candidate : this->classes) {
    if (candidate.match.Matches(labels)) {
      return &candidate;
    }
  }
  return nullptr;
}

const CustomerPolicy* Policy::FindCustomer(std::string_view api_key) const {
  const std::string digest = Sha256Hex(api_key);
  for (const CustomerPolicy& candidate : this->customers) {
    if (candidate.key_sha256 == digest) {
      return &candidate;
    }
  }
  return nullptr;
}

Result<Policy> ParsePolicy(const Json::Value& document) {
  // The document is serialized and parsed again, so that errors can name the
  // line.
  Result<SettingsObject> parsed =
      SettingsObject::Parse(WriteJson(document), "configuration");
  if (!parsed) {
    return MakeError(ResultCode::kConfigurationInvalid, parsed.error().message);
  }
  SettingsObject& root = parsed.value();
  Policy policy;
  // The remaining checks need the tiers. Unknown keys are ignored here and
  // reported by the last check.
  const Status tiers = ParseTiers(root, policy);
  if (!tiers && tiers.error().code != ResultCode::kSettingsUnknownKey) {
    return MakeError(ResultCode::kConfigurationInvalid, tiers.error().message);
  }
  for (SettingsObject& object : root.GetObjectList("classes")) {
    policy.classes.push_back(ReadClass(object, policy));
  }
  for (SettingsObject& object : root.GetObjectList("customers")) {
    policy.customers.push_back(ReadCustomer(object, policy));
  }
  RejectDuplicateNames(root, "classes", policy.classes);
  RejectDuplicateNames(root, "customers", policy.customers);
  policy.server_labels = ReadLabelMap(root, "server_labels");
  policy.model_labels = ReadLabelMap(root, "model_labels");
  const Status checked = root.Finish();
  if (!checked) {
    return MakeError(ResultCode::kConfigurationInvalid,
                     checked.error().message);
  }
  return policy;
}

}  // namespace sycamorebend
