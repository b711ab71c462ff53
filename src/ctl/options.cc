#include "ctl/options.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "sycamorebend/settings.h"

ABSL_FLAG(std::string, control, "", "addresses of control replicas");
ABSL_FLAG(std::string, entry, "", "address of an entry daemon");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::string, change_id, "", "ID of the change, to retry it");
ABSL_FLAG(std::string, operator, "", "name recorded with the change");
ABSL_FLAG(std::int64_t, expected_version, -1, "version the change is based on");
ABSL_FLAG(std::int64_t, version, -1, "version to show");
ABSL_FLAG(std::int64_t, limit, 20, "number of changes to list");
ABSL_FLAG(bool, wait, false, "wait until every entry daemon has the change");
ABSL_FLAG(std::int64_t, timeout_ms, 10000, "time to reach the leader");
ABSL_FLAG(std::int64_t, wait_timeout_ms, 30000, "time limit of --wait");
ABSL_FLAG(std::string, labels, "", "labels of a request, a=b,c=d");
ABSL_FLAG(std::string, class, "", "class of a request");
ABSL_FLAG(std::string, customer, "", "customer of a request");
ABSL_FLAG(std::string, model, "", "model of a request");
ABSL_FLAG(std::string, log, "", "log files to read");
ABSL_FLAG(std::string, svg, "", "file for an SVG chart");
ABSL_FLAG(std::int64_t, interval_ms, 1000, "length of a report's intervals");
ABSL_FLAG(bool, help, false, "explain the command");

namespace sycamorebend {

namespace {

constexpr const char* kFlagNames[] = {
    "control",         "entry",    "output",
    "change_id",       "operator", "limit",
    "version",         "wait",     "expected_version",
    "labels",          "class",    "customer",
    "model",           "help",     "timeout_ms",
    "wait_timeout_ms", "log",      "svg",
    "interval_ms",
};

Error UsageError(std::string text) {
  return MakeError(ResultCode::kMalformedRequest, std::move(text));
}

// Resets every flag to its default, so that one process can parse repeatedly.
void ResetFlags() {
  for (const char* name : kFlagNames) {
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    std::string error;
    flag->ParseFrom(flag->DefaultValue(), &error);
  }
}

// Replaces Abseil's parser, which exits with status 1 on an unknown flag; here
// status 1 means a refused change.
Status ParseFlag(const std::vector<std::string>& arguments, std::size_t& next) {
  const std::string& argument = arguments[next];
  const std::size_t equals = argument.find('=');
  const std::string written = argument.substr(0, equals);
  std::string name = written.substr(2);
  std::replace(name.begin(), name.end(), '-', '_');
  const auto* known =
      std::find(std::begin(kFlagNames), std::end(kFlagNames), name);
  if (known == std::end(kFlagNames)) {
    return UsageError(fmt::format("flag \"{}\" is unknown", written));
  }
  absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
  std::string value;
  if (equals != std::string::npos) {
    value = argument.substr(equals + 1);
  } else if (flag->IsOfType<bool>()) {
    value = "true";
  } else if (next + 1 < arguments.size()) {
    value = arguments[++next];
  } else {
    return UsageError(fmt::format("flag \"{}\" needs a value", written));
  }
  std::string error;
  if (!flag->ParseFrom(value, &error)) {
    return UsageError(fmt::format("flag \"{}\": {}", written, error));
  }
  return Success();
}

std::optional<std::uint64_t> OptionalVersion(std::int64_t value) {
  if (value < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value);
}

std::string DefaultOperator() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

Status CheckAddresses(const CtlOptions& options) {
  for (const std::string& address : options.control) {
    if (!IsAddress(address)) {
      return UsageError(fmt::format(
          "--control: \"{}\" is not an address; write IP:port[,IP:port...]",
          address));
    }
  }
  if (!options.entry.empty() && !IsAddress(options.entry)) {
    return UsageError(fmt::format(
        "--entry: \"{}\" is not an address; write IP:port", options.entry));
  }
  return Success();
}

}  // namespace

Result<CtlOptions> ParseCtlOptions(const std::vector<std::string>& arguments) {
  ResetFlags();
  CtlOptions options;
  for (std::size_t next = 0; next < arguments.size(); ++next) {
    if (arguments[next].rfind("--", 0) == 0) {
      BOOST_OUTCOME_TRY(ParseFlag(arguments, next));
    } else if (options.command.empty()) {
      options.command = arguments[next];
    } else {
      options.arguments.push_back(arguments[next]);
    }
  }
  options.control =
      absl::StrSplit(absl::GetFlag(FLAGS_control), ',', absl::SkipEmpty());
  options.entry = absl::GetFlag(FLAGS_entry);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    return UsageError(
        fmt::format("--output: \"{}\" is not accepted; write table or "
                    "json",
                    output));
  }
  options.json = output == "json";
  options.change_id = absl::GetFlag(FLAGS_change_id);
  options.operator_name = absl::GetFlag(FLAGS_operator);
  if (options.operator_name.empty()) {
    options.operator_name = DefaultOperator();
  }
  options.expected_version =
      OptionalVersion(absl::GetFlag(FLAGS_expected_version));
  options.version = OptionalVersion(absl::GetFlag(FLAGS_version));
  options.limit = std::max<std::int64_t>(1, absl::GetFlag(FLAGS_limit));
  options.wait = absl::GetFlag(FLAGS_wait);
  options.timeout = milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.wait_timeout = milliseconds(absl::GetFlag(FLAGS_wait_timeout_ms));
  options.labels = absl::GetFlag(FLAGS_labels);
  options.class_name = absl::GetFlag(FLAGS_class);
  options.customer = absl::GetFlag(FLAGS_customer);
  options.model = absl::GetFlag(FLAGS_model);
  options.logs =
      absl::StrSplit(absl::GetFlag(FLAGS_log), ',', absl::SkipEmpty());
  options.svg = absl::GetFlag(FLAGS_svg);
  options.interval_ms = absl::GetFlag(FLAGS_interval_ms);
  if (options.interval_ms <= 0) {
    return UsageError("--interval-ms: write a number greater than 0");
  }
  options.help = absl::GetFlag(FLAGS_help);
  BOOST_OUTCOME_TRY(CheckAddresses(options));
  return options;
}

}  // namespace sycamorebend
