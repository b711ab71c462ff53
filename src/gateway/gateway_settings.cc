#include "gateway/gateway_settings.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxRetryRatio = 10;
constexpr std::int64_t kMaxRetrySlack = 1000000;
constexpr milliseconds kMinStopGrace{1000};
constexpr milliseconds kMaxStopGrace{3600 * 1000};
constexpr milliseconds kDefaultStopGrace{8000};

}  // namespace

Result<GatewaySettings> ReadGatewaySettings(SettingsObject root) {
  GatewaySettings settings;
  settings.entry_id = root.GetString("entry_id");
  settings.failure_domain = root.GetString("failure_domain");
  settings.caller_address = root.GetAddress("caller_address");
  settings.admin_address = root.GetAddress("admin_address");
  if (root.Has("metrics_address")) {
    settings.metrics_address = root.GetAddress("metrics_address");
  }
  settings.exchange_address = root.GetAddress("exchange_address");
  const std::int64_t rpc_port = root.GetInteger("control_port", 1, kMaxPort);
  for (const std::string& seed : root.GetAddressList("control_seeds")) {
    settings.replicas.push_back(seed.substr(0, seed.find(':')) + ":" +
                                std::to_string(rpc_port));
  }
  settings.stop_grace = root.GetMilliseconds("stop_grace_ms", kMinStopGrace,
                                             kMaxStopGrace, kDefaultStopGrace);
  settings.retry_ratio =
      root.GetNumber("retry_ratio", 0, kMaxRetryRatio, settings.retry_ratio);
  settings.retry_slack = static_cast<int>(
      root.GetInteger("retry_slack", 0, kMaxRetrySlack, settings.retry_slack));
  settings.log_threshold = ReadLogSeverity(root);
  BOOST_OUTCOME_TRY(root.Finish());
  return settings;
}

}  // namespace sycamorebend::gateway
