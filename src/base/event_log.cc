#include <fcntl.h>
#include <unistd.h>

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

std::atomic<int> threshold{static_cast<int>(Severity::kInfo)};

std::atomic<int> log_descriptor{STDERR_FILENO};

// Lines that could not be written since the last one that was.
std::atomic<std::uint64_t> lost_lines{0};

constexpr EventInfo kEvents[] = {
    {Event::kProcessStarted, "process_started", "The process started."},
    {Event::kProcessStopping, "process_stopping",
     "A graceful stop began; requests in flight are finished."},
    {Event::kProcessStopped, "process_stopped", "The process ends."},
    {Event::kSettingsRejected, "settings_rejected",
     "The settings file was refused."},
    {Event::kListening, "listening", "The process accepts connections."},
    {Event::kSettingsReloaded, "settings_reloaded",
     "The settings were read again."},
    {Event::kRequestRejected, "request_rejected",
     "A caller's request was refused because of its content."},
    {Event::kCallerGone, "caller_gone",
     "A caller closed its connection before the answer was whole."},
    {Event::kRequestFinished, "request_finished",
     "A request ended; the fields give its outcome and times."},
    {Event::kCallersShed, "callers_shed",
     "Connections of callers were closed for lack of memory or descriptors."},
    {Event::kRequestDispatched, "request_dispatched",
     "Routing decision: a request was sent to a backend server."},
    {Event::kRequestQueued, "request_queued",
     "Routing decision: a request waits before it is sent."},
    {Event::kRequestRefused, "request_refused",
     "Routing decision: a request was refused."},
    {Event::kRequestRetried, "request_retried",
     "Routing decision: a failed attempt is tried again."},
    {Event::kRequestCancelled, "request_cancelled",
     "Routing decision: an attempt was cancelled at its server."},
    {Event::kRequestQuarantined, "request_quarantined",
     "A request was refused because it crashes backend servers."},
    {Event::kPlacementOrdered, "placement_ordered",
     "Placement decision: an engine order was sent."},
    {Event::kPlacementAnswered, "placement_answered",
     "A backend server answered an engine order."},
    {Event::kRequestResumed, "request_resumed",
     "A stalled stream was resumed on a new connection."},
    {Event::kOrderStarted, "order_started",
     "The right to send an order was granted."},
    {Event::kOrderFinished, "order_finished",
     "The outcome of an order was recorded."},
    {Event::kOrderUnknown, "order_unknown",
     "A caller was told that the outcome of its order is unknown."},
    {Event::kOrderReplayed, "order_replayed",
     "A repeated order got the stored answer."},
    {Event::kOrderRefused, "order_refused", "An order was refused."},
    {Event::kServerAnnounced, "server_announced",
     "A backend server announced itself."},
    {Event::kServerLeaseExpired, "server_lease_expired",
     "A backend server stopped reporting and gets no new work."},
    {Event::kServerLeft, "server_left", "A backend server is leaving."},
    {Event::kServerFailed, "server_failed",
     "An attempt failed at a backend server."},
    {Event::kServerStraggling, "server_straggling",
     "A backend server is slower than its peers."},
    {Event::kReportRejected, "report_rejected",
     "A report of a backend server was refused."},
    {Event::kCacheEventGap, "cache_event_gap",
     "Cache events were lost; the view of the cache starts anew."},
    {Event::kCrashCauseFound, "crash_cause_found",
     "A request or a prompt part crashes servers; such requests are refused."},
    {Event::kServerChecked, "server_checked",
     "A server that lost a request's connection was connected to, to find out "
     "whether it has crashed."},
    {Event::kServerQuiet, "server_quiet",
     "A backend server asked for no requests for a time."},
    {Event::kConfigurationAccepted, "configuration_accepted",
     "A configuration change was committed."},
    {Event::kConfigurationConflict, "configuration_conflict",
     "A configuration change lost against another one."},
    {Event::kConfigurationInForce, "configuration_in_force",
     "This process now routes by the named configuration version."},
    {Event::kConfigurationUnconfirmed, "configuration_unconfirmed",
     "The configuration could not be confirmed in time; new requests are "
     "refused."},
    {Event::kEntryJoined, "entry_joined", "An entry daemon joined."},
    {Event::kEntryExpired, "entry_expired", "An entry daemon's lease expired."},
    {Event::kEntryDraining, "entry_draining",
     "An entry daemon drains and is no longer given to callers."},
    {Event::kFeedUpstreamChanged, "feed_upstream_changed",
     "This entry daemon polls another source of the feed."},
    {Event::kFindingRecorded, "finding_recorded",
     "A crash finding was recorded."},
    {Event::kFeedResumed, "feed_resumed",
     "A source of the feed answers after a time without news."},
    {Event::kFeedSilent, "feed_silent",
     "No source of the feed gives a state that can be used."},
    {Event::kReplicaNoticeSent, "replica_notice_sent",
     "A lost process is told of the present control replicas."},
    {Event::kReplicaNoticeUsed, "replica_notice_used",
     "Another process named control replicas, which are now polled."},
    {Event::kLeaderElected, "leader_elected", "This replica is the leader."},
    {Event::kLeadershipLost, "leadership_lost",
     "This replica is no longer the leader."},
    {Event::kSnapshotWritten, "snapshot_written", "A snapshot was written."},
    {Event::kSnapshotInstalled, "snapshot_installed",
     "A snapshot from the leader was installed."},
    {Event::kLogTailCut, "log_tail_cut",
     "An incomplete last record was removed at start."},
    {Event::kLogCorrupt, "log_corrupt",
     "The log is corrupt; the replica does not start."},
    {Event::kReplicaAdded, "replica_added", "A replica joined the set."},
    {Event::kReplicaRemoved, "replica_removed", "A replica left the set."},
    {Event::kStorageFailed, "storage_failed",
     "A write to the data directory failed; the process ends."},
    {Event::kReplicaPromoted, "replica_promoted",
     "A learner has the log and may vote."},
    {Event::kStateConfirmed, "state_confirmed",
     "A quorum confirmed this replica's state for the first time since its "
     "start."},
    {Event::kSnapshotSent, "snapshot_sent",
     "The leader sends a replica the snapshot instead of entries."},
    {Event::kRpcFailed, "rpc_failed", "A call to another process failed."},
    {Event::kPeerUnreachable, "peer_unreachable",
     "Another process cannot be reached."},
    {Event::kHeaderRefused, "header_refused",
     "A header that would end its line early was not sent."},
    {Event::kDutyGranted, "duty_granted",
     "This VM took a duty, or a new fencing token for it."},
    {Event::kDutyReleased, "duty_released",
     "This VM gave up a duty because it stops."},
    {Event::kUsageFixed, "usage_fixed",
     "The counts of a window of usage were recorded."},
    {Event::kDutyCallEnded, "duty_call_ended",
     "A call of a duty ended; the fields give its content and result."},
    {Event::kScalingRulesRead, "scaling_rules_read",
     "The leader decides how many engines of a service to order by new rules."},
    {Event::kScalingHeld, "scaling_held",
     "The reason why no engine of a service is removed has changed."},
};

std::string JsonQuote(std::string_view text) {
  std::string quoted = "\"";
  for (const char symbol : text) {
    const auto byte = static_cast<unsigned char>(symbol);
    if (symbol == '"' || symbol == '\\') {
      quoted.push_back('\\');
      quoted.push_back(symbol);
    } else if (byte < 0x20 || byte == 0x7f) {
      fmt::format_to(std::back_inserter(quoted), "\\u{:04x}", byte);
    } else {
      quoted.push_back(symbol);
    }
  }
  quoted.push_back('"');
  return quoted;
}

std::string_view SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "unknown";
}

std::string_view EventName(Event event) {
  const std::vector<EventInfo>& table = AllEvents();
  const auto row = std::find_if(
      table.begin(), table.end(),
      [event](const EventInfo& info) { return info.event == event; });
  return row != table.end() ? row->name : "unknown";
}

}  // namespace

const std::vector<EventInfo>& AllEvents() {
  static const std::vector<EventInfo>* const kTable =
      new std::vector<EventInfo>(std::begin(kEvents), std::end(kEvents));
  return *kTable;
}

LogField::LogField(std::string_view name, std::string_view value)
    : name(name), json(JsonQuote(value)) {}
LogField::LogField(std::string_view name, const char* value)
    : LogField(name, std::string_view(value)) {}
LogField::LogField(std::string_view name, const std::string& value)
    : LogField(name, std::string_view(value)) {}
LogField::LogField(std::string_view name, bool value)
    : name(name), json(value ? "true" : "false") {}
LogField::LogField(std::string_view name, double value)
    : name(name),
      json(std::isfinite(value) ? fmt::format("{:.6g}", value) : "null") {}
LogField::LogField(std::string_view name, std::int64_t value)
    : name(name), json(fmt::format("{}", value)) {}
LogField::LogField(std::string_view name, std::uint64_t value)
    : name(name), json(fmt::format("{}", value)) {}
LogField::LogField(std::string_view name, int value)
    : LogField(name, static_cast<std::int64_t>(value)) {}
LogField::LogField(std::string_view name, unsigned value)
    : LogField(name, static_cast<std::uint64_t>(value)) {}

void SetLogDescriptor(int descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
  log_descriptor.store(descriptor);
}

void SetLogThreshold(Severity severity) {
  threshold.store(static_cast<int>(severity));
}

void LogEvent(Severity severity,
              Event event,
              std::initializer_list<LogField> fields) {
  if (static_cast<int>(severity) < threshold.load()) {
    return;
  }
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line),
                 R"({{"time_ms":{},"severity":"{}","event":{},"name":"{}")",
                 SystemClock().WallTimeMs(), SeverityName(severity),
                 static_cast<int>(event), EventName(event));
  const std::uint64_t lost = lost_lines.exchange(0);
  if (lost > 0) {
    fmt::format_to(std::back_inserter(line), R"(,"lost_lines":{})", lost);
  }
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), R"(,"{}":{})", field.name,
                   field.json);
  }
  line.push_back('}');
  line.push_back('\n');
  // One write for the whole line, so that lines of threads do not mix.
  if (::write(log_descriptor.load(), line.data(), line.size()) < 0) {
    lost_lines.fetch_add(1);
  }
}

}  // namespace sycamorebend
