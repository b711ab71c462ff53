#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <optional>
#include <thread>
#include <utility>

#include "feed/feed_buffer.h"
#include "feed/renewals.h"
#include "feed/source_list.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::FeedBuffer;
using internal::FeedPoll;
using internal::FollowerTable;
using internal::Renewal;
using internal::RenewalTable;
using internal::SourceList;

// Delay after a failed poll, so that unreachable sources are not polled in a
// busy loop.
constexpr Duration kRetryDelay = milliseconds(50);
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
        followers(this->options.max_followers),
        draining(this->options.self.draining) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~ThreadFeedFollower() override { this->Stop(); }

  std::shared_ptr<const SharedState> Current() const override {
    return this->buffer.Current();
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
      if (!this->followers.Admit(poll, this->clock.Now())) {
        return this->followers.MakeRedirect();
      }
    }
    if (!this->buffer.Wait(poll.have_epoch, poll.have_version, poll.wait)) {
      return MakeError(ResultCode::kShuttingDown,
                       "this entry daemon is stopping");
    }
    return this->MakeResponse(poll);
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
    this->buffer.Stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  Result<Json::Value> MakeResponse(const FeedPoll& poll) const {
    Json::Value response;
    std::optional<TimePoint> confirmed_at;
    {
      // Read before the state, which can only become newer in between.
      std::lock_guard lock(this->mutex);
      confirmed_at = this->confirmed;
      response["path"] = this->path;
    }
    response["path"].append(this->options.self.entry_id);
    if (!this->buffer.WriteUpdate(poll.have_epoch, poll.have_version,
                                  response)) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "this entry daemon has no shared state yet");
    }
    response["confirmed_age_ms"] = Json::Int64(
        confirmed_at ? ToMilliseconds(this->clock.Now() - *confirmed_at) + 1
                     : -1);
    return response;
  }

  void Run() {
    std::string source = this->sources.Next(nullptr);
    while (!this->Stopping()) {
      const Status polled = source.empty()
                                ? MakeError(ResultCode::kConnectFailed)
                                : this->Poll(source);
      if (polled) {
        continue;
      }
      const std::string failed = source;
      source = this->sources.Next(this->buffer.Current());
      if (source != failed && !this->Stopping()) {
        LogEvent(Severity::kInfo, Event::kFeedUpstreamChanged,
                 {{"from", failed},
                  {"to", source},
                  {"reason", polled.error().message}});
      }
      this->WaitBeforeRetry();
    }
  }

  bool Stopping() const {
    std::lock_guard lock(this->mutex);
    return this->stopping;
  }

  void WaitBeforeRetry() {
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, kRetryDelay, [this] { return this->stopping; });
  }

  // Polls `source` once and applies its response.
  // @return an error if another source must be tried.
  Status Poll(const std::string& source) {
    bool redirected = false;
    const Status polled = this->SendPoll(source, redirected);
    const FeedPollOutcome outcome = redirected ? FeedPollOutcome::kRedirected
                                    : polled   ? FeedPollOutcome::kApplied
                                               : FeedPollOutcome::kFailed;
    this->RecordOutcome(source, outcome);
    return polled;
  }

  // Counts the poll, and logs the end of a time without news.
  void RecordOutcome(const std::string& source, FeedPollOutcome outcome) {
    const TimePoint now = this->clock.Now();
    Duration gap{0};
    std::uint64_t failed_polls = 0;
    {
      std::lock_guard lock(this->mutex);
      ++this->status.polls[static_cast<std::size_t>(outcome)];
      if (outcome != FeedPollOutcome::kApplied) {
        ++this->failed_in_gap;
        return;
      }
      gap = now - this->last_applied.value_or(now);
      failed_polls = std::exchange(this->failed_in_gap, 0);
      this->last_applied = now;
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

  Status SendPoll(const std::string& source, bool& redirected) {
    const std::shared_ptr<const SharedState> base = this->buffer.Current();
    const TimePoint sent = this->clock.Now();
    BOOST_OUTCOME_TRY(response, this->Call(source, this->Params(base, sent)));
    if (!response.isObject()) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed response is not an object");
    }
    if (response["busy"] == Json::Value(true)) {
      redirected = true;
      this->sources.AddRedirects(response["relays"]);
      return MakeError(ResultCode::kQueueFull,
                       "the source has its maximum number of followers");
    }
    return this->ApplyResponse(response, base, sent);
  }

  Json::Value Params(const std::shared_ptr<const SharedState>& base,
                     TimePoint now) {
    std::lock_guard lock(this->mutex);
    this->renewals.DropBefore(now - kMaxRenewalAge);
    Renewal own{this->options.self, now};
    own.entry.draining = this->draining;
    Json::Value params = internal::RenewalToJson(own, now);
    const bool use_base = base != nullptr && !this->needs_snapshot;
    params["have_epoch"] = use_base ? base->epoch : std::string();
    params["have_version"] = Json::UInt64(use_base ? base->version : 0);
    params["wait_ms"] = Json::Int64(ToMilliseconds(this->options.poll_wait));
    params["relayed_renewals"] = this->renewals.ToJson(now);
    return params;
  }

  Result<Json::Value> Call(const std::string& source,
                           const Json::Value& params) {
    auto started = std::make_shared<PollCall>();
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return MakeError(ResultCode::kCancelled);
      }
      this->call = started;
    }
    this->rpc.CallAsync(
        source, std::string(kFeedPollMethod), params,
        this->options.poll_wait + this->options.poll_timeout_margin,
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
    {
      std::lock_guard lock(this->mutex);
      this->path = response["path"];
    }
    if (state != base) {
      LogUnreadable(*state, base);
      this->buffer.Publish(state);
    }
    if (age_ms >= 0) {
      // Measured from when the poll was sent, so that the age includes the time
      // in transit and in the source's queue.
      const TimePoint at = sent - milliseconds(age_ms);
      std::lock_guard lock(this->mutex);
      this->confirmed = std::max(this->confirmed.value_or(at), at);
    }
    if (state != base && this->on_update) {
      this->on_update(state);
    }
    if (age_ms < 0 ||
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
  FeedBuffer buffer;
  mutable std::mutex mutex;
  std::condition_variable wake;
  RenewalTable renewals;
  FollowerTable followers;
  bool draining;
  bool stopping = false;
  std::shared_ptr<PollCall> call;
  // A quorum confirmed the current state at this time or later.
  std::optional<TimePoint> confirmed;
  FeedFollowerStatus status;
  std::optional<TimePoint> last_applied;
  // Polls without an applied response since `last_applied`.
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
