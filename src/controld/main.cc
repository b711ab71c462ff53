// sycamorebend-control: runs one replica of the control state.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <cstdio>
#include <utility>

#include "controld/control_process.h"
#include "controld/control_settings.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace sycamorebend {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

int Fail(const Error& error) {
  LogEvent(
      Severity::kError, Event::kSettingsRejected,
      {{"code", static_cast<int>(error.code)}, {"message", error.message}});
  return kExitFailed;
}

int Run() {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    fmt::print(stderr, "--settings=FILE is required; see --help\n");
    return kExitUsage;
  }
  const auto load = [&path]() -> Result<ControlSettings> {
    BOOST_OUTCOME_TRY(root, SettingsObject::Load(path));
    return ReadControlSettings(std::move(root));
  };
  const auto settings = load();
  if (!settings) {
    return Fail(settings.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    fmt::print("{}: accepted\n", path);
    return kExitOk;
  }
  // Blocked before any thread starts, so that only the main thread receives
  // them.
  const sigset_t signals = BlockProcessSignals();
  LogEvent(Severity::kInfo, Event::kProcessStarted,
           {{"program", "sycamorebend-control"}});
  const Status ended = RunControl(
      load,
      [](ControlDaemon&) {
        return Result<std::unique_ptr<ControlExtension>>(nullptr);
      },
      signals);
  return ended ? kExitOk : Fail(ended.error());
}

}  // namespace

}  // namespace sycamorebend

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Runs one replica of the control state: configuration, orders, drains "
      "and entry daemons.\n"
      "  sycamorebend-control --settings=FILE [--check]\n"
      "The settings are described in docs/control.md.");
  absl::ParseCommandLine(argc, argv);
  sycamorebend::LimitAllocatorArenas();
  return sycamorebend::Run();
}
