#include "logs/request_story.h"

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

// Other losses at a server this close to one's own belong to the same crash.
constexpr std::int64_t kSameCrashMs = 400;
// A crashed server answers nobody for at least this long.
constexpr std::int64_t kAfterCrashMs = 2000;
constexpr int kFirstFailure = 300;
constexpr int kFirstServerError = 500;
constexpr int kCallerGoneStatus = 499;

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
};

bool IsAttempt(const LogLine& line) {
  return line.event == "request_dispatched" || line.event == "request_retried";
}

// What other requests saw of one server around a time.
struct ServerEvidence {
  int losses = 0;  // Connections with a request that ended.
  int failed_connects = 0;
  int answers = 0;        // Whole answers while it had the request.
  int answers_after = 0;  // The same soon after the request ended.
  bool gone = false;      // It left, or its lease expired.
};

class Investigation {
 public:
  Investigation(const LogLines& logs, const std::string& request_id)
      : logs(logs), request_id(request_id) {}

  RequestStory Run() {
    this->CollectOwn();
    if (this->own.empty()) {
      this->Conclude(Cause::kNotInLogs,
                     "No log names this request: it reached no gateway, or "
                     "the log of that gateway is missing or lost lines.");
    } else if (this->end == nullptr) {
      this->ExplainWithoutEnd();
    } else {
      this->ExplainEnd();
    }
    std::stable_sort(this->story.lines.begin(), this->story.lines.end(),
                     [](const LogLine& a, const LogLine& b) {
                       return a.time_ms < b.time_ms;
                     });
    return std::move(this->story);
  }

 private:
  void CollectOwn() {
    for (const LogLine& line : this->logs.lines) {
      if (line.Text("request_id") != this->request_id) {
        continue;
      }
      this->own.push_back(&line);
      this->story.lines.push_back(line);
      if (IsAttempt(line)) {
        this->attempt = &line;
      } else if (line.event == "request_finished" ||
                 line.event == "request_rejected") {
        this->end = &line;
      } else if (line.event == "request_refused") {
        this->refusal = &line;
      }
    }
  }

  void Conclude(Cause cause, std::string conclusion) {
    this->story.cause = cause;
    this->story.conclusion = std::move(conclusion);
  }

  void ExplainWithoutEnd() {
    const LogLine& last = *this->own.back();
    for (const LogLine& line : this->logs.lines) {
      if (line.process == last.process && line.time_ms > last.time_ms &&
          line.event == "process_started") {
        this->story.lines.push_back(line);
        this->Conclude(Cause::kGatewayEnded,
                       fmt::format("Gateway {} ended while it held the "
                                   "request, and started again {} ms later.",
                                   last.process, line.time_ms - last.time_ms));
        return;
      }
    }
    this->Conclude(Cause::kGatewayEnded,
                   fmt::format("Gateway {} wrote no end of the request: it "
                               "ended, or its log stops before.",
                               last.process));
  }

  void ExplainEnd() {
    const auto status = static_cast<int>(this->end->Number("status"));
    const std::string outcome = this->end->event == "request_rejected"
                                    ? this->end->Text("reason")
                                    : this->end->Text("outcome");
    if (this->end->event == "request_rejected") {
      this->Conclude(Cause::kRejected, fmt::format("The gateway answered {}: "
                                                   "{}.",
                                                   status, outcome));
    } else if (status < kFirstFailure) {
      this->ExplainServed();
    } else if (this->refusal != nullptr) {
      this->Conclude(
          Cause::kRefusedUnderLoad,
          fmt::format("Refused: the best engine, {}, was expected to begin "
                      "after {} ms, with {} requests and {} prompt tokens "
                      "before it; the target is {} ms.",
                      this->refusal->Text("best_server_id"),
                      this->refusal->Number("expected_ms"),
                      this->refusal->Number("running"),
                      this->refusal->Number("pending_tokens"),
                      this->refusal->Number("target_ms")));
    } else if (this->attempt == nullptr) {
      this->Conclude(Cause::kNoServer,
                     fmt::format("Never sent to a server: {}.", outcome));
    } else if (status == kCallerGoneStatus) {
      this->ExplainCallerLeft();
    } else {
      this->ExplainFailure(status, outcome);
    }
  }

  void ExplainServed() {
    const std::int64_t target = this->end->Number("target_ms");
    const bool stream = this->end->Number("events") > 0;
    const std::int64_t took = stream ? this->end->Number("first_event_ms")
                                     : this->end->Number("duration_ms");
    if (target == 0 || took <= target) {
      this->Conclude(
          Cause::kServed,
          fmt::format("Served in {} ms, target {} ms.", took, target));
      return;
    }
    this->Conclude(
        Cause::kLate,
        fmt::format("Late: {} ms, target {} ms. {} was expected to answer "
                    "after {} ms ({} prompt tokens not cached, {} requests "
                    "and {} tokens before it, {} times as slow as usual).",
                    took, target, this->attempt->Text("server_id"),
                    this->attempt->Number("expected_ms"),
                    this->attempt->Number("uncached_tokens"),
                    this->attempt->Number("running"),
                    this->attempt->Number("pending_tokens"),
                    this->attempt->fields["slowness"].asDouble()));
  }

  void ExplainCallerLeft() {
    const ServerEvidence seen = this->Gather();
    const std::string server = this->attempt->Text("server_id");
    const std::int64_t after = this->end->Number("duration_ms");
    if (this->end->Number("events") > 0) {
      this->Conclude(Cause::kCallerLeft,
                     fmt::format("The caller left after {} ms and {} events; "
                                 "the longest pause was {} ms.",
                                 after, this->end->Number("events"),
                                 this->end->Number("longest_gap_ms")));
      return;
    }
    this->Conclude(
        Cause::kCallerLeft,
        fmt::format("The caller left after {} ms without an answer. {} "
                    "answered {} other requests in that time.",
                    after, server, seen.answers));
  }

  void ExplainFailure(int status, const std::string& outcome) {
    const ServerEvidence seen = this->Gather();
    const std::string server = this->attempt->Text("server_id");
    const bool lost = outcome.find("connection_lost") != std::string::npos ||
                      outcome.find("connection lost") != std::string::npos;
    const bool crash_seen =
        seen.losses > 0 || seen.failed_connects > 0 || seen.gone;
    if (lost && crash_seen && seen.answers_after == 0) {
      this->Conclude(
          Cause::kServerCrashed,
          fmt::format("{} crashed: besides this request {} others lost their "
                      "connection to it within {} ms, {} new connections "
                      "failed{}.{}",
                      server, seen.losses, kSameCrashMs, seen.failed_connects,
                      seen.gone ? " and it stopped reporting" : "",
                      this->NoRepeat()));
    } else if (lost) {
      this->Conclude(
          Cause::kConnectionLost,
          fmt::format("{} ended this connection but did not crash ({}): it "
                      "answered {} other requests meanwhile and {} in the {} "
                      "ms after.{}",
                      server, outcome, seen.answers, seen.answers_after,
                      kAfterCrashMs, this->NoRepeat()));
    } else if (outcome.find("time") != std::string::npos) {
      this->ExplainTimeout(seen, server);
    } else if (outcome.find("refused") != std::string::npos) {
      this->Conclude(Cause::kServerRefused,
                     fmt::format("{} had no place for the request.{}", server,
                                 this->NoRepeat()));
    } else if (status >= kFirstServerError && outcome == "server error") {
      this->Conclude(Cause::kServerError,
                     fmt::format("{} answered {} itself.{}", server, status,
                                 this->NoRepeat()));
    } else if (outcome.find("malformed") != std::string::npos ||
               outcome.find("not the server's own") != std::string::npos) {
      this->Conclude(Cause::kServerError,
                     fmt::format("{} sent bytes that are no answer to this "
                                 "request.{}",
                                 server, this->NoRepeat()));
    } else {
      this->Conclude(Cause::kUnexplained,
                     fmt::format("Status {}: {}.", status, outcome));
    }
  }

  void ExplainTimeout(const ServerEvidence& seen, const std::string& server) {
    const std::int64_t took = this->end->Number("duration_ms");
    const std::int64_t events = this->end->Number("events");
    if (events > 0) {
      this->Conclude(
          Cause::kStreamTooSlow,
          fmt::format("The time was up after {} ms; {} had sent {} events by "
                      "then, one in {} ms on average, with {} requests before "
                      "this one when it began.",
                      took, server, events, took / events,
                      this->attempt->Number("running")));
    } else if (seen.answers == 0) {
      this->Conclude(
          Cause::kServerSilent,
          fmt::format("The time was up after {} ms without an answer. {} "
                      "answered nobody meanwhile: it was dark or cut off.{}",
                      took, server, this->NoRepeat()));
    } else {
      this->Conclude(
          Cause::kRequestSilent,
          fmt::format("The time was up after {} ms without an answer. {} "
                      "answered {} other requests while it had this one.{}",
                      took, server, seen.answers, this->NoRepeat()));
    }
  }

  std::string NoRepeat() const {
    const std::int64_t attempts = this->end->Number("attempts");
    return attempts > 1
               ? fmt::format(" It was the last of {} attempts.", attempts)
               : std::string(
                     " It was not repeated: the route does "
                     "not allow it, or the budget or the "
                     "time was used up.");
  }

  // Looks at the server of the last attempt from its sending on.
  ServerEvidence Gather() {
    const std::string server = this->attempt->Text("server_id");
    const std::int64_t begin = this->attempt->time_ms;
    const std::int64_t end_ms = this->end->time_ms;
    ServerEvidence seen;
    for (const LogLine& line : this->logs.lines) {
      if (line.time_ms < begin || line.time_ms > end_ms + kAfterCrashMs ||
          line.Text("server_id") != server ||
          line.Text("request_id") == this->request_id) {
        continue;
      }
      this->Weigh(line, end_ms, seen);
    }
    return seen;
  }

  void Weigh(const LogLine& line, std::int64_t end_ms, ServerEvidence& seen) {
    if (line.event == "server_failed") {
      const bool connect = line.Text("failure") == "connect_failed";
      if (connect && line.time_ms >= end_ms - kSameCrashMs) {
        ++seen.failed_connects;
        this->AddEvidence(line);
      } else if (line.Text("failure") == "connection_lost" &&
                 line.time_ms >= end_ms - kSameCrashMs &&
                 line.time_ms <= end_ms + kSameCrashMs) {
        ++seen.losses;
        this->AddEvidence(line);
      }
    } else if (line.event == "request_finished" &&
               line.Number("status") < kFirstFailure) {
      ++(line.time_ms <= end_ms ? seen.answers : seen.answers_after);
    } else if (line.event == "server_lease_expired" ||
               line.event == "server_left") {
      seen.gone = seen.gone || line.event == "server_lease_expired";
      this->AddEvidence(line);
    }
  }

  void AddEvidence(const LogLine& line) {
    constexpr std::size_t kMaxEvidence = 8;
    if (this->evidence++ < kMaxEvidence) {
      this->story.lines.push_back(line);
    }
  }

  const LogLines& logs;
  const std::string& request_id;
  RequestStory story;
  std::vector<const LogLine*> own;
  const LogLine* attempt = nullptr;
  const LogLine* refusal = nullptr;
  const LogLine* end = nullptr;
  std::size_t evidence = 0;
};

std::string FormatTime(std::int64_t time_ms) {
  constexpr std::int64_t kMsPerSecond = 1000;
  return fmt::format(
      "{:%H:%M:%S}.{:03}",
      fmt::gmtime(static_cast<std::time_t>(time_ms / kMsPerSecond)),
      time_ms % kMsPerSecond);
}

std::string FormatFields(const LogLine& line) {
  static const std::set<std::string> kShownElsewhere = {"time_ms", "severity",
                                                        "event", "name"};
  std::string text;
  for (const std::string& name : line.fields.getMemberNames()) {
    if (kShownElsewhere.count(name) > 0) {
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

RequestStory ExplainRequest(const LogLines& logs,
                            const std::string& request_id) {
  return Investigation(logs, request_id).Run();
}

std::string FormatStory(const RequestStory& story,
                        const std::string& request_id) {
  std::string text = fmt::format("request {}: {}\n{}\n", request_id,
                                 CauseName(story.cause), story.conclusion);
  for (const LogLine& line : story.lines) {
    text += fmt::format("{}  {}  {}{}\n", FormatTime(line.time_ms),
                        line.process, line.event, FormatFields(line));
  }
  return text;
}

}  // namespace sycamorebend::logs
