#include "logs/request_diagnosis.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace sycamorebend::logs {

namespace {

// Connections to a server that are lost within this time of the request's own
// are attributed to the same crash.
constexpr std::int64_t kSameCrashWindowMs = 400;
// A crashed server completes no request for at least this long.
constexpr std::int64_t kCrashObservationMs = 2000;
constexpr int kFirstFailureStatus = 300;
constexpr int kFirstServerError = 500;
constexpr int kCallerDisconnectedStatus = 499;

constexpr std::array kCauseNames = {
    std::pair(Cause::kNotInLogs, std::string_view("not_in_logs")),
    std::pair(Cause::kServed, std::string_view("served")),
    std::pair(Cause::kLate, std::string_view("late")),
    std::pair(Cause::kRejected, std::string_view("rejected")),
    std::pair(Cause::kRefusedUnderLoad, std::string_view("refused_under_load")),
    std::pair(Cause::kServerRefused, std::string_view("server_refused")),
    std::pair(Cause::kServerCrashed, std::string_view("server_crashed")),
    std::pair(Cause::kConnectionLost, std::string_view("connection_lost")),
    std::pair(Cause::kServerSilent, std::string_view("server_silent")),
    std::pair(Cause::kRequestSilent, std::string_view("request_silent")),
    std::pair(Cause::kServerError, std::string_view("server_error")),
    std::pair(Cause::kCallerLeft, std::string_view("caller_left")),
    std::pair(Cause::kGatewayEnded, std::string_view("gateway_ended")),
    std::pair(Cause::kNoServer, std::string_view("no_server")),
    std::pair(Cause::kStreamTooSlow, std::string_view("stream_too_slow")),
    std::pair(Cause::kUnexplained, std::string_view("unexplained")),
    std::pair(Cause::kQuarantined, std::string_view("quarantined")),
};

bool IsAttempt(const LogLine& line) {
  return line.event == "request_dispatched" || line.event == "request_retried";
}

// @return true if `reason` says that a response ended before it was complete.
bool EndedEarly(const std::string& reason) {
  constexpr std::array<std::string_view, 3> kReasons = {
      "connection_lost", "connection lost", "truncated"};
  return std::any_of(kReasons.begin(), kReasons.end(), [&](auto known) {
    return reason.find(known) != std::string::npos;
  });
}

// What the logs of other requests and the control replicas show about one
// server during and shortly after the request.
struct ServerObservations {
  int lost_connections = 0;  // Lost connections of other requests.
  int failed_connects = 0;
  int responses = 0;           // Requests served while it had this one.
  int responses_after = 0;     // Requests served shortly after this one ended.
  bool lease_expired = false;  // Its membership lease expired.
};

class RequestExplainer {
 public:
  RequestExplainer(const LogLines& logs, const std::string& request_id)
      : logs(logs), request_id(request_id) {}

  RequestDiagnosis Run() {
    this->CollectRequestLines();
    if (this->request_lines.empty()) {
      this->SetConclusion(
          Cause::kNotInLogs,
          "No log names this request: it reached no gateway, or "
          "the log of that gateway is missing or lost lines.");
    } else if (this->end_line == nullptr) {
      this->ExplainWithoutEnd();
    } else {
      this->ExplainEnd();
    }
    std::stable_sort(this->diagnosis.lines.begin(), this->diagnosis.lines.end(),
                     [](const LogLine& a, const LogLine& b) {
                       return a.time_ms < b.time_ms;
                     });
    return std::move(this->diagnosis);
  }

 private:
  void CollectRequestLines() {
    for (const LogLine& line : this->logs.lines) {
      if (line.Text("request_id") != this->request_id) {
        continue;
      }
      this->request_lines.push_back(&line);
      this->diagnosis.lines.push_back(line);
      if (IsAttempt(line)) {
        this->attempt = &line;
      } else if (line.event == "request_finished" ||
                 line.event == "request_rejected") {
        this->end_line = &line;
      } else if (line.event == "request_refused") {
        this->refused_line = &line;
      } else if (line.event == "request_quarantined") {
        this->quarantined_line = &line;
      }
    }
  }

  void SetConclusion(Cause cause, std::string conclusion) {
    this->diagnosis.cause = cause;
    this->diagnosis.conclusion = std::move(conclusion);
  }

  void ExplainWithoutEnd() {
    const LogLine& last = *this->request_lines.back();
    for (const LogLine& line : this->logs.lines) {
      if (line.process == last.process && line.time_ms > last.time_ms &&
          line.event == "process_started") {
        this->diagnosis.lines.push_back(line);
        this->SetConclusion(
            Cause::kGatewayEnded,
            fmt::format("Gateway {} terminated while it was handling the "
                        "request and restarted {} ms later.",
                        last.process, line.time_ms - last.time_ms));
        return;
      }
    }
    this->SetConclusion(
        Cause::kGatewayEnded,
        fmt::format("Gateway {} logged no end of the request: it "
                    "terminated, or its log stops earlier.",
                    last.process));
  }

  void ExplainEnd() {
    const auto status = static_cast<int>(this->end_line->Number("status"));
    const std::string outcome = this->end_line->event == "request_rejected"
                                    ? this->end_line->Text("reason")
                                    : this->end_line->Text("outcome");
    if (this->end_line->event == "request_rejected") {
      this->SetConclusion(
          Cause::kRejected,
          fmt::format("The gateway rejected the request with {}: {}.", status,
                      outcome));
    } else if (status < kFirstFailureStatus) {
      this->ExplainServed();
    } else if (this->quarantined_line != nullptr) {
      this->ExplainQuarantined();
    } else if (this->refused_line != nullptr) {
      this->SetConclusion(
          Cause::kRefusedUnderLoad,
          fmt::format("Refused: the best engine, {}, was expected to begin "
                      "after {} ms, with {} requests and {} prompt tokens "
                      "before it; the target is {} ms.",
                      this->refused_line->Text("best_server_id"),
                      this->refused_line->Number("expected_ms"),
                      this->refused_line->Number("running"),
                      this->refused_line->Number("pending_tokens"),
                      this->refused_line->Number("target_ms")));
    } else if (this->attempt == nullptr) {
      this->SetConclusion(Cause::kNoServer,
                          fmt::format("Never sent to a server: {}.", outcome));
    } else if (status == kCallerDisconnectedStatus) {
      this->ExplainCallerDisconnect();
    } else {
      this->ExplainFailure(status, outcome);
    }
  }

  void ExplainQuarantined() {
    const std::string parts = this->quarantined_line->Text("prompt_parts");
    const std::string cause =
        parts.empty()
            ? fmt::format("Requests with this content (hash {}) crash servers",
                          this->quarantined_line->Text("request_hash"))
            : fmt::format("Prompts with the parts {} crash servers", parts);
    for (const LogLine& line : this->logs.lines) {
      const bool found =
          line.event == "crash_cause_found" &&
          line.Text("prompt_parts") == parts &&
          (!parts.empty() || line.Text("request_hash") ==
                                 this->quarantined_line->Text("request_hash"));
      if (found && line.process == this->quarantined_line->process) {
        this->diagnosis.lines.push_back(line);
      }
    }
    this->SetConclusion(
        Cause::kQuarantined,
        fmt::format(
            "{}; they are refused for another {} s. Attempts before: {}.",
            cause, this->quarantined_line->Number("quarantine_ms") / 1000,
            this->quarantined_line->Number("attempts")));
  }

  void ExplainServed() {
    const std::int64_t target = this->end_line->Number("target_ms");
    const bool stream = this->end_line->Number("events") > 0;
    const std::int64_t latency_ms =
        stream ? this->end_line->Number("first_event_ms")
               : this->end_line->Number("duration_ms");
    if (target == 0 || latency_ms <= target) {
      this->SetConclusion(
          Cause::kServed,
          fmt::format("Served in {} ms, target {} ms.", latency_ms, target));
      return;
    }
    this->SetConclusion(
        Cause::kLate,
        fmt::format("Late: {} ms, target {} ms. {} was expected to respond "
                    "after {} ms ({} prompt tokens not cached, {} requests "
                    "and {} tokens before it, {} times as slow as usual).",
                    latency_ms, target, this->attempt->Text("server_id"),
                    this->attempt->Number("expected_ms"),
                    this->attempt->Number("uncached_tokens"),
                    this->attempt->Number("running"),
                    this->attempt->Number("pending_tokens"),
                    this->attempt->fields["slowness"].asDouble()));
  }

  void ExplainCallerDisconnect() {
    const ServerObservations seen = this->ObserveServer();
    const std::string server = this->attempt->Text("server_id");
    const std::int64_t after = this->end_line->Number("duration_ms");
    if (this->end_line->Number("events") > 0) {
      this->SetConclusion(
          Cause::kCallerLeft,
          fmt::format("The caller disconnected after {} ms and {} events; "
                      "the longest pause was {} ms.",
                      after, this->end_line->Number("events"),
                      this->end_line->Number("longest_gap_ms")));
      return;
    }
    this->SetConclusion(
        Cause::kCallerLeft,
        fmt::format(
            "The caller disconnected after {} ms without a response. {} "
            "served {} other requests in that time.",
            after, server, seen.responses));
  }

  void ExplainFailure(int status, const std::string& outcome) {
    const ServerObservations seen = this->ObserveServer();
    const std::string server = this->attempt->Text("server_id");
    const bool lost = EndedEarly(outcome);
    const bool crash_seen = seen.lost_connections > 0 ||
                            seen.failed_connects > 0 || seen.lease_expired;
    if (lost && crash_seen && seen.responses_after == 0) {
      this->SetConclusion(
          Cause::kServerCrashed,
          fmt::format("{} crashed: besides this request {} others lost their "
                      "connection to it within {} ms, {} new connections "
                      "failed{}.{}",
                      server, seen.lost_connections, kSameCrashWindowMs,
                      seen.failed_connects,
                      seen.lease_expired ? " and it stopped reporting" : "",
                      this->DescribeAttempts()));
    } else if (lost) {
      this->SetConclusion(
          Cause::kConnectionLost,
          fmt::format("{} ended this connection but did not crash ({}): it "
                      "served {} other requests meanwhile and {} in the {} ms "
                      "after.{}",
                      server, outcome, seen.responses, seen.responses_after,
                      kCrashObservationMs, this->DescribeAttempts()));
    } else if (outcome.find("time") != std::string::npos) {
      this->ExplainTimeout(seen, server);
    } else if (outcome.find("refused") != std::string::npos) {
      this->SetConclusion(Cause::kServerRefused,
                          fmt::format("{} refused the request.{}", server,
                                      this->DescribeAttempts()));
    } else if (status >= kFirstServerError && outcome == "server error") {
      this->SetConclusion(Cause::kServerError,
                          fmt::format("{} itself responded with {}.{}", server,
                                      status, this->DescribeAttempts()));
    } else if (outcome.find("malformed") != std::string::npos ||
               outcome.find("not the server's own") != std::string::npos) {
      this->SetConclusion(
          Cause::kServerError,
          fmt::format("{} sent a response that is malformed or not its own.{}",
                      server, this->DescribeAttempts()));
    } else {
      this->SetConclusion(Cause::kUnexplained,
                          fmt::format("Status {}: {}.", status, outcome));
    }
  }

  void ExplainTimeout(const ServerObservations& seen,
                      const std::string& server) {
    const std::int64_t latency_ms = this->end_line->Number("duration_ms");
    const std::int64_t events = this->end_line->Number("events");
    if (events > 0) {
      this->SetConclusion(
          Cause::kStreamTooSlow,
          fmt::format(
              "The request timed out after {} ms; {} had sent {} events by "
              "then, one in {} ms on average, with {} requests before "
              "this one when it began.",
              latency_ms, server, events, latency_ms / events,
              this->attempt->Number("running")));
    } else if (seen.responses == 0) {
      this->SetConclusion(
          Cause::kServerSilent,
          fmt::format(
              "The request timed out after {} ms without a response. {} "
              "served no other request meanwhile: it was unresponsive "
              "or unreachable.{}",
              latency_ms, server, this->DescribeAttempts()));
    } else {
      this->SetConclusion(
          Cause::kRequestSilent,
          fmt::format(
              "The request timed out after {} ms without a response. {} "
              "served {} other requests while it had this one.{}",
              latency_ms, server, seen.responses, this->DescribeAttempts()));
    }
  }

  std::string DescribeAttempts() const {
    const std::int64_t attempts = this->end_line->Number("attempts");
    return attempts > 1
               ? fmt::format(" It was the last of {} attempts.", attempts)
               : std::string(
                     " It was not retried: the route does not allow it, or the "
                     "retry budget or the time was used up.");
  }

  // Collects observations of the server of the last attempt, from the start of
  // that attempt.
  ServerObservations ObserveServer() {
    const std::string server = this->attempt->Text("server_id");
    const std::int64_t begin = this->attempt->time_ms;
    const std::int64_t end_ms = this->end_line->time_ms;
    ServerObservations seen;
    for (const LogLine& line : this->logs.lines) {
      if (line.time_ms < begin || line.time_ms > end_ms + kCrashObservationMs ||
          line.Text("server_id") != server ||
          line.Text("request_id") == this->request_id) {
        continue;
      }
      this->RecordObservation(line, end_ms, seen);
    }
    return seen;
  }

  void RecordObservation(const LogLine& line,
                         std::int64_t end_ms,
                         ServerObservations& seen) {
    if (line.event == "server_failed") {
      const bool connect = line.Text("failure") == "connect_failed";
      if (connect && line.time_ms >= end_ms - kSameCrashWindowMs) {
        ++seen.failed_connects;
        this->AddSupportingLine(line);
      } else if (EndedEarly(line.Text("failure")) &&
                 line.time_ms >= end_ms - kSameCrashWindowMs &&
                 line.time_ms <= end_ms + kSameCrashWindowMs) {
        ++seen.lost_connections;
        this->AddSupportingLine(line);
      }
    } else if (line.event == "request_finished" &&
               line.Number("status") < kFirstFailureStatus) {
      ++(line.time_ms <= end_ms ? seen.responses : seen.responses_after);
    } else if (line.event == "server_lease_expired" ||
               line.event == "server_left") {
      seen.lease_expired =
          seen.lease_expired || line.event == "server_lease_expired";
      this->AddSupportingLine(line);
    }
  }

  void AddSupportingLine(const LogLine& line) {
    constexpr std::size_t kMaxSupportingLines = 8;
    if (this->supporting_lines++ < kMaxSupportingLines) {
      this->diagnosis.lines.push_back(line);
    }
  }

  const LogLines& logs;
  const std::string& request_id;
  RequestDiagnosis diagnosis;
  std::vector<const LogLine*> request_lines;
  const LogLine* attempt = nullptr;
  const LogLine* refused_line = nullptr;
  const LogLine* quarantined_line = nullptr;
  const LogLine* end_line = nullptr;
  std::size_t supporting_lines = 0;
};

std::string FormatTime(std::int64_t time_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  return fmt::format(
      "{:%H:%M:%S}.{:03}",
      fmt::gmtime(static_cast<std::time_t>(time_ms / kMsPerSecond)),
      time_ms % kMsPerSecond);
}

std::string FormatFields(const LogLine& line) {
  static const std::set<std::string> kOmittedFields = {"time_ms", "severity",
                                                       "event", "name"};
  std::string text;
  for (const std::string& name : line.fields.getMemberNames()) {
    if (kOmittedFields.count(name) > 0) {
      continue;
    }
    const Json::Value& value = line.fields[name];
    text += value.isString()
                ? fmt::format("  {}=\"{}\"", name, value.asString())
                : fmt::format("  {}={}", name, value.asString());
  }
  return text;
}

}  // namespace

std::string_view CauseName(Cause cause) {
  for (const auto& [known, name] : kCauseNames) {
    if (known == cause) {
      return name;
    }
  }
  return "unknown";
}

RequestDiagnosis ExplainRequest(const LogLines& logs,
                                const std::string& request_id) {
  return RequestExplainer(logs, request_id).Run();
}

std::string FormatDiagnosis(const RequestDiagnosis& diagnosis,
                            const std::string& request_id) {
  std::string text =
      fmt::format("request {}: {}\n{}\n", request_id,
                  CauseName(diagnosis.cause), diagnosis.conclusion);
  for (const LogLine& line : diagnosis.lines) {
    text += fmt::format("{}  {}  {}{}\n", FormatTime(line.time_ms),
                        line.process, line.event, FormatFields(line));
  }
  return text;
}

}  // namespace sycamorebend::logs
