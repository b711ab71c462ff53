// Settings file of a gateway.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::gateway {

struct GatewaySettings {
  std::string entry_id;
  std::string failure_domain;
  // Where callers connect.
  std::string caller_address;
  // Where /readyz and /metrics are served.
  std::string admin_address;
  // Where /metrics is served as well; nowhere if it is empty.
  std::string metrics_address;
  // Where gateways tell each other their load, by UDP; the same port at all.
  std::string exchange_address;
  // Control replicas to contact first; their RPC addresses.
  std::vector<std::string> replicas;
  // Longest time between the signal to stop and the end of the process.
  Duration stop_grace = seconds(8);
  // Retries that all gateways together may add, in 10 s, to a service: a share
  // of its requests, and a number besides.
  double retry_ratio = 0.2;
  int retry_slack = 50;
  Severity log_threshold = Severity::kInfo;
};

// @return the settings, or a 1xx error naming file, line, key and the accepted
// values.
Result<GatewaySettings> ReadGatewaySettings(SettingsObject root);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_SETTINGS_H_
