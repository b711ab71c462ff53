#include "controld/control_process.h"

#include <ctime>
#include <utility>

namespace sycamorebend {

namespace {

constexpr Duration kAdvancePeriod = milliseconds(100);
// Interval at which the seeds are read again while no replica responds.
constexpr Duration kSeedInterval = seconds(1);

void Reload(const std::function<Result<ControlSettings>()>& load,
            ControlDaemon& daemon) {
  Result<ControlSettings> settings = load();
  if (!settings) {
    // The previous settings stay in effect.
    LogEvent(Severity::kError, Event::kSettingsRejected,
             {{"message", settings.error().message}});
    return;
  }
  SetLogThreshold(settings.value().log_threshold);
  daemon.SetSeeds(std::move(settings.value().seeds));
  LogEvent(Severity::kInfo, Event::kSettingsReloaded);
}

// Reads the seeds again while no replica responds: the file may have changed
// without a signal.
class SeedReader {
 public:
  explicit SeedReader(const std::function<Result<ControlSettings>()>& load)
      : load(load) {}

  void Advance(ControlDaemon& daemon) {
    const TimePoint now = daemon.GetClock().Now();
    if (daemon.HasContact() || now < this->next_read) {
      return;
    }
    this->next_read = now + kSeedInterval;
    Result<ControlSettings> settings = this->load();
    if (settings) {
      this->last_error.clear();
      if (daemon.SetSeeds(std::move(settings.value().seeds))) {
        LogEvent(Severity::kInfo, Event::kSettingsReloaded);
      }
    } else if (settings.error().message != this->last_error) {
      // Logged once. The previous seeds stay in effect.
      this->last_error = settings.error().message;
      LogEvent(Severity::kError, Event::kSettingsRejected,
               {{"message", this->last_error}});
    }
  }

 private:
  const std::function<Result<ControlSettings>()>& load;
  TimePoint next_read;
  std::string last_error;
};

// Runs the daemon's periodic work until a stop signal arrives.
// @return the signal; 0 if the replica was removed from the replica set.
Result<int> WaitForStop(const std::function<Result<ControlSettings>()>& load,
                        ControlDaemon& daemon,
                        const sigset_t& signals) {
  SeedReader seed_reader(load);
  while (!daemon.WasRemoved()) {
    const timespec pause{0, kAdvancePeriod.count()};
    const int signal_number = sigtimedwait(&signals, nullptr, &pause);
    if (signal_number == SIGHUP) {
      Reload(load, daemon);
    } else if (signal_number > 0) {
      return signal_number;
    }
    seed_reader.Advance(daemon);
    BOOST_OUTCOME_TRY(daemon.Advance());
  }
  return 0;
}

}  // namespace

Status RunControl(const std::function<Result<ControlSettings>()>& load,
                  const ExtensionFactory& extend,
                  const sigset_t& signals) {
  const auto noticed = std::make_shared<NoticedReplicas>();
  for (;;) {
    BOOST_OUTCOME_TRY(settings, load());
    SetLogThreshold(settings.log_threshold);
    BOOST_OUTCOME_TRY(daemon, ControlDaemon::Start(settings, noticed));
    BOOST_OUTCOME_TRY(extension, extend(*daemon));
    BOOST_OUTCOME_TRY(signal_number, WaitForStop(load, *daemon, signals));
    LogEvent(Severity::kInfo, Event::kProcessStopping,
             {{"signal", signal_number}, {"expelled", daemon->WasRemoved()}});
    daemon->Stop();
    extension.reset();
    if (!daemon->WasRemoved()) {
      LogEvent(Severity::kInfo, Event::kProcessStopped);
      return Success();
    }
    BOOST_OUTCOME_TRY(EraseReplica(settings.log.data_directory));
  }
}

}  // namespace sycamorebend
