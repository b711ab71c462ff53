// Settings file of a gateway.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "gateway/caller_memory.h"
#include "sycamorebend/base.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::gateway {

struct GatewaySettings {
  std::string entry_id;
  std::string failure_domain;
  // Address for requests of callers.
  std::string caller_address;
  // Address of /readyz and /metrics.
  std::string admin_address;
  // Additional address of /metrics; none if it is empty.
  std::string metrics_address;
  // UDP address for the load exchange; the port must be the same at all
  // gateways.
  std::string exchange_address;
  // RPC addresses of the control replicas to contact first.
  std::vector<std::string> replicas;
  // Maximum time between the stop signal and the end of the process.
  Duration stop_grace = seconds(8);
  // Retries that all gateways together may add to a service in 10 s: this ratio
  // of its requests plus a fixed number.
  double retry_ratio = 0.2;
  double retry_slack = 50;
  // A configuration that a quorum confirmed longer ago may be outdated.
  Duration max_confirmation_age = seconds(2);
  // Length of the windows in which requests are counted for usage reports; 0 if
  // there are no reports.
  Duration usage_window{0};
  // Time after the end of a window at which its report is due.
  Duration usage_delay = seconds(10);
  // Memory of the machine, of which a part is used for callers.
  std::size_t memory_mb = kDefaultMemoryMb;
  // Descriptors that the process may open; 0: the limit of the system.
  std::size_t max_files = 0;
  Severity log_threshold = Severity::kInfo;
};

// @return the settings, or an error 1xx with file, line, key and the accepted
// values.
Result<GatewaySettings> ReadGatewaySettings(SettingsObject root);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_
