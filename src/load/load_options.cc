#include "load/load_runner.h"
#include "sycamorebend/selector.h"

namespace sycamorebend {

namespace {

constexpr std::int64_t kMaximumCount = 100000000;
constexpr int kMaximumTokens = 100000;
constexpr int kMaximumPromptBytes = 1 << 20;
constexpr milliseconds kMaximumTime{3600000};

LoadKind ReadKind(SettingsObject& settings) {
  const std::string kind =
      settings.GetChoice("kind", {"chat", "completion", "order"}, "chat");
  if (kind == "order") {
    return LoadKind::kOrder;
  }
  return kind == "completion" ? LoadKind::kCompletion : LoadKind::kChat;
}

LoadClass ReadClass(SettingsObject& settings) {
  LoadClass load_class;
  load_class.name = settings.GetString("name");
  load_class.kind = ReadKind(settings);
  load_class.weight = settings.GetNumber("weight", 0, 1e9, 1);
  load_class.labels = settings.GetString("labels", "");
  if (!ParseLabels(load_class.labels)) {
    settings.Reject("labels", "labels such as \"a=b,c=d\"");
  }
  load_class.api_key = settings.GetString("api_key", "");
  load_class.model = settings.GetString("model", "");
  if (load_class.model.empty() && load_class.kind != LoadKind::kOrder) {
    settings.Reject("model", "the name of a model");
  }
  load_class.stream = settings.GetBool("stream", true);
  load_class.path = settings.GetString("path", load_class.path);
  load_class.prompt_bytes = static_cast<int>(
      settings.GetInteger("prompt_bytes", 1, kMaximumPromptBytes, 200));
  load_class.shared_prefix_bytes = static_cast<int>(
      settings.GetInteger("shared_prefix_bytes", 0, kMaximumPromptBytes, 0));
  load_class.minimum_tokens = static_cast<int>(
      settings.GetInteger("minimum_tokens", 0, kMaximumTokens, 0));
  load_class.maximum_tokens = static_cast<int>(
      settings.GetInteger("maximum_tokens", load_class.minimum_tokens,
                          kMaximumTokens, load_class.minimum_tokens));
  load_class.first_token_target = settings.GetMilliseconds(
      "first_token_ms", milliseconds(1), kMaximumTime, milliseconds(1600));
  load_class.gap_target = settings.GetMilliseconds(
      "gap_ms", milliseconds(1), kMaximumTime, milliseconds(33));
  load_class.deadline = settings.GetMilliseconds(
      "deadline_ms", milliseconds(1), kMaximumTime, milliseconds(60000));
  return load_class;
}

}  // namespace

LoadOptions ReadLoadOptions(SettingsObject& settings) {
  LoadOptions options;
  options.targets =
      settings.GetAddressList("targets", std::vector<std::string>());
  options.addresses_from = settings.Has("addresses_from")
                               ? settings.GetAddress("addresses_from")
                               : std::string();
  options.seed =
      static_cast<std::uint64_t>(settings.GetInteger("seed", 0, INT64_MAX, 1));
  options.requests_per_second =
      settings.GetNumber("requests_per_second", 0.001, 1e6, 10);
  options.duration = settings.GetMilliseconds(
      "duration_ms", milliseconds(1), kMaximumTime, milliseconds(10000));
  options.count = settings.GetInteger("count", 1, kMaximumCount, 1000000);
  options.max_open =
      static_cast<int>(settings.GetInteger("max_open", 1, 100000, 5000));
  options.drain_limit = settings.GetMilliseconds(
      "drain_limit_ms", milliseconds(0), kMaximumTime, milliseconds(60000));
  options.threads = static_cast<int>(settings.GetInteger("threads", 1, 64, 2));
  for (SettingsObject& item : settings.GetObjectList("classes")) {
    options.classes.push_back(ReadClass(item));
  }
  if (options.classes.empty()) {
    settings.Reject("classes", "a list with at least one class");
  }
  return options;
}

}  // namespace sycamorebend
