#include "ctl/log_commands.h"

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "logs/attainment.h"
#include "logs/log_reader.h"
#include "logs/request_diagnosis.h"

namespace sycamorebend {

namespace {

constexpr int kFirstFailureStatus = 300;

// Returns the IDs of requests that were not served, in the order in which they
// first appear in the logs.
std::vector<std::string> FindUnservedRequests(const logs::LogLines& lines) {
  std::vector<std::string> request_ids;
  std::set<std::string> seen;
  std::set<std::string> served;
  for (const logs::LogLine& line : lines.lines) {
    const std::string id = line.Text("request_id");
    if (id.empty()) {
      continue;
    }
    if (seen.insert(id).second) {
      request_ids.push_back(id);
    }
    if (line.event == "request_finished" &&
        line.Number("status") < kFirstFailureStatus) {
      served.insert(id);
    }
  }
  std::vector<std::string> unserved;
  for (std::string& id : request_ids) {
    if (served.count(id) == 0) {
      unserved.push_back(std::move(id));
    }
  }
  return unserved;
}

void PrintCauseCounts(const logs::LogLines& lines, std::ostream& out) {
  struct Count {
    int requests = 0;
    std::string example;
  };
  std::map<logs::Cause, Count> counts;
  for (const std::string& id : FindUnservedRequests(lines)) {
    Count& count = counts[logs::ExplainRequest(lines, id).cause];
    ++count.requests;
    count.example = id;
  }
  out << fmt::format("{:<20}{:>9}  {}\n", "CAUSE", "REQUESTS", "EXAMPLE");
  for (const auto& [cause, count] : counts) {
    out << fmt::format("{:<20}{:>9}  {}\n", logs::CauseName(cause),
                       count.requests, count.example);
  }
}

}  // namespace

Result<CtlExit> ExplainFromLogs(const CtlOptions& options, std::ostream& out) {
  if (options.arguments.size() > 1) {
    return MakeError(ResultCode::kSettingsInvalidValue,
                     "explain --log expects one request ID or none");
  }
  BOOST_OUTCOME_TRY(lines, logs::ReadLogFiles(options.logs));
  if (options.arguments.empty()) {
    PrintCauseCounts(lines, out);
    return CtlExit::kOk;
  }
  const std::string& id = options.arguments[0];
  const logs::RequestDiagnosis diagnosis = logs::ExplainRequest(lines, id);
  out << logs::FormatDiagnosis(diagnosis, id);
  return diagnosis.cause == logs::Cause::kNotInLogs ? CtlExit::kRefused
                                                    : CtlExit::kOk;
}

Result<CtlExit> ReportFromLogs(const CtlOptions& options, std::ostream& out) {
  if (options.logs.empty() || !options.arguments.empty()) {
    return MakeError(ResultCode::kSettingsInvalidValue,
                     "report expects --log=FILE[,FILE...] and no arguments");
  }
  BOOST_OUTCOME_TRY(lines, logs::ReadLogFiles(options.logs));
  const logs::Attainment attainment =
      logs::ComputeAttainment(lines, options.interval_ms);
  out << logs::FormatAttainment(attainment);
  if (options.svg.empty()) {
    return CtlExit::kOk;
  }
  std::ofstream file(options.svg);
  file << logs::RenderAttainmentSvg(attainment);
  file.flush();
  if (!file) {
    return MakeError(ResultCode::kSettingsUnreadable,
                     fmt::format("{} cannot be written", options.svg));
  }
  return CtlExit::kOk;
}

}  // namespace sycamorebend
