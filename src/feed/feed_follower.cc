#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <optional>
#include <thread>
#include <utility>

#include "feed/feed_server.h"
#include "feed/renewals.h"
#include "feed/source_list.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::Renewal;
using internal::RenewalTable;
using internal::SourceList;

// Delay after a failed poll, so that unreachable sources are not polled in a
// busy loop.
constexpr Duration kRetryDelay = milliseconds(50);
// Delay after a response of a source that has no place. Limits both the time
// until the next change arrives and the load on a replica that many daemons
// poll in this way.
constexpr Duration kFullSourceDelay = milliseconds(250);
// A state that was confirmed longer ago counts as unconfirmed.
constexpr Duration kMaxConfirmationAge = std::chrono::hours(24 * 365);
constexpr Duration kLogInterval = seconds(1);
// Renewals older than the lease of entry daemons are not forwarded.
constexpr Duration kMaxRenewalAge = seconds(3);
// Maximum number of entry daemons in a chain of relays, including this one.
// Through a longer chain, renewals would reach the leader after the lease has
// expired.
constexpr Json::ArrayIndex kMaxPathLength = 4;

// A longer time without a response that could be applied is logged when it
// ends. A poll that is held until its wait is over, and one change of the
// source, are shorter.
constexpr Duration kLoggedGap = milliseconds(1500);

// Call to a source that the follower's thread waits for.
struct PollCall {
  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  std::optional<Result<Json::Value>> result;
};

class ThreadFeedFollower : public FeedFollower {
 public:
  ThreadFeedFollower(FeedFollowerOptions options,
                     RpcClient& rpc,
                     const Clock& clock,
                     UpdateCallback on_update)
      : options(std::move(options)),
        rpc(rpc),
        clock(clock),
        on_update(std::move(on_update)),
        sources(this->options),
        server(this->options.max_followers, clock),
        draining(this->options.self.draining) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~ThreadFeedFollower() override { this->Stop(); }

  std::shared_ptr<const SharedState> Current() const override {
    return this->server.Current();
  }

  Duration ConfirmationAge() const override {
    std::lock_guard lock(this->mutex);
    return this->confirmed ? this->clock.Now() - *this->confirmed
                           : Duration::max();
  }

  FeedFollowerStatus GetStatus() const override {
    std::lock_guard lock(this->mutex);
    return this->status;
  }

  void SetDraining() override {
    std::lock_guard lock(this->mutex);
    this->draining = true;
  }

  Result<Json::Value> ServePoll(const Json::Value& params) override {
    BOOST_OUTCOME_TRY(poll, internal::ReadFeedPoll(params, this->clock.Now()));
    {
      std::lock_guard lock(this->mutex);
      for (const Renewal& renewal : poll.renewals) {
        this->renewals.Add(renewal);
      }
    }
    Json::Value path_to_caller;
    {
      std::lock_guard lock(this->mutex);
      path_to_caller = this->path;
    }
    path_to_caller.append(this->options.self.entry_id);
    return this->server.Serve(poll, path_to_caller, [this] {
      std::lock_guard lock(this->mutex);
      return this->confirmed;
    });
  }

  void Stop() override {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
      if (this->call != nullptr) {
        std::lock_guard call_lock(this->call->mutex);
        this->call->stopped = true;
        this->call->changed.notify_all();
      }
    }
    this->wake.notify_all();
    this->server.Stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  void Run() {
    std::string source = this->sources.Next(nullptr);
    while (!this->Stopping()) {
      std::string reason;
      const FeedPollOutcome outcome = this->Poll(source, reason);
      this->CountPoll(outcome);
      if (outcome == FeedPollOutcome::kApplied) {
        continue;
      }
      const std::string next = this->ChooseNext(source);
      this->LogChange(source, next, reason);
      source = next;
      this->WaitBeforeRetry(outcome == FeedPollOutcome::kRedirected
                                ? kFullSourceDelay
                                : kRetryDelay);
    }
  }

  // @return the source to try after `source`, which did not admit this daemon.
  std::string ChooseNext(const std::string& source) {
    // The search for a place must not hold up changes.
    const bool late =
        this->last_news.has_value() &&
        this->clock.Now() - *this->last_news >= this->options.poll_wait;
    if (late && !this->full_source.empty() && source != this->full_source) {
      return this->full_source;
    }
    return this->sources.Next(this->server.Current());
  }

  // Logs that another source is tried, at most once in kLogInterval.
  void LogChange(const std::string& from,
                 const std::string& to,
                 const std::string& reason) {
    ++this->changes_not_logged;
    const TimePoint now = this->clock.Now();
    if (from == to || now < this->next_log || this->Stopping()) {
      return;
    }
    this->next_log = now + kLogInterval;
    LogEvent(Severity::kInfo, Event::kFeedUpstreamChanged,
             {{"from", from},
              {"to", to},
              {"reason", reason},
              {"changes", std::exchange(this->changes_not_logged, 0)}});
  }

  bool Stopping() const {
    std::lock_guard lock(this->mutex);
    return this->stopping;
  }

  void WaitBeforeRetry(Duration delay) {
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, delay, [this] { return this->stopping; });
  }

  // Polls `source` once and applies its response.
  // @param reason set if another source must be tried.
  FeedPollOutcome Poll(const std::string& source, std::string& reason) {
    bool full = false;
    const Status polled = source.empty()
                              ? MakeError(ResultCode::kConnectFailed,
                                          "no source of the feed is known")
                              : this->SendPoll(source, full);
    if (polled && !full) {
      this->followed = source;
      this->full_source.clear();
      return FeedPollOutcome::kApplied;
    }
    this->followed.clear();
    if (!polled && source == this->full_source) {
      this->full_source.clear();
    }
    reason = polled ? "the source has its maximum number of followers"
                    : polled.error().message;
    return polled ? FeedPollOutcome::kRedirected : FeedPollOutcome::kFailed;
  }

  void CountPoll(FeedPollOutcome outcome) {
    std::lock_guard lock(this->mutex);
    ++this->status.polls[static_cast<std::size_t>(outcome)];
    this->failed_in_gap += outcome == FeedPollOutcome::kFailed ? 1 : 0;
  }

  // Logs the end of a time without news.
  void RecordNews(const std::string& source) {
    const TimePoint now = this->clock.Now();
    Duration gap{0};
    std::uint64_t failed_polls = 0;
    {
      std::lock_guard lock(this->mutex);
      gap = now - this->last_news.value_or(now);
      this->last_news = now;
      failed_polls = std::exchange(this->failed_in_gap, 0);
      this->status.source = source;
      this->status.longest_gap = std::max(this->status.longest_gap, gap);
    }
    if (gap >= kLoggedGap) {
      LogEvent(Severity::kWarning, Event::kFeedResumed,
               {{"source", source},
                {"gap_ms", ToMilliseconds(gap)},
                {"failed_polls", failed_polls}});
    }
  }

  // @param full set if the source has no place for this daemon.
  Status SendPoll(const std::string& source, bool& full) {
    const std::shared_ptr<const SharedState> base = this->server.Current();
    const TimePoint sent = this->clock.Now();
    const bool snapshot = base == nullptr || this->needs_snapshot;
    // A source that did not respond to the last poll is asked without a wait,
    // so that it is known soon whether it is silent.
    const Duration wait =
        source == this->followed ? this->options.poll_wait : Duration(0);
    const Duration timeout = (snapshot ? this->options.poll_wait : wait) +
                             this->options.poll_timeout_margin;
    BOOST_OUTCOME_TRY(
        response,
        this->Call(source, this->Params(snapshot ? nullptr : base, wait, sent),
                   timeout));
    if (!response.isObject()) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed response is not an object");
    }
    full = response["busy"] == Json::Value(true);
    if (full) {
      this->sources.AddRedirects(response["relays"]);
      if (!response.isMember("epoch")) {
        // A source of an earlier release sends no changes then.
        return Success();
      }
      this->full_source = source;
    }
    BOOST_OUTCOME_TRYV(this->ApplyResponse(response, base, sent));
    this->RecordNews(source);
    return Success();
  }

  // @param base state that the response may refer to, or nullptr.
  Json::Value Params(const std::shared_ptr<const SharedState>& base,
                     Duration wait,
                     TimePoint now) {
    std::lock_guard lock(this->mutex);
    this->renewals.DropBefore(now - kMaxRenewalAge);
    Renewal own{this->options.self, now};
    own.entry.draining = this->draining;
    Json::Value params = internal::RenewalToJson(own, now);
    params["have_epoch"] = base != nullptr ? base->epoch : std::string();
    params["have_version"] = Json::UInt64(base != nullptr ? base->version : 0);
    params["wait_ms"] = Json::Int64(ToMilliseconds(wait));
    params["relayed_renewals"] = this->renewals.ToJson(now);
    return params;
  }

  Result<Json::Value> Call(const std::string& source,
                           const Json::Value& params,
                           Duration timeout) {
    auto started = std::make_shared<PollCall>();
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return MakeError(ResultCode::kCancelled);
      }
      this->call = started;
    }
    this->rpc.CallAsync(source, std::string(kFeedPollMethod), params, timeout,
                        [started](Result<Json::Value> result) {
                          std::lock_guard lock(started->mutex);
                          started->result.emplace(std::move(result));
                          started->changed.notify_all();
                        });
    std::unique_lock lock(started->mutex);
    started->changed.wait(
        lock, [&] { return started->stopped || started->result.has_value(); });
    if (!started->result) {
      return MakeError(ResultCode::kCancelled);
    }
    return std::move(*started->result);
  }

  Status ApplyResponse(const Json::Value& response,
                       const std::shared_ptr<const SharedState>& base,
                       TimePoint sent) {
    BOOST_OUTCOME_TRY(this->CheckOrigin(response, base));
    Result<std::shared_ptr<const SharedState>> read =
        internal::ReadFeedResponse(response, base);
    // Changes of a record that is missing here cannot be applied.
    this->needs_snapshot = !read;
    BOOST_OUTCOME_TRY(state, std::move(read));
    const Json::Int64 age_ms = response["confirmed_age_ms"].asInt64();
    const bool was_confirmed =
        age_ms >= 0 && age_ms <= ToMilliseconds(kMaxConfirmationAge);
    {
      std::lock_guard lock(this->mutex);
      this->path = response["path"];
    }
    if (state != base) {
      LogUnreadable(*state, base);
      this->server.Publish(state);
    }
    if (was_confirmed) {
      // Measured from when the poll was sent, so that the age includes the time
      // in transit and in the source's queue.
      const TimePoint at = sent - milliseconds(age_ms);
      std::lock_guard lock(this->mutex);
      this->confirmed = std::max(this->confirmed.value_or(at), at);
    }
    if (state != base && this->on_update) {
      this->on_update(state);
    }
    if (!was_confirmed ||
        milliseconds(age_ms) > this->options.max_source_confirmation_age) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "the source's state was not confirmed recently");
    }
    return Success();
  }

  // Rejects responses from another deployment, from a source that follows this
  // daemon or is too many relays away from the control replicas, and with a
  // version lower than that of `base`.
  Status CheckOrigin(const Json::Value& response,
                     const std::shared_ptr<const SharedState>& base) const {
    const Json::Value& version = response["version"];
    const Json::Value& path_to_source = response["path"];
    const bool well_formed =
        response["epoch"].isString() && version.isUInt64() &&
        response["confirmed_age_ms"].isInt64() && path_to_source.isArray();
    if (!well_formed) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed response lacks a valid epoch, version, "
                       "confirmed_age_ms or path");
    }
    if (base != nullptr && response["epoch"] != base->epoch) {
      return MakeError(ResultCode::kProtocolError,
                       "the source belongs to another deployment");
    }
    if (base != nullptr && version.asUInt64() < base->version) {
      return MakeError(
          ResultCode::kConfigurationUnconfirmed,
          fmt::format("the source has version {}, below version {}",
                      version.asUInt64(), base->version));
    }
    const Json::Value self(this->options.self.entry_id);
    if (path_to_source.size() >= kMaxPathLength ||
        std::find(path_to_source.begin(), path_to_source.end(), self) !=
            path_to_source.end()) {
      return MakeError(ResultCode::kProtocolError,
                       "the source follows this daemon or is too many relays "
                       "away from the control replicas");
    }
    return Success();
  }

  // Logs each record that cannot be read once.
  static void LogUnreadable(const SharedState& state,
                            const std::shared_ptr<const SharedState>& base) {
    for (const auto& [record, reason] : state.unreadable) {
      if (base == nullptr || base->unreadable.count(record) == 0) {
        LogEvent(Severity::kWarning, Event::kReportRejected,
                 {{"source", "shared state"},
                  {"record", record},
                  {"reason", reason}});
      }
    }
  }

  const FeedFollowerOptions options;
  RpcClient& rpc;
  const Clock& clock;
  const UpdateCallback on_update;
  // Used only by the follower's thread.
  SourceList sources;
  // The last response could not be applied to the current state.
  bool needs_snapshot = false;
  // Source that has a place for this daemon and responded to the last poll;
  // empty while one is searched.
  std::string followed;
  // Source that responds but has no place; empty if none is known.
  std::string full_source;
  // Changes of the source since the last one that was logged.
  std::uint64_t changes_not_logged = 0;
  TimePoint next_log;
  internal::FeedServer server;
  mutable std::mutex mutex;
  std::condition_variable wake;
  RenewalTable renewals;
  bool draining;
  bool stopping = false;
  std::shared_ptr<PollCall> call;
  // A quorum confirmed the current state at this time or later.
  std::optional<TimePoint> confirmed;
  FeedFollowerStatus status;
  // Time of the last response that was applied. Changed by the follower's
  // thread only.
  std::optional<TimePoint> last_news;
  // Failed polls since `last_news`.
  std::uint64_t failed_in_gap = 0;
  // Entry daemons between the control replicas and this one.
  Json::Value path = Json::Value(Json::arrayValue);
  std::thread thread;
};

}  // namespace

std::string_view FeedPollOutcomeName(FeedPollOutcome outcome) {
  static constexpr std::array<std::string_view, kFeedPollOutcomes> kNames = {
      "applied", "redirected", "failed"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

std::unique_ptr<FeedFollower> FeedFollower::Start(FeedFollowerOptions options,
                                                  RpcClient& rpc,
                                                  const Clock& clock,
                                                  UpdateCallback on_update) {
  return std::make_unique<ThreadFeedFollower>(std::move(options), rpc, clock,
                                              std::move(on_update));
}

}  // namespace sycamorebend
