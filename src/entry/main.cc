// sycamorebend-entry: the entry daemon, which routes the requests of callers to
// backend servers.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <signal.h>
#include <time.h>

#include <cstdio>
#include <memory>

#include "entry/daemon.h"
#include "entry/settings.h"

ABSL_FLAG(std::string, settings, "", "path of the settings file");
ABSL_FLAG(bool, check, false, "validate the settings file and exit");

namespace sycamorebend::entry {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;
constexpr long kDrainPollNanoseconds = 50L * 1000 * 1000;

int Fail(int exit_code, const Error& error) {
  LogEvent(
      Severity::kError, Event::kSettingsRejected,
      {{"code", static_cast<int>(error.code)}, {"message", error.message}});
  fmt::print(stderr, "{}\n", error.message);
  return exit_code;
}

DaemonDependencies ProductionDependencies() {
  DaemonDependencies dependencies;
  dependencies.make_scheduler = &Scheduler::Create;
  dependencies.make_follower = &FeedFollower::Start;
  return dependencies;
}

// @return true if SIGINT ended the drain early.
bool WaitForDrain(EntryDaemon& daemon, const sigset_t& signals) {
  const timespec pause{0, kDrainPollNanoseconds};
  while (!daemon.AdvanceDrain()) {
    if (sigtimedwait(&signals, nullptr, &pause) == SIGINT) {
      return true;
    }
  }
  return false;
}

int Run() {
  Result<EntrySettings> settings =
      LoadEntrySettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return Fail(kExitSettings, settings.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    return kExitOk;
  }
  // Blocked before any thread starts, so that only this thread receives them.
  const sigset_t signals = BlockProcessSignals();
  signal(SIGPIPE, SIG_IGN);
  LogEvent(Severity::kInfo, Event::kProcessStarted,
           {{"entry_id", settings.value().entry_id}});
  Result<std::unique_ptr<EntryDaemon>> daemon =
      EntryDaemon::Start(std::move(settings.value()), ProductionDependencies());
  if (!daemon) {
    return Fail(kExitListen, daemon.error());
  }
  int received = 0;
  do {
    sigwait(&signals, &received);
  } while (received == SIGHUP);
  daemon.value()->BeginDrain();
  const bool interrupted = WaitForDrain(*daemon.value(), signals);
  daemon.value()->Stop();
  LogEvent(Severity::kInfo, Event::kProcessStopped, {{"cut", interrupted}});
  return kExitOk;
}

}  // namespace

}  // namespace sycamorebend::entry

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("sycamorebend-entry --settings=FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  sycamorebend::LimitAllocatorArenas();
  return sycamorebend::entry::Run();
}
