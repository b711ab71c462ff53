#include "gateway/crash_quarantine.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend::gateway {

namespace {

using internal::CrashCandidate;
using internal::CrashCause;
using internal::NewsScope;
using internal::NewsSource;
using internal::RequestContent;

// Rounds of the exchange in which news are sent, in case datagrams are lost.
constexpr double kNewsRounds = 3;
// Rounds after which all gateways have heard of a crash.
constexpr double kGatherRounds = 2;
// Interval at which known causes are sent again, for gateways that have just
// started or were cut off.
constexpr Duration kCauseInterval = seconds(1);
// A gateway that was not heard for this long has ended.
constexpr Duration kSenderRetention = seconds(60);
// Bounds of the news in one message.
constexpr std::size_t kMaxCandidates = 64;
constexpr std::size_t kMaxBegunCandidates = 128;
constexpr std::size_t kMaxCleared = 128;
constexpr std::size_t kMaxCauses = 32;

const char* CauseKind(const CrashCause& cause) {
  return cause.request != 0 ? "request" : "prompt_part";
}

// Bounds of what the control replicas have recorded.
constexpr int kMaxFindings = 100;
constexpr Duration kMaxQuarantine = std::chrono::hours(24);
// Wall clocks of VMs may differ by as much.
constexpr Duration kMaxClockDifference = std::chrono::minutes(5);

constexpr std::string_view kRequestPrefix = "request:";
constexpr std::string_view kPartsPrefix = "parts:";
constexpr int kHexBase = 16;

// Bounds the requests whose responses had begun apart from the others: there
// are many more of them, and they have no parts.
void KeepNewestCandidates(std::vector<CrashCandidate>& candidates) {
  std::size_t begun_left = kMaxBegunCandidates;
  std::size_t others_left = kMaxCandidates;
  std::vector<CrashCandidate> kept;
  for (auto it = candidates.rbegin(); it != candidates.rend(); ++it) {
    std::size_t& left = it->begun ? begun_left : others_left;
    if (left > 0) {
      --left;
      kept.push_back(std::move(*it));
    }
  }
  std::reverse(kept.begin(), kept.end());
  candidates = std::move(kept);
}

template <typename Value>
void KeepNewest(std::vector<Value>& values, std::size_t count) {
  if (values.size() > count) {
    values.erase(values.begin(),
                 values.end() - static_cast<std::ptrdiff_t>(count));
  }
}

}  // namespace

RequestContent ContentOf(const net::MessageHead& head,
                         std::string_view body,
                         std::string_view caller,
                         const std::optional<GenerationRequest>& generation) {
  RequestContent content;
  std::string text = fmt::format("{} {}\n{}\n{:x}", head.method, head.target,
                                 caller, StableHash64(body));
  if (generation) {
    const std::vector<PromptBlock>& prompt = generation->prompt;
    for (std::size_t i = 0; i < prompt.size(); ++i) {
      text += fmt::format(",{:x}", prompt[i].id);
      // The last block belongs to the request or its session.
      if (i + 1 < prompt.size()) {
        content.parts.push_back(prompt[i].id);
      }
    }
    std::sort(content.parts.begin(), content.parts.end());
    content.parts.erase(std::unique(content.parts.begin(), content.parts.end()),
                        content.parts.end());
  }
  content.request = StableHash64(text);
  return content;
}

std::string FormatHashes(const std::vector<std::uint64_t>& hashes) {
  std::string text;
  for (const std::uint64_t hash : hashes) {
    text += fmt::format("{}{:x}", text.empty() ? "" : ",", hash);
  }
  return text;
}

std::string FormatCause(const CrashCause& cause) {
  return cause.request != 0
             ? fmt::format("{}{:x}", kRequestPrefix, cause.request)
             : fmt::format("{}{}", kPartsPrefix, FormatHashes(cause.parts));
}

std::optional<CrashCause> ParseCause(std::string_view text) {
  const bool request = text.substr(0, kRequestPrefix.size()) == kRequestPrefix;
  if (!request && text.substr(0, kPartsPrefix.size()) != kPartsPrefix) {
    return std::nullopt;
  }
  text.remove_prefix(request ? kRequestPrefix.size() : kPartsPrefix.size());
  std::vector<std::uint64_t> hashes;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::uint64_t hash = 0;
    const char* const end = text.data() + comma;
    const auto parsed = std::from_chars(text.data(), end, hash, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end || hash == 0) {
      return std::nullopt;
    }
    hashes.push_back(hash);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  CrashCause cause;
  if (request && hashes.size() == 1) {
    cause.request = hashes.front();
  } else if (!request && !hashes.empty()) {
    cause.parts = std::move(hashes);
    std::sort(cause.parts.begin(), cause.parts.end());
  } else {
    return std::nullopt;
  }
  return cause;
}

CrashQuarantine::CrashQuarantine() : tracker({kCrashReportWindow}) {}

void CrashQuarantine::AnnounceCause(const CrashCause& cause,
                                    const char* source,
                                    TimePoint now) {
  LogEvent(Severity::kWarning, Event::kCrashCauseFound,
           {{"kind", CauseKind(cause)},
            {"request_hash", fmt::format("{:x}", cause.request)},
            {"prompt_parts", FormatHashes(cause.parts)},
            {"crashes", cause.crashes},
            {"findings", cause.findings},
            {"suspected", cause.suspected},
            {"source", source},
            {"quarantine_ms", ToMilliseconds(cause.quarantined_until - now)}});
  this->on_found();
}

void CrashQuarantine::Evaluate(TimePoint now) {
  for (const CrashCause& cause : this->tracker.Evaluate(now)) {
    this->causes_changed_at = now;
    ++this->findings[CauseKind(cause)];
    this->AnnounceCause(cause, "own", now);
  }
}

std::optional<CrashCause> CrashQuarantine::Check(const RequestContent& content,
                                                 TimePoint now) {
  this->Evaluate(now);
  return this->tracker.FindCause(content, now);
}

void CrashQuarantine::CountRefused(const CrashCause& cause) {
  ++this->refused[CauseKind(cause)];
}

void CrashQuarantine::RecordCrash(const std::string& server_key,
                                  const RequestContent& content,
                                  bool begun,
                                  TimePoint now) {
  ++this->lost_requests[begun];
  if (this->tracker.RecordCrash({StableHash32(server_key), content, begun},
                                NewsSource::kOwn, now)) {
    this->on_crash();
  }
}

void CrashQuarantine::SetExchangeInterval(Duration interval) {
  this->news_repeat_time = Scale(interval, kNewsRounds);
  this->tracker.SetGatherTime(Scale(interval, kGatherRounds));
}

void CrashQuarantine::SetRecorded(const std::vector<CrashFinding>& findings,
                                  std::int64_t wall_time_ms,
                                  TimePoint now) {
  this->recorded.clear();
  for (const CrashFinding& finding : findings) {
    std::optional<CrashCause> cause = ParseCause(finding.content);
    if (!cause) {
      LogEvent(Severity::kWarning, Event::kReportRejected,
               {{"source", "crash finding of the control replicas"},
                {"reason", "unknown content: " + finding.content}});
      continue;
    }
    cause->findings = static_cast<int>(
        std::min<std::uint64_t>(finding.findings, kMaxFindings));
    cause->quarantined_until =
        now +
        std::clamp<Duration>(milliseconds(finding.until_ms - wall_time_ms),
                             Duration{0}, kMaxQuarantine);
    this->recorded[finding.content] = cause->quarantined_until;
    if (this->tracker.AddCause(*cause, now)) {
      this->AnnounceCause(*cause, "control replicas", now);
    }
  }
}

std::vector<CrashCause> CrashQuarantine::Unrecorded(TimePoint now) const {
  std::vector<CrashCause> unrecorded;
  for (const CrashCause& cause : this->tracker.Causes(now)) {
    const auto known = this->recorded.find(FormatCause(cause));
    const bool recorded_so_long =
        known != this->recorded.end() &&
        known->second + kMaxClockDifference >= cause.quarantined_until;
    if (!cause.suspected && !recorded_so_long &&
        this->tracker.HasOwnCandidate(cause)) {
      unrecorded.push_back(cause);
    }
  }
  return unrecorded;
}

void CrashQuarantine::FillLoadMessage(LoadMessage& message, TimePoint now) {
  this->Evaluate(now);
  const NewsScope scope =
      message.scope == LoadScope::kGateway ? NewsScope::kOwn : NewsScope::kAll;
  const TimePoint since = now - this->news_repeat_time;
  CrashNews& news = message.crash_news;
  news.candidates = this->tracker.CandidatesSince(since, scope);
  news.cleared = this->tracker.ClearedSince(since, scope);
  KeepNewestCandidates(news.candidates);
  KeepNewest(news.cleared, kMaxCleared);
  TimePoint& sent_at = this->causes_sent_at[message.scope];
  if (this->causes_changed_at < since && now - sent_at < kCauseInterval) {
    return;
  }
  sent_at = now;
  for (const CrashCause& cause : this->tracker.Causes(now)) {
    if (cause.reported) {
      continue;
    }
    news.causes.push_back({cause, cause.quarantined_until - now});
  }
  KeepNewest(news.causes, kMaxCauses);
}

void CrashQuarantine::NoteSender(const LoadMessage& message, TimePoint now) {
  if (message.scope != LoadScope::kGateway) {
    return;
  }
  const auto [sender, is_new] = this->senders.try_emplace(message.sender, now);
  sender->second = now;
  if (!is_new) {
    return;
  }
  this->causes_sent_at.clear();
  for (auto it = this->senders.begin(); it != this->senders.end();) {
    it = now - it->second > kSenderRetention ? this->senders.erase(it)
                                             : std::next(it);
  }
}

void CrashQuarantine::OnPeerLoad(const LoadMessage& message, TimePoint now) {
  this->NoteSender(message, now);
  const CrashNews& news = message.crash_news;
  this->tracker.RecordCleared(news.cleared, now);
  for (const CrashCandidate& candidate : news.candidates) {
    this->tracker.RecordCrash(candidate, NewsSource::kPeer, now);
  }
  for (const SharedCrashCause& shared : news.causes) {
    CrashCause cause = shared.cause;
    cause.quarantined_until = now + shared.time_left;
    if (this->tracker.AddCause(cause, now)) {
      this->causes_changed_at = now;
      this->AnnounceCause(cause, "another gateway", now);
    }
  }
}

void CrashQuarantine::Publish(Metrics& metrics, TimePoint now) const {
  for (const auto& [begun, count] : this->lost_requests) {
    metrics.SetTotal("sycamorebend_gateway_crash_candidates_total",
                     "Requests that were running on a server that crashed, by "
                     "whether their responses had begun.",
                     {{"begun", begun ? "true" : "false"}},
                     static_cast<double>(count));
  }
  for (const auto& [kind, count] : this->findings) {
    metrics.SetTotal("sycamorebend_gateway_crash_causes_found_total",
                     "Causes of crashes found by this gateway, by kind.",
                     {{"kind", kind}}, static_cast<double>(count));
  }
  for (const auto& [kind, count] : this->refused) {
    metrics.SetTotal("sycamorebend_gateway_quarantined_requests_total",
                     "Requests that were refused because such requests crash "
                     "servers, by kind of the cause.",
                     {{"kind", kind}}, static_cast<double>(count));
  }
  metrics.SetGauge("sycamorebend_gateway_crash_causes",
                   "Requests and prompt parts in quarantine.", {},
                   static_cast<double>(this->tracker.Causes(now).size()));
}

}  // namespace sycamorebend::gateway
