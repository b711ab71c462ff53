#include "gateway/gateway_settings.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMaxRetryRatio = 10;
constexpr double kMaxRetrySlack = 1000000;
constexpr double kMinConfirmationAgeMs = 100;
constexpr double kMaxConfirmationAgeMs = 3600 * 1000;
constexpr std::int64_t kMinMemoryMb = 40;
constexpr std::int64_t kMaxMemoryMb = 1 << 20;
constexpr std::int64_t kMinFiles = 192;
constexpr std::int64_t kMaxFiles = 1 << 20;
constexpr Duration kMinStopGrace = seconds(1);
constexpr Duration kMaxStopGrace = seconds(3600);
constexpr Duration kMinUsageTime = milliseconds(100);
constexpr Duration kMaxUsageTime = seconds(3600);

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
  settings.stop_grace = root.GetSeconds("stop_grace_s", kMinStopGrace,
                                        kMaxStopGrace, settings.stop_grace);
  settings.retry_ratio =
      root.GetNumber("retry_ratio", 0, kMaxRetryRatio, settings.retry_ratio);
  settings.retry_slack =
      root.GetNumber("retry_slack", 0, kMaxRetrySlack, settings.retry_slack);
  settings.max_confirmation_age = Scale(
      milliseconds(1),
      root.GetNumber(
          "max_confirmation_age_ms", kMinConfirmationAgeMs,
          kMaxConfirmationAgeMs,
          static_cast<double>(ToMilliseconds(settings.max_confirmation_age))));
  if (root.Has("usage_window_s")) {
    settings.usage_window =
        root.GetSeconds("usage_window_s", kMinUsageTime, kMaxUsageTime);
    settings.usage_delay = root.GetSeconds("usage_delay_s", kMinUsageTime,
                                           kMaxUsageTime, settings.usage_delay);
  }
  settings.memory_mb = static_cast<std::size_t>(
      root.GetInteger("memory_mb", kMinMemoryMb, kMaxMemoryMb,
                      static_cast<std::int64_t>(settings.memory_mb)));
  settings.max_files = static_cast<std::size_t>(
      root.GetInteger("max_fds", kMinFiles, kMaxFiles, 0));
  settings.log_threshold = ReadLogSeverity(root);
  BOOST_OUTCOME_TRY(root.Finish());
  return settings;
}

}  // namespace sycamorebend::gateway
