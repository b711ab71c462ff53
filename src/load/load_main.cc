#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include "load/load_runner.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings file and exit");
ABSL_FLAG(std::string,
          targets,
          "",
          "entry daemons, \"IP:port\" separated by commas; replaces the "
          "setting");
ABSL_FLAG(std::string,
          addresses_from,
          "",
          "entry daemon whose /v1/addresses names the targets; replaces the "
          "setting");
ABSL_FLAG(std::string, format, "table", "output: table or json");

namespace sycamorebend {

namespace {

constexpr int kExitFailedRequests = 1;
constexpr int kExitBadSettings = 2;

Result<LoadOptions> ReadOptions() {
  BOOST_OUTCOME_TRY(settings,
                    SettingsObject::Load(absl::GetFlag(FLAGS_settings)));
  LoadOptions options = ReadLoadOptions(settings);
  BOOST_OUTCOME_TRY(settings.Finish());
  const std::string targets = absl::GetFlag(FLAGS_targets);
  if (!targets.empty()) {
    options.targets = absl::StrSplit(targets, ',');
  }
  if (!absl::GetFlag(FLAGS_addresses_from).empty()) {
    options.addresses_from = absl::GetFlag(FLAGS_addresses_from);
  }
  std::vector<std::string> addresses = options.targets;
  if (!options.addresses_from.empty()) {
    addresses.push_back(options.addresses_from);
  }
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) {
      return MakeError(
          ResultCode::kSettingsInvalidValue,
          fmt::format("\"{}\" is not an IPv4 address and port", address));
    }
  }
  if (addresses.empty()) {
    return MakeError(ResultCode::kSettingsMissingKey,
                     "--targets or --addresses-from is required");
  }
  return options;
}

int Run() {
  const auto options = ReadOptions();
  const std::string format = absl::GetFlag(FLAGS_format);
  if (!options) {
    fmt::print(stderr, "{}\n", options.error().message);
    return kExitBadSettings;
  }
  if (format != "table" && format != "json") {
    fmt::print(stderr, "--format is \"{}\"; accepted: table, json\n", format);
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  const LoadReport report = RunLoad(options.value());
  if (format == "json") {
    fmt::print("{}\n", WriteJson(report.ToJson()));
  } else {
    fmt::print("{}", report.ToTable());
  }
  const ClassReport total = report.Total();
  return total.whole == total.started ? 0 : kExitFailedRequests;
}

// Abseil's flag names have underscores; the command line also accepts hyphens.
std::vector<std::string> AcceptHyphens(int argc, char** argv) {
  std::vector<std::string> arguments(argv, argv + argc);
  for (std::string& argument : arguments) {
    if (argument.compare(0, 2, "--") != 0) {
      continue;
    }
    for (std::size_t i = 2; i < argument.size() && argument[i] != '='; ++i) {
      if (argument[i] == '-') {
        argument[i] = '_';
      }
    }
  }
  return arguments;
}

}  // namespace

}  // namespace sycamorebend

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "Sends an open-loop load to entry daemons and checks every response.");
  std::vector<std::string> arguments = sycamorebend::AcceptHyphens(argc, argv);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  absl::ParseCommandLine(argc, pointers.data());
  return sycamorebend::Run();
}
