#include "gateway/gateway_process.h"

#include <atomic>
#include <thread>
#include <utility>

#include "gateway/gateway.h"
#include "gateway/gateway_settings.h"

namespace sycamorebend::gateway {

namespace {

Result<GatewaySettings> LoadSettings(const std::string& path) {
  BOOST_OUTCOME_TRY(root, SettingsObject::Load(path));
  return ReadGatewaySettings(std::move(root));
}

// Interval at which the settings are read again while no control replica
// responds: they may name others by then, also without a signal.
constexpr Duration kSeedReadInterval = seconds(1);

// Takes over the control replicas of the settings if they can be read.
void ReadSeeds(const std::string& path, Gateway& gateway) {
  const Result<GatewaySettings> settings = LoadSettings(path);
  if (settings) {
    gateway.SetReplicas(settings.value().replicas);
  }
}

void Reload(const std::string& path, net::EventLoop& loop, Gateway& gateway) {
  const Result<GatewaySettings> settings = LoadSettings(path);
  if (!settings) {
    // The settings in force stay.
    LogEvent(Severity::kError, Event::kSettingsRejected,
             {{"message", settings.error().message}});
    return;
  }
  SetLogThreshold(settings.value().log_threshold);
  loop.Post([&gateway, replicas = settings.value().replicas] {
    gateway.SetReplicas(replicas);
  });
  LogEvent(Severity::kInfo, Event::kSettingsReloaded, {{"path", path}});
}

}  // namespace

Status RunGateway(const std::string& settings_path,
                  const WireFormat& format,
                  const sigset_t& signals) {
  BOOST_OUTCOME_TRY(settings, LoadSettings(settings_path));
  SetLogThreshold(settings.log_threshold);
  const SystemClock clock;
  const std::unique_ptr<net::EventLoop> loop = net::EventLoop::Create(clock);
  BOOST_OUTCOME_TRY(gateway, Gateway::Start(settings, format, *loop, clock));
  loop->SubscribePeriodic(kSeedReadInterval, [&] {
    if (gateway->IsUnconfirmed()) {
      ReadSeeds(settings_path, *gateway);
    }
  });
  std::atomic<bool> ended = false;
  std::thread waiter([&] {
    while (!ended) {
      int signal_number = 0;
      sigwait(&signals, &signal_number);
      if (signal_number == SIGHUP) {
        Reload(settings_path, *loop, *gateway);
      } else if (!ended) {
        loop->Post([&gateway] { gateway->BeginStop(); });
      }
    }
  });
  loop->Run();
  ended = true;
  pthread_kill(waiter.native_handle(), SIGINT);
  waiter.join();
  return Success();
}

}  // namespace sycamorebend::gateway
