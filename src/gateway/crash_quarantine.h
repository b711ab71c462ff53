// Keeps requests that crash servers away from them. Gateways tell each other
// which of their requests were running on a server that crashed, so that all of
// them find the cause.
#ifndef SYCAMOREBEND_SRC_GATEWAY_CRASH_QUARANTINE_H_
#define SYCAMOREBEND_SRC_GATEWAY_CRASH_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/load_exchange.h"
#include "gateway/wire_format.h"
#include "net/http_reader.h"
#include "routing/crash_tracker.h"
#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/metrics.h"

namespace sycamorebend::gateway {

// Time in which gateways tell each other what was running on a server that
// crashed.
inline constexpr Duration kCrashReportWindow = milliseconds(150);

// @param caller identifies the caller; the same with each of its API keys.
// @return the hashes by which requests with the same content are recognized.
internal::RequestContent ContentOf(
    const net::MessageHead& head,
    std::string_view body,
    std::string_view caller,
    const std::optional<GenerationRequest>& generation);

// @return the hashes in hexadecimal, separated by commas, for logs.
std::string FormatHashes(const std::vector<std::uint64_t>& hashes);

// @return the cause as text, and back; nothing if the text is no cause.
std::string FormatCause(const internal::CrashCause& cause);
std::optional<internal::CrashCause> ParseCause(std::string_view text);

// No threads, no I/O; the current time is passed in.
class CrashQuarantine {
 public:
  CrashQuarantine();

  // @param on_crash called when a request of this gateway was running on a
  // server that crashed. The other gateways should be told immediately.
  void SetCrashCallback(std::function<void()> on_crash) {
    this->on_crash = std::move(on_crash);
  }

  // @param on_found called for each cause that is new here. It may be called by
  // any method and must not call back.
  void SetFoundCallback(std::function<void()> on_found) {
    this->on_found = std::move(on_found);
  }

  // @return why the request must not be sent, or nothing if it may.
  std::optional<internal::CrashCause> Check(
      const internal::RequestContent& content,
      TimePoint now);
  // Counts a request that was not sent.
  void CountRefused(const internal::CrashCause& cause);
  // @return when it is known whether the request crashes servers, if something
  // in it was running during several crashes: it should not be sent before.
  std::optional<TimePoint> FindingDue(const internal::RequestContent& content,
                                      TimePoint now) const {
    return this->tracker.EvaluationDue(content, now);
  }
  // Records that a server began to respond to the request, which may still
  // crash it.
  void RecordBegun(const internal::RequestContent& content, TimePoint now) {
    this->tracker.RecordServed({0, content.parts}, now);
  }
  // Records that a server ran the request to its end.
  void RecordServed(const internal::RequestContent& content, TimePoint now) {
    this->tracker.RecordServed(content, now);
  }
  // Records that the server crashed while it was running the request.
  // @param begun whether it had begun to respond to it.
  void RecordCrash(const std::string& server_key,
                   const internal::RequestContent& content,
                   bool begun,
                   TimePoint now);

  // @param interval time between two messages to the same gateway.
  void SetExchangeInterval(Duration interval);
  // Adds what the control replicas have recorded, which outlives all gateways.
  // @param wall_time_ms Unix time.
  void SetRecorded(const std::vector<CrashFinding>& findings,
                   std::int64_t wall_time_ms,
                   TimePoint now);
  // @return findings to which requests of this gateway have led and that the
  // control replicas have not recorded.
  std::vector<internal::CrashCause> Unrecorded(TimePoint now) const;

  // Adds what the other gateways need to know.
  void FillLoadMessage(LoadMessage& message, TimePoint now);
  void OnPeerLoad(const LoadMessage& message, TimePoint now);

  // Writes the totals to `metrics`; may be called repeatedly.
  void Publish(Metrics& metrics, TimePoint now) const;

 private:
  void Evaluate(TimePoint now);
  void AnnounceCause(const internal::CrashCause& cause,
                     const char* source,
                     TimePoint now);
  // Sends the causes again if the sender of a message has just started.
  void NoteSender(const LoadMessage& message, TimePoint now);

  std::function<void()> on_crash = [] {};
  std::function<void()> on_found = [] {};
  internal::CrashTracker tracker;
  Duration news_repeat_time = milliseconds(150);
  // When the causes were last sent, by scope, and last changed.
  std::map<LoadScope, TimePoint> causes_sent_at;
  TimePoint causes_changed_at;
  // When each gateway was last heard, by its name in the messages.
  std::unordered_map<std::string, TimePoint> senders;
  // Causes that the control replicas have recorded, as text, and the end of
  // their quarantine there.
  std::map<std::string, TimePoint, std::less<>> recorded;
  // Requests that were running on a server that crashed, by whether their
  // responses had begun.
  std::map<bool, std::uint64_t> lost_requests;
  // By kind of the cause.
  std::map<std::string, std::uint64_t> findings;
  std::map<std::string, std::uint64_t> refused;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_CRASH_QUARANTINE_H_
