#include <fmt/format.h>

#include <algorithm>
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

// Pause after a failed poll, so that a set of unreachable sources is not
// called in a busy loop.
constexpr Duration kFailurePause = milliseconds(50);
// Renewals older than the lease of entry daemons are of no use.
constexpr Duration kRenewalAge = seconds(3);
// A longer chain of relays would use up the lease on the way to the leader.
constexpr Json::ArrayIndex kMaxPath = 4;

// One call that the follower's thread waits for.
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
        return this->followers.Referral();
      }
    }
    if (!this->buffer.Wait(poll.have_epoch, poll.have_version, poll.wait)) {
      return MakeError(ResultCode::kShuttingDown,
                       "this entry daemon is stopping");
    }
    return this->Answer(poll);
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
  Result<Json::Value> Answer(const FeedPoll& poll) const {
    Json::Value answer;
    std::optional<TimePoint> confirmed_at;
    {
      // Read before the state, which can only get newer.
      std::lock_guard lock(this->mutex);
      confirmed_at = this->confirmed;
      answer["path"] = this->path;
    }
    answer["path"].append(this->options.self.entry_id);
    if (!this->buffer.Fill(poll.have_epoch, poll.have_version, answer)) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "this entry daemon has no shared state yet");
    }
    answer["confirmed_age_ms"] = Json::Int64(
        confirmed_at ? ToMilliseconds(this->clock.Now() - *confirmed_at) + 1
                     : -1);
    return answer;
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
      this->Pause();
    }
  }

  bool Stopping() const {
    std::lock_guard lock(this->mutex);
    return this->stopping;
  }

  void Pause() {
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, kFailurePause, [this] { return this->stopping; });
  }

  // @return an error if another source must be tried.
  Status Poll(const std::string& source) {
    const std::shared_ptr<const SharedState> have = this->buffer.Current();
    const TimePoint sent = this->clock.Now();
    BOOST_OUTCOME_TRY(answer, this->Call(source, this->Params(have, sent)));
    if (!answer.isObject()) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed's answer is not an object");
    }
    if (answer["busy"] == Json::Value(true)) {
      this->sources.Refer(answer["relays"]);
      return MakeError(ResultCode::kQueueFull,
                       "the source serves as many daemons as it may");
    }
    return this->Accept(answer, have, sent);
  }

  Json::Value Params(const std::shared_ptr<const SharedState>& have,
                     TimePoint now) {
    std::lock_guard lock(this->mutex);
    this->renewals.DropBefore(now - kRenewalAge);
    Renewal own{this->options.self, now};
    own.entry.draining = this->draining;
    Json::Value params = internal::RenewalToJson(own, now);
    params["have_epoch"] = have ? have->epoch : std::string();
    params["have_version"] = Json::UInt64(have ? have->version : 0);
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
    this->rpc.CallAsync(source, std::string(kFeedPollMethod), params,
                        this->options.poll_wait + this->options.poll_grace,
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

  Status Accept(const Json::Value& answer,
                const std::shared_ptr<const SharedState>& have,
                TimePoint sent) {
    BOOST_OUTCOME_TRY(this->CheckOrigin(answer, have));
    BOOST_OUTCOME_TRY(state, internal::ReadFeedAnswer(answer, have));
    const Json::Int64 age_ms = answer["confirmed_age_ms"].asInt64();
    {
      std::lock_guard lock(this->mutex);
      this->path = answer["path"];
    }
    if (state != have) {
      this->buffer.Publish(state);
    }
    if (age_ms >= 0) {
      // Counted from the moment when the poll was sent: the time on the way
      // and in the source's queue is part of the age.
      const TimePoint at = sent - milliseconds(age_ms);
      std::lock_guard lock(this->mutex);
      this->confirmed = std::max(this->confirmed.value_or(at), at);
    }
    if (state != have && this->on_update) {
      this->on_update(state);
    }
    if (age_ms < 0 || milliseconds(age_ms) > this->options.max_source_age) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "the source's own state is not confirmed");
    }
    return Success();
  }

  // Refuses answers from another deployment, from below this daemon in the
  // tree, and versions lower than this daemon's.
  Status CheckOrigin(const Json::Value& answer,
                     const std::shared_ptr<const SharedState>& have) const {
    const Json::Value& version = answer["version"];
    const Json::Value& origin = answer["path"];
    const bool well_formed = answer["epoch"].isString() && version.isUInt64() &&
                             answer["confirmed_age_ms"].isInt64() &&
                             origin.isArray();
    if (!well_formed) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed's answer lacks epoch, version, "
                       "confirmed_age_ms or path");
    }
    if (have != nullptr && answer["epoch"] != have->epoch) {
      return MakeError(ResultCode::kProtocolError,
                       "the source belongs to another deployment");
    }
    if (have != nullptr && version.asUInt64() < have->version) {
      return MakeError(
          ResultCode::kConfigurationUnconfirmed,
          fmt::format("the source has version {}, below version {}",
                      version.asUInt64(), have->version));
    }
    const Json::Value self(this->options.self.entry_id);
    if (origin.size() >= kMaxPath ||
        std::find(origin.begin(), origin.end(), self) != origin.end()) {
      return MakeError(ResultCode::kProtocolError,
                       "the source follows this daemon or is too far from the "
                       "control replicas");
    }
    return Success();
  }

  const FeedFollowerOptions options;
  RpcClient& rpc;
  const Clock& clock;
  const UpdateCallback on_update;
  SourceList sources;  // Used by the thread only.
  FeedBuffer buffer;
  mutable std::mutex mutex;
  std::condition_variable wake;
  RenewalTable renewals;
  FollowerTable followers;
  bool draining;
  bool stopping = false;
  std::shared_ptr<PollCall> call;
  // When a quorum confirmed the current state, at the latest.
  std::optional<TimePoint> confirmed;
  // Entry daemons between the control replicas and this one.
  Json::Value path = Json::Value(Json::arrayValue);
  std::thread thread;
};

}  // namespace

std::unique_ptr<FeedFollower> FeedFollower::Start(FeedFollowerOptions options,
                                                  RpcClient& rpc,
                                                  const Clock& clock,
                                                  UpdateCallback on_update) {
  return std::make_unique<ThreadFeedFollower>(std::move(options), rpc, clock,
                                              std::move(on_update));
}

}  // namespace sycamorebend
