#include "ctl/commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <thread>
#include <utility>

#include "ctl/document_diff.h"
#include "ctl/help.h"
#include "ctl/log_commands.h"
#include "ctl/table.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr Duration kWaitPollInterval = milliseconds(100);
constexpr std::size_t kChangeIdRandomDigits = 16;

using CommandResult = Result<CtlExit>;

// A change ID starts with its creation time, from which the leader recognizes
// and refuses an ID that is older than the results it still keeps.
std::string NewChangeId(const Clock& clock) {
  return fmt::format("{:013}-{}", clock.WallTimeMs(),
                     RandomId().substr(0, kChangeIdRandomDigits));
}

Result<Json::Value> ReadDocument(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     fmt::format("{} cannot be read", path));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseJsonWithComments(text.str(), path);
}

std::string FormatPrettyJson(const Json::Value& value) {
  std::string text = value.toStyledString();
  if (text.empty() || text.back() != '\n') {
    text += '\n';
  }
  return text;
}

std::string FormatTime(std::int64_t time_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  return fmt::format(
      "{:%Y-%m-%dT%H:%M:%SZ}",
      fmt::gmtime(static_cast<std::time_t>(time_ms / kMsPerSecond)));
}

bool IsNumber(const std::string& text) {
  constexpr std::size_t kMaxDigits = 18;
  return !text.empty() && text.size() <= kMaxDigits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

std::uint64_t ToNumber(const std::string& text) {
  return std::strtoull(text.c_str(), nullptr, 10);
}

// Turns {"id": {...}} into [{KEY: "id", ...}].
Json::Value ListById(const Json::Value& object, const std::string& key) {
  Json::Value list(Json::arrayValue);
  if (object.isObject()) {
    for (const std::string& id : object.getMemberNames()) {
      Json::Value item = object[id];
      item[key] = id;
      list.append(std::move(item));
    }
  }
  return list;
}

// Errors on the command line and in files have 1xx codes, which no replica
// returns, so that ExitCodeFor can distinguish them.
Error UsageError(const CtlOptions& options, const std::string& text) {
  return MakeError(ResultCode::kSettingsInvalidValue,
                   fmt::format("{}; see \"sycamorebend-ctl {} --help\"", text,
                               options.command));
}

// Runs one subcommand.
class CommandRunner {
 public:
  CommandRunner(const CtlOptions& options,
                RpcClient& rpc,
                const Clock& clock,
                std::ostream& out,
                std::ostream& err)
      : options(options),
        clock(clock),
        client(rpc, clock, options.control, options.timeout),
        out(out),
        err(err) {}

  CommandResult Apply();
  CommandResult Show();
  CommandResult Diff();
  CommandResult History();
  CommandResult DryRun();
  CommandResult Servers();
  CommandResult Drain();
  CommandResult ShowStatus();
  CommandResult Duties();
  CommandResult Explain();
  CommandResult Report() { return ReportFromLogs(this->options, this->out); }
  CommandResult Replica();

 private:
  // An entry daemon and the result of its entry.status call.
  struct EntryState {
    std::string entry_id;
    std::string address;
    Result<Json::Value> status;
  };

  Status ExpectArgumentCount(std::size_t count, const std::string& what) const;
  Json::Value MakeChangeParams();
  Result<Json::Value> FetchVersion(std::optional<std::uint64_t> version);
  CommandResult PrintDifferences(const Json::Value& before,
                                 const Json::Value& after);
  CommandResult PrintResult(const Json::Value& result, const std::string& text);
  CommandResult WaitForVersion(const std::string& field, std::uint64_t version);
  Result<std::vector<EntryState>> QueryEntryDaemons();
  Result<std::vector<std::string>> FetchEntryAddresses();
  void PrintTrace(const Json::Value& trace);

  const CtlOptions& options;
  const Clock& clock;
  ControlClient client;
  std::ostream& out;
  std::ostream& err;
};

Status CommandRunner::ExpectArgumentCount(std::size_t count,
                                          const std::string& what) const {
  if (this->options.arguments.size() != count) {
    return UsageError(this->options, fmt::format("{} expects {}",
                                                 this->options.command, what));
  }
  return Success();
}

Json::Value CommandRunner::MakeChangeParams() {
  Json::Value params;
  params["change_id"] = this->options.change_id.empty()
                            ? NewChangeId(this->clock)
                            : this->options.change_id;
  params["operator"] = this->options.operator_name;
  this->err << "change ID " << params["change_id"].asString() << "\n";
  return params;
}

CommandResult CommandRunner::PrintResult(const Json::Value& result,
                                         const std::string& text) {
  this->out << (this->options.json ? FormatPrettyJson(result) : text);
  return CtlExit::kOk;
}

CommandResult CommandRunner::Apply() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(1, "one file"));
  if (!this->options.expected_version) {
    return UsageError(
        this->options,
        "apply needs --expected-version=N, the version that the file "
        "is based on; \"show\" prints it, and it is 0 for the first "
        "configuration");
  }
  BOOST_OUTCOME_TRY(document, ReadDocument(this->options.arguments[0]));
  Json::Value params = this->MakeChangeParams();
  params["expected_version"] = Json::UInt64(*this->options.expected_version);
  params["document"] = std::move(document);
  BOOST_OUTCOME_TRY(response, this->client.CallLeader("control.apply", params));
  BOOST_OUTCOME_TRY(this->PrintResult(
      response,
      fmt::format("version {} accepted\n", response["version"].asUInt64())));
  return this->WaitForVersion("configuration_version",
                              response["version"].asUInt64());
}

Result<Json::Value> CommandRunner::FetchVersion(
    std::optional<std::uint64_t> version) {
  Json::Value params(Json::objectValue);
  if (version) {
    params["version"] = Json::UInt64(*version);
  }
  return this->client.CallLeader("control.show", params);
}

CommandResult CommandRunner::Show() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(0, "no arguments"));
  BOOST_OUTCOME_TRY(stored, this->FetchVersion(this->options.version));
  if (!this->options.json) {
    this->err << fmt::format("version {}", stored["version"].asUInt64());
    if (stored["version"].asUInt64() > 0) {
      this->err << fmt::format(", {}, change \"{}\" of operator \"{}\"",
                               FormatTime(stored["time_ms"].asInt64()),
                               stored["change_id"].asString(),
                               stored["operator"].asString());
    }
    this->err << "\n";
  }
  return this->PrintResult(stored, FormatPrettyJson(stored["document"]));
}

CommandResult CommandRunner::PrintDifferences(const Json::Value& before,
                                              const Json::Value& after) {
  const std::vector<std::string> lines = DescribeDifferences(before, after);
  Json::Value result;
  result["differences"] = Json::Value(Json::arrayValue);
  std::string text;
  for (const std::string& line : lines) {
    result["differences"].append(line);
    text += line + "\n";
  }
  return this->PrintResult(result, lines.empty() ? "no differences\n" : text);
}

CommandResult CommandRunner::Diff() {
  const std::vector<std::string>& arguments = this->options.arguments;
  if (arguments.size() == 2) {
    if (!IsNumber(arguments[0]) || !IsNumber(arguments[1])) {
      return UsageError(this->options, "diff expects one file or two versions");
    }
    BOOST_OUTCOME_TRY(before, this->FetchVersion(ToNumber(arguments[0])));
    BOOST_OUTCOME_TRY(after, this->FetchVersion(ToNumber(arguments[1])));
    return this->PrintDifferences(before["document"], after["document"]);
  }
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(1, "one file or two versions"));
  BOOST_OUTCOME_TRY(document, ReadDocument(arguments[0]));
  BOOST_OUTCOME_TRY(stored, this->FetchVersion(std::nullopt));
  return this->PrintDifferences(stored["document"], document);
}

CommandResult CommandRunner::History() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(0, "no arguments"));
  Json::Value params;
  params["limit"] = Json::UInt64(this->options.limit);
  BOOST_OUTCOME_TRY(response,
                    this->client.CallLeader("control.history", params));
  Json::Value rows(Json::arrayValue);
  for (Json::Value change : response["changes"]) {
    change["time"] = FormatTime(change["time_ms"].asInt64());
    rows.append(std::move(change));
  }
  return this->PrintResult(response, FormatTable({{"VERSION", "version"},
                                                  {"TIME", "time"},
                                                  {"OPERATOR", "operator"},
                                                  {"CHANGE ID", "change_id"}},
                                                 rows));
}

CommandResult CommandRunner::DryRun() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(1, "one file"));
  BOOST_OUTCOME_TRY(document, ReadDocument(this->options.arguments[0]));
  Json::Value params;
  params["dry_run"] = true;
  params["document"] = document;
  BOOST_OUTCOME_TRY(response, this->client.CallLeader("control.apply", params));
  const std::uint64_t version = response["version"].asUInt64();
  if (this->options.expected_version &&
      *this->options.expected_version != version) {
    return MakeError(ResultCode::kVersionConflict,
                     fmt::format("version {} is in force, not {}", version,
                                 *this->options.expected_version));
  }
  this->err << fmt::format("the document is valid; version {} is in force\n",
                           version);
  BOOST_OUTCOME_TRY(stored, this->FetchVersion(version));
  return this->PrintDifferences(stored["document"], document);
}

CommandResult CommandRunner::Drain() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(1, "one server ID"));
  Json::Value params = this->MakeChangeParams();
  params["server_id"] = this->options.arguments[0];
  BOOST_OUTCOME_TRY(response, this->client.CallLeader(
                                  "control." + this->options.command, params));
  BOOST_OUTCOME_TRY(this->PrintResult(
      response,
      fmt::format("{} {}\n", this->options.arguments[0],
                  response["drained"].asBool() ? "is draining" : "gets work")));
  return this->WaitForVersion("shared_version",
                              response["shared_version"].asUInt64());
}

Result<std::vector<CommandRunner::EntryState>>
CommandRunner::QueryEntryDaemons() {
  BOOST_OUTCOME_TRY(
      status,
      this->client.CallAny("control.status", Json::Value(Json::objectValue)));
  std::vector<EntryState> states;
  for (const Json::Value& entry : ListById(status["entries"], "entry_id")) {
    const std::string address = entry["address"].asString();
    states.push_back({entry["entry_id"].asString(), address,
                      this->client.CallAt(address, "entry.status",
                                          Json::Value(Json::objectValue))});
  }
  return states;
}

CommandResult CommandRunner::WaitForVersion(const std::string& field,
                                            std::uint64_t version) {
  if (!this->options.wait) {
    return CtlExit::kOk;
  }
  const TimePoint deadline = this->clock.Now() + this->options.wait_timeout;
  std::string progress;
  for (;;) {
    const Result<std::vector<EntryState>> states = this->QueryEntryDaemons();
    std::string waiting;
    std::size_t reached = 0;
    if (!states) {
      waiting = "no control replica responds";
    } else {
      for (const EntryState& entry : states.value()) {
        if (entry.status && entry.status.value().isObject() &&
            entry.status.value()[field].isUInt64() &&
            entry.status.value()[field].asUInt64() >= version) {
          ++reached;
        } else {
          waiting += (waiting.empty() ? "waiting for " : ", ") + entry.entry_id;
        }
      }
    }
    const std::string now =
        fmt::format("{} {}: in force at {} entry daemons{}{}\n", field, version,
                    reached, waiting.empty() ? "" : "; ", waiting);
    if (now != progress) {
      this->err << now;
      progress = now;
    }
    if (waiting.empty()) {
      return CtlExit::kOk;
    }
    if (this->clock.Now() >= deadline) {
      this->err << "timed out; the change stays accepted\n";
      return CtlExit::kTimedOut;
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
}

CommandResult CommandRunner::Duties() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(0, "no arguments"));
  BOOST_OUTCOME_TRY(report, this->client.CallLeader(
                                "duty.status", Json::Value(Json::objectValue)));
  if (this->options.json) {
    return this->PrintResult(report, {});
  }
  for (Json::Value& duty : report["duties"]) {
    duty["since"] = duty["since_ms"].isInt64()
                        ? Json::Value(FormatTime(duty["since_ms"].asInt64()))
                        : Json::Value();
  }
  Json::Value engines(Json::arrayValue);
  for (const std::string& service : report["scaling"].getMemberNames()) {
    for (Json::Value group : report["scaling"][service]["groups"]) {
      group["service"] = service;
      engines.append(std::move(group));
    }
  }
  this->out << FormatTable({{"DUTY", "duty"},
                            {"HOLDER", "holder"},
                            {"SINCE", "since"},
                            {"TOKEN", "token"},
                            {"CALLS", "calls"},
                            {"LAST CALL", "last_call"}},
                           report["duties"])
            << FormatTable({{"WINDOW", "window"},
                            {"CUSTOMERS", "customers"},
                            {"REQUESTS", "requests"},
                            {"SENT", "sent"}},
                           report["windows"])
            << FormatTable({{"SERVICE", "service"},
                            {"DOMAIN", "failure_domain"},
                            {"KIND", "kind"},
                            {"ANNOUNCED", "announced"},
                            {"ORDERED", "ordered"},
                            {"REFUSED", "refused"},
                            {"REASON", "reason"}},
                           engines)
            << fmt::format("{} windows are not sent, {} requests came late\n",
                           FormatCell(report["unsent_windows"]),
                           FormatCell(report["late_requests"]));
  return CtlExit::kOk;
}

CommandResult CommandRunner::ShowStatus() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(0, "no arguments"));
  Json::Value result;
  result["replicas"] = Json::Value(Json::arrayValue);
  Error unreachable = MakeError(ResultCode::kConnectFailed);
  bool any_response = false;
  // Also queries replicas that are known only from the responses.
  std::vector<std::string> addresses = this->client.Replicas();
  for (std::size_t next = 0; next < addresses.size(); ++next) {
    const std::string address = addresses[next];
    Result<Json::Value> status = this->client.CallAt(
        address, "control.status", Json::Value(Json::objectValue));
    Json::Value row;
    if (status) {
      any_response = true;
      row = std::move(status.value());
      row["role"] = row["is_leader"].asBool() ? "leader" : "follower";
      for (const Json::Value& replica : row["replicas"]) {
        const std::string named = replica["address"].asString();
        if (std::find(addresses.begin(), addresses.end(), named) ==
            addresses.end()) {
          addresses.push_back(named);
        }
      }
    } else {
      unreachable = status.error();
      row["role"] = "unreachable";
      row["error"] = status.error().message;
    }
    row["address"] = address;
    result["replicas"].append(std::move(row));
  }
  if (!any_response) {
    return unreachable;
  }
  result["entries"] = Json::Value(Json::arrayValue);
  BOOST_OUTCOME_TRY(states, this->QueryEntryDaemons());
  for (EntryState& entry : states) {
    Json::Value row = entry.status && entry.status.value().isObject()
                          ? entry.status.value()
                          : Json::Value(Json::objectValue);
    if (!entry.status) {
      row["error"] = entry.status.error().message;
    }
    row["entry_id"] = entry.entry_id;
    row["address"] = entry.address;
    result["entries"].append(std::move(row));
  }
  const std::string text =
      FormatTable({{"REPLICA", "id"},
                   {"ADDRESS", "address"},
                   {"ROLE", "role"},
                   {"TERM", "term"},
                   {"COMMITTED", "commit_index"},
                   {"APPLIED", "applied_index"},
                   {"CONFIRMED MS AGO", "confirmation_age_ms"},
                   {"CONFIGURATION", "configuration_version"},
                   {"ERROR", "error"}},
                  result["replicas"]) +
      "\n" +
      FormatTable({{"ENTRY DAEMON", "entry_id"},
                   {"ADDRESS", "address"},
                   {"CONFIGURATION", "configuration_version"},
                   {"SHARED", "shared_version"},
                   {"CONFIRMED MS AGO", "confirmation_age_ms"},
                   {"IN FLIGHT", "in_flight"},
                   {"QUEUED", "queued"},
                   {"DRAINING", "draining"},
                   {"ERROR", "error"}},
                  result["entries"]);
  return this->PrintResult(result, text);
}

Result<std::vector<std::string>> CommandRunner::FetchEntryAddresses() {
  std::vector<std::string> addresses;
  if (!this->options.entry.empty()) {
    addresses.push_back(this->options.entry);
    return addresses;
  }
  if (this->options.control.empty()) {
    return UsageError(this->options, "--entry or --control is required");
  }
  BOOST_OUTCOME_TRY(
      status,
      this->client.CallAny("control.status", Json::Value(Json::objectValue)));
  for (const Json::Value& entry : ListById(status["entries"], "entry_id")) {
    addresses.push_back(entry["address"].asString());
  }
  if (addresses.empty()) {
    return MakeError(ResultCode::kConnectFailed,
                     "there is no live entry daemon");
  }
  return addresses;
}

CommandResult CommandRunner::Servers() {
  BOOST_OUTCOME_TRY(this->ExpectArgumentCount(0, "no arguments"));
  BOOST_OUTCOME_TRY(addresses, this->FetchEntryAddresses());
  std::map<std::string, Json::Value> newest_reports;
  bool any_response = false;
  Error last = MakeError(ResultCode::kConnectFailed);
  for (const std::string& address : addresses) {
    const Result<Json::Value> response = this->client.CallAt(
        address, "entry.servers", Json::Value(Json::objectValue));
    if (!response) {
      last = response.error();
      this->err << address << ": " << last.message << "\n";
      continue;
    }
    any_response = true;
    for (const Json::Value& server : response.value()["servers"]) {
      Json::Value& known = newest_reports[server["server_id"].asString()];
      if (known.isNull() || server["report_age_ms"] < known["report_age_ms"]) {
        known = server;
      }
    }
  }
  if (!any_response) {
    return last;
  }
  Json::Value result;
  result["servers"] = Json::Value(Json::arrayValue);
  for (const auto& [id, server] : newest_reports) {
    result["servers"].append(server);
  }
  return this->PrintResult(result,
                           FormatTable({{"SERVER", "server_id"},
                                        {"ADDRESS", "address"},
                                        {"KIND", "kind"},
                                        {"STATE", "state"},
                                        {"FAILURE DOMAIN", "failure_domain"},
                                        {"RUNNING", "running"},
                                        {"SLOTS", "slots"},
                                        {"REPORT AGE MS", "report_age_ms"},
                                        {"MODELS", "models"},
                                        {"LABELS", "labels"}},
                                       result["servers"]));
}

void CommandRunner::PrintTrace(const Json::Value& trace) {
  this->out << "class:    " << FormatCell(trace["class"]) << "\n"
            << "selector: " << FormatCell(trace["selector"]) << "\n"
            << "reason:   " << FormatCell(trace["reason"]) << "\n\n"
            << FormatTable({{"SERVER", "server_id"},
                            {"SCORE", "score"},
                            {"NOT TAKEN BECAUSE", "rejection"}},
                           trace["candidates"]);
}

CommandResult CommandRunner::Explain() {
  if (!this->options.logs.empty()) {
    return ExplainFromLogs(this->options, this->out);
  }
  const bool hypothetical =
      !this->options.labels.empty() || !this->options.class_name.empty() ||
      !this->options.customer.empty() || !this->options.model.empty();
  if (this->options.arguments.size() > 1 ||
      hypothetical == (this->options.arguments.size() == 1)) {
    return UsageError(this->options,
                      "explain expects a request ID, or --labels, --class, "
                      "--customer or --model");
  }
  Json::Value params;
  if (!hypothetical) {
    params["request_id"] = this->options.arguments[0];
  } else {
    const std::pair<const char*, const std::string&> request_fields[] = {
        {"labels", this->options.labels},
        {"class", this->options.class_name},
        {"customer", this->options.customer},
        {"model", this->options.model},
    };
    for (const auto& [key, value] : request_fields) {
      if (!value.empty()) {
        params[key] = value;
      }
    }
  }
  BOOST_OUTCOME_TRY(addresses, this->FetchEntryAddresses());
  BOOST_OUTCOME_TRY(
      trace, this->client.CallAt(addresses.front(), "entry.explain", params));
  if (this->options.json || !trace.isObject()) {
    return this->PrintResult(trace, FormatPrettyJson(trace));
  }
  this->PrintTrace(trace);
  return CtlExit::kOk;
}

CommandResult CommandRunner::Replica() {
  const std::vector<std::string>& arguments = this->options.arguments;
  const std::string action = arguments.empty() ? "" : arguments[0];
  const bool known =
      action == "add" || action == "promote" || action == "remove";
  const std::size_t expected = action == "add" ? 3 : 2;
  if (!known || arguments.size() != expected || !IsNumber(arguments[1])) {
    return UsageError(
        this->options,
        "replica expects add ID IP:port, promote ID or remove ID");
  }
  Json::Value params;
  params["action"] = action;
  params["id"] = Json::UInt64(ToNumber(arguments[1]));
  if (action == "add") {
    params["address"] = arguments[2];
  }
  BOOST_OUTCOME_TRY(response,
                    this->client.CallLeader("control.replica", params));
  return this->PrintResult(response, FormatTable({{"REPLICA", "id"},
                                                  {"ADDRESS", "address"},
                                                  {"VOTER", "voter"},
                                                  {"REACHABLE", "reachable"},
                                                  {"MATCH", "match_index"}},
                                                 response["replicas"]));
}

using Command = CommandResult (CommandRunner::*)();

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> kCommands = {
      {"apply", &CommandRunner::Apply},
      {"show", &CommandRunner::Show},
      {"diff", &CommandRunner::Diff},
      {"history", &CommandRunner::History},
      {"dry-run", &CommandRunner::DryRun},
      {"servers", &CommandRunner::Servers},
      {"drain", &CommandRunner::Drain},
      {"undrain", &CommandRunner::Drain},
      {"status", &CommandRunner::ShowStatus},
      {"duties", &CommandRunner::Duties},
      {"explain", &CommandRunner::Explain},
      {"replica", &CommandRunner::Replica},
      {"report", &CommandRunner::Report},
  };
  return kCommands;
}

CommandResult Run(const CtlOptions& options,
                  RpcClient& rpc,
                  const Clock& clock,
                  std::ostream& out,
                  std::ostream& err) {
  const auto command = Commands().find(options.command);
  if (options.help || options.command == "help") {
    const std::string topic =
        options.command == "help" && !options.arguments.empty()
            ? options.arguments[0]
            : options.command;
    out << CtlHelp(topic);
    return CtlExit::kOk;
  }
  if (command == Commands().end()) {
    return MakeError(
        ResultCode::kSettingsInvalidValue,
        options.command.empty()
            ? "a command is missing; see \"sycamorebend-ctl --help\""
            : fmt::format("command \"{}\" is unknown; see \"sycamorebend-ctl "
                          "--help\"",
                          options.command));
  }
  const bool needs_control = options.command != "servers" &&
                             options.command != "explain" &&
                             options.command != "report";
  if (options.control.empty() && needs_control) {
    return UsageError(options, "--control=IP:port[,IP:port...] is required");
  }
  CommandRunner runner(options, rpc, clock, out, err);
  return (runner.*command->second)();
}

}  // namespace

CtlExit ExitCodeFor(const Error& error) {
  switch (error.code) {
    case ResultCode::kSettingsUnreadable:
    case ResultCode::kSettingsSyntax:
    case ResultCode::kSettingsInvalidValue:
      return CtlExit::kUsage;
    case ResultCode::kVersionConflict:
      return CtlExit::kConflict;
    default:
      return IsRetryable(error.code) ? CtlExit::kUnreachable
                                     : CtlExit::kRefused;
  }
}

CtlExit RunCtl(const std::vector<std::string>& arguments,
               RpcClient& rpc,
               const Clock& clock,
               std::ostream& out,
               std::ostream& err) {
  const Result<CtlOptions> options = ParseCtlOptions(arguments);
  if (!options) {
    err << "sycamorebend-ctl: " << options.error().message << "\n";
    return CtlExit::kUsage;
  }
  const CommandResult outcome = Run(options.value(), rpc, clock, out, err);
  if (outcome) {
    return outcome.value();
  }
  const Error& error = outcome.error();
  err << fmt::format("sycamorebend-ctl: {} ({} {})\n", error.message,
                     static_cast<int>(error.code),
                     GetResultCodeInfo(error.code).name);
  return ExitCodeFor(error);
}

}  // namespace sycamorebend
