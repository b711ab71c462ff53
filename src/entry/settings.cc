#include "entry/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr std::int64_t kKibibyte = 1024;
constexpr std::int64_t kGibibyte = kKibibyte * kKibibyte * kKibibyte;
constexpr std::int64_t kMaxConnections = 1000000;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxFanout = 1000;
constexpr milliseconds kMaxDuration = std::chrono::minutes(10);

milliseconds InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

void ReadLimits(SettingsObject object, EntryLimits& limits) {
  const auto read_size = [&object](const std::string& key, std::size_t& value) {
    value = static_cast<std::size_t>(object.GetInteger(
        key, kKibibyte, kGibibyte, static_cast<std::int64_t>(value)));
  };
  read_size("max_body_bytes", limits.max_body_bytes);
  read_size("max_header_bytes", limits.max_header_bytes);
  read_size("max_answer_bytes", limits.max_answer_bytes);
  read_size("max_unread_bytes", limits.max_unread_bytes);
  limits.max_connections = static_cast<int>(object.GetInteger(
      "max_connections", 1, kMaxConnections, limits.max_connections));
  limits.receive_timeout = object.GetMilliseconds(
      "receive_timeout_ms", milliseconds(100), kMaxDuration,
      InMilliseconds(limits.receive_timeout));
}

}  // namespace

Result<EntrySettings> ReadEntrySettings(SettingsObject& root) {
  EntrySettings settings;
  const auto read_duration = [&root](const std::string& key, Duration& value) {
    value = root.GetMilliseconds(key, milliseconds(100), kMaxDuration,
                                 InMilliseconds(value));
  };
  settings.entry_id = root.GetString("entry_id");
  if (settings.entry_id.empty()) {
    root.Reject("entry_id", "a non-empty string");
  }
  settings.address = root.GetAddress("address");
  settings.failure_domain = root.GetString("failure_domain");
  settings.replicas = root.GetAddressList("replicas");
  settings.relays = root.GetAddressList("relays", std::vector<std::string>());
  if (settings.replicas.empty() && settings.relays.empty()) {
    root.Reject("replicas", "at least one address here or in \"relays\"");
  }
  ReadLimits(root.GetObject("limits"), settings.limits);
  read_duration("configuration_lease_ms", settings.configuration_lease);
  settings.serve_unconfirmed =
      root.GetChoice("when_unconfirmed", {"refuse", "serve"}, "refuse") ==
      "serve";
  read_duration("address_valid_ms", settings.address_valid);
  read_duration("heartbeat_ms", settings.heartbeat);
  settings.report_fanout = static_cast<std::size_t>(
      root.GetInteger("report_fanout", 1, kMaxFanout,
                      static_cast<std::int64_t>(settings.report_fanout)));
  settings.server_threads = static_cast<int>(root.GetInteger(
      "server_threads", 1, kMaxThreads, settings.server_threads));
  settings.client_threads = static_cast<int>(root.GetInteger(
      "client_threads", 1, kMaxThreads, settings.client_threads));
  const Status finished = root.Finish();
  if (!finished) {
    return finished.error();
  }
  return settings;
}

Result<EntrySettings> LoadEntrySettings(const std::string& path) {
  BOOST_OUTCOME_TRY(root, SettingsObject::Load(path));
  return ReadEntrySettings(root);
}

}  // namespace sycamorebend::entry
