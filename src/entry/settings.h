// Settings of sycamorebend-entry. docs/settings-entry.md lists them.
#ifndef SYCAMOREBEND_SRC_ENTRY_SETTINGS_H_
#define SYCAMOREBEND_SRC_ENTRY_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

struct EntryLimits {
  std::size_t max_body_bytes = 4 << 20;
  // Each connection can take this much memory.
  std::size_t max_header_bytes = 32 << 10;
  // Largest response that is passed on as a whole, that is, not streamed.
  std::size_t max_answer_bytes = 16 << 20;
  // A caller that leaves more than this of its stream unread is disconnected.
  // 1,000 callers at this limit use half of the 256 MB that a daemon may use.
  std::size_t max_unread_bytes = 128 << 10;
  int max_connections = 20000;
  Duration receive_timeout = seconds(10);
};

struct EntrySettings {
  std::string entry_id;
  std::string address;
  std::string failure_domain;
  std::vector<std::string> replicas;
  std::vector<std::string> relays;
  EntryLimits limits;
  // Longest time since the last confirmation of the configuration with which
  // requests are still routed.
  Duration configuration_lease = seconds(8);
  // Keep routing by the last configuration when it cannot be confirmed.
  bool serve_unconfirmed = false;
  // How long callers may use a list of addresses from /v1/addresses.
  Duration address_valid = seconds(5);
  // Idle time on a started stream before a heartbeat comment is sent.
  Duration heartbeat = seconds(10);
  std::size_t report_fanout = 16;
  int server_threads = 2;
  int client_threads = 2;
};

// Reads the settings from the root object of a settings file.
Result<EntrySettings> ReadEntrySettings(SettingsObject& root);

Result<EntrySettings> LoadEntrySettings(const std::string& path);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_SETTINGS_H_
