#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

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
using SteadyClock = std::chrono::steady_clock;

// Delay after a response of a source that has no place. Limits both the time
// until the next change arrives and the load on a replica that many daemons
// poll in this way.
constexpr Duration kFullSourceDelay = milliseconds(250);
// A state that was confirmed longer ago counts as unconfirmed.
constexpr Duration kMaxConfirmationAge = std::chrono::hours(24 * 365);
constexpr Duration kLogInterval = seconds(1);
// Share of a new measurement in the smoothed delay of responses: one of four.
constexpr int kDelaySmoothingDivisor = 4;
// Responses without a better confirmed state after which a search beside a
// source in use ends: those of a majority that is not cut off come before. All
// daemons search while there is no leader.
constexpr int kMaxUnconfirmedResponses = 2;
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
// Sources that one line about silent sources names.
constexpr std::size_t kMaxLoggedSources = 16;

// A poll whose response is awaited.
struct OpenPoll {
  std::uint64_t id = 0;
  std::string source;
  // State that the response may refer to, or nullptr.
  std::shared_ptr<const SharedState> base;
  TimePoint sent;
  // The response is due when the wait of the poll is over, or before.
  SteadyClock::time_point due;
};

// Responses that the follower's thread has not handled yet. Calls can outlive
// the follower.
class ResponseQueue {
 public:
  struct Item {
    std::uint64_t poll_id = 0;
    Result<Json::Value> response;
  };

  void Add(std::uint64_t poll_id, Result<Json::Value> response) {
    {
      std::lock_guard lock(this->mutex);
      if (this->stopped) {
        return;
      }
      this->items.push_back({poll_id, std::move(response)});
    }
    this->changed.notify_all();
  }

  // Waits until there is a response, Wake or Stop was called or `end` is
  // reached.
  // @return the oldest response; empty if there is none.
  std::optional<Item> Take(SteadyClock::time_point end) {
    std::unique_lock lock(this->mutex);
    this->changed.wait_until(lock, end, [this] {
      return this->stopped || this->woken || !this->items.empty();
    });
    this->woken = false;
    if (this->stopped || this->items.empty()) {
      return std::nullopt;
    }
    std::optional<Item> item(std::move(this->items.front()));
    this->items.pop_front();
    return item;
  }

  // Ends the wait of Take.
  void Wake() {
    {
      std::lock_guard lock(this->mutex);
      this->woken = true;
    }
    this->changed.notify_all();
  }

  bool Stopped() const {
    std::lock_guard lock(this->mutex);
    return this->stopped;
  }

  // Responses that come later are dropped.
  void Stop() {
    {
      std::lock_guard lock(this->mutex);
      this->stopped = true;
      this->items.clear();
    }
    this->changed.notify_all();
  }

 private:
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  bool woken = false;
  std::deque<Item> items;
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

  void SetReplicas(std::vector<std::string> replicas) override {
    {
      std::lock_guard lock(this->mutex);
      this->new_replicas = std::move(replicas);
    }
    this->responses->Wake();
  }

  bool OnReplicaNotice(const ReplicaNotice& notice) override {
    const std::shared_ptr<const SharedState> state = this->server.Current();
    const bool of_use =
        state == nullptr
            ? notice.entry_id == this->options.self.entry_id
            : notice.epoch == state->epoch && notice.version > state->version;
    if (!of_use) {
      return false;
    }
    {
      std::lock_guard lock(this->mutex);
      if (this->new_notice && this->new_notice->version > notice.version) {
        return false;
      }
      this->new_notice = notice;
    }
    this->responses->Wake();
    return true;
  }

  Result<HttpBody> ServeEncodedPoll(const Json::Value& params) override {
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
    return this->server.Serve(poll, path_to_caller, Json::Value(), [this] {
      std::lock_guard lock(this->mutex);
      return this->confirmed;
    });
  }

  void Stop() override {
    this->responses->Stop();
    this->server.Stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  // What is known of the source of a response.
  struct SourceReport {
    // The source has no place for this daemon.
    bool full = false;
    // The source is a control replica.
    bool is_replica = false;
    Duration confirmation_age = Duration::max();
  };

  void Run() {
    this->StartSearch({}, "this daemon starts", Duration(0));
    while (!this->responses->Stopped()) {
      this->TakeNewSources();
      this->SendDuePolls();
      const SteadyClock::time_point next =
          this->searching ? this->next_search_poll : this->late_at;
      if (std::optional<ResponseQueue::Item> item =
              this->responses->Take(next)) {
        this->HandleResponse(*item);
      }
    }
  }

  // Takes over what SetReplicas and OnReplicaNotice were called with.
  void TakeNewSources() {
    std::optional<std::vector<std::string>> replicas;
    std::optional<ReplicaNotice> notice;
    {
      std::lock_guard lock(this->mutex);
      replicas = std::exchange(this->new_replicas, std::nullopt);
      notice = std::exchange(this->new_notice, std::nullopt);
    }
    if (replicas) {
      this->sources.SetReplicas(std::move(*replicas));
    }
    if (!notice) {
      return;
    }
    const bool repeated =
        this->noticed_version && this->noticed_replicas == notice->replicas;
    this->noticed_version = notice->version;
    if (repeated) {
      return;
    }
    this->noticed_replicas = notice->replicas;
    this->sources.SetNoticed(notice->replicas);
    if (this->searching) {
      LogEvent(
          Severity::kInfo, Event::kReplicaNoticeUsed,
          {{"replicas", fmt::format("{}", fmt::join(notice->replicas, ","))},
           {"state_version", notice->version}});
      this->next_search_poll = SteadyClock::now();
    }
  }

  // @return true if no state is known that is as new as the newest notice.
  bool NoticeIsOpen(const std::shared_ptr<const SharedState>& state) const {
    return this->noticed_version &&
           (state == nullptr || state->version < *this->noticed_version);
  }

  // Polls the source in use unless a poll of it is open, and the next source of
  // a search when that is due.
  void SendDuePolls() {
    const SteadyClock::time_point now = SteadyClock::now();
    if (!this->followed.empty() && !this->IsOpen(this->followed)) {
      this->SendPoll(this->followed, this->options.poll_wait);
      this->late_at = now + this->options.poll_wait + this->LateMargin();
    }
    if (!this->searching && now >= this->late_at) {
      this->StartSearch(this->followed, "the source has not responded in time",
                        Duration(0));
    }
    if (this->searching && now >= this->next_search_poll) {
      this->SendSearchPoll();
    }
  }

  // Searches another source than `last`.
  void StartSearch(const std::string& last,
                   std::string reason,
                   Duration delay) {
    this->searching = true;
    this->next_search_poll = SteadyClock::now() + delay;
    this->search_rounds = 0;
    this->unconfirmed_responses = 0;
    this->left_reason = std::move(reason);
    this->next_log = this->clock.Now() + kLogInterval;
    this->sources.Restart(this->server.Current(), last);
    this->known_sources = static_cast<int>(this->sources.Remaining());
  }

  // Ends a search, as `followed` responds. Other responses are not awaited any
  // more.
  void EndSearch() {
    this->searching = false;
    this->full_source.clear();
    for (const OpenPoll& poll : this->open_polls) {
      if (poll.source != this->followed) {
        this->CountPoll(FeedPollOutcome::kAbandoned);
      }
    }
    this->open_polls.erase(
        std::remove_if(this->open_polls.begin(), this->open_polls.end(),
                       [this](const OpenPoll& poll) {
                         return poll.source != this->followed;
                       }),
        this->open_polls.end());
  }

  void SendSearchPoll() {
    const SteadyClock::time_point now = SteadyClock::now();
    this->LogSilence();
    if (!this->IsLate() && !this->followed.empty() &&
        this->sources.RoundDone()) {
      // The source in use responds, and none is better: all were asked.
      this->searching = false;
      return;
    }
    this->search_rounds += this->sources.RoundDone() ? 1 : 0;
    std::string source;
    if (!this->full_source.empty() && !this->IsOpen(this->full_source) &&
        now >= this->next_full_source_poll) {
      // The search for a place must not hold up changes.
      source = std::exchange(this->full_source, std::string());
    } else {
      source = this->NextSource();
    }
    this->next_search_poll = now + this->SearchInterval();
    if (!source.empty()) {
      this->LogSearch(source);
      // Without a wait, so that it is known soon whether the source responds.
      this->SendPoll(source, Duration(0));
    }
  }

  Duration SearchInterval() const {
    if (!this->full_source.empty()) {
      return kFullSourceDelay;
    }
    const Duration spread =
        (this->NeedsSnapshot() ? this->options.snapshot_search_time
                               : this->options.search_time) /
        std::max(this->known_sources - 1, 1);
    Duration interval =
        std::max(std::min(spread, this->options.poll_timeout_margin),
                 this->options.min_search_interval);
    // When all sources respond late, further polls must not add to their load.
    interval = std::max(interval, this->response_delay);
    for (int round = 0; round < this->search_rounds &&
                        interval < this->options.poll_timeout_margin;
         ++round) {
      interval *= 2;
    }
    return interval;
  }

  // @return the time after the wait of a poll from which the source in use is
  // late. A slow source is not taken for a silent one.
  Duration LateMargin() const {
    return std::clamp(this->response_delay * 2,
                      this->options.late_response_margin,
                      std::max(this->options.late_response_margin,
                               this->options.poll_timeout_margin));
  }

  // Records how late a source responded, at most the limit of a poll.
  void MeasureDelay(const OpenPoll& poll) {
    const SteadyClock::time_point now = SteadyClock::now();
    if (now < poll.due) {
      return;
    }
    const Duration delay =
        std::min(std::chrono::duration_cast<Duration>(now - poll.due),
                 this->options.poll_timeout_margin);
    this->response_delay +=
        (delay - this->response_delay) / kDelaySmoothingDivisor;
  }

  // @return the next source without an open poll; empty if there is none.
  std::string NextSource() {
    std::string first_skipped;
    for (;;) {
      std::string source = this->sources.Next(this->server.Current());
      if (source.empty() || source == first_skipped) {
        return {};
      }
      if (!this->IsOpen(source)) {
        return source;
      }
      if (first_skipped.empty()) {
        first_skipped = std::move(source);
      }
    }
  }

  bool IsOpen(const std::string& source) const {
    return std::any_of(
        this->open_polls.begin(), this->open_polls.end(),
        [&](const OpenPoll& poll) { return poll.source == source; });
  }

  // @return true if the source in use has not responded in time.
  bool IsLate() const {
    return !this->followed.empty() && SteadyClock::now() >= this->late_at;
  }

  bool NeedsSnapshot() const {
    return this->needs_snapshot || this->server.Current() == nullptr;
  }

  // Logs that a search goes on, at most once in kLogInterval.
  void LogSearch(const std::string& source) {
    ++this->search_polls;
    const TimePoint now = this->clock.Now();
    if (now >= this->next_log) {
      this->next_log = now + kLogInterval;
      this->LogChange(source);
    }
  }

  // Logs that no response could be applied for a while, and with what result
  // each source was tried, at most once in kLogInterval.
  void LogSilence() {
    const TimePoint now = this->clock.Now();
    if (!this->last_news || now - *this->last_news < kLoggedGap ||
        now < this->next_silence_log) {
      return;
    }
    this->next_silence_log = now + kLogInterval;
    std::vector<std::string> tried;
    tried.reserve(this->last_failures.size());
    for (const auto& [source, reason] : this->last_failures) {
      tried.push_back(fmt::format("{} ({})", source, reason));
    }
    const std::shared_ptr<const SharedState> state = this->server.Current();
    LogEvent(Severity::kWarning, Event::kFeedSilent,
             {{"gap_ms", ToMilliseconds(now - *this->last_news)},
              {"state_version", state == nullptr ? 0 : state->version},
              {"configuration_version",
               state == nullptr ? 0 : state->configuration_version},
              {"confirmed_age_ms", AgeMilliseconds(this->ConfirmationAge())},
              {"tried", fmt::format("{}", fmt::join(tried, ", "))}});
  }

  // @return the age in milliseconds; -1 if there was no confirmation.
  static std::int64_t AgeMilliseconds(Duration age) {
    return age == Duration::max() ? -1 : ToMilliseconds(age);
  }

  void LogChange(const std::string& to) {
    LogEvent(Severity::kInfo, Event::kFeedUpstreamChanged,
             {{"from", this->used_source},
              {"to", to},
              {"reason", this->left_reason},
              {"changes", std::exchange(this->search_polls, 0)}});
  }

  void UseSource(const std::string& source) {
    this->followed = source;
    // The first source of all needs no line.
    if (source != this->used_source &&
        (!this->used_source.empty() || this->search_polls > 1)) {
      this->LogChange(source);
    }
    this->used_source = source;
    this->EndSearch();
  }

  void HandleResponse(ResponseQueue::Item& item) {
    const auto open = std::find_if(
        this->open_polls.begin(), this->open_polls.end(),
        [&](const OpenPoll& poll) { return poll.id == item.poll_id; });
    if (open == this->open_polls.end()) {
      return;
    }
    const OpenPoll poll = std::move(*open);
    this->open_polls.erase(open);
    if (item.response) {
      if (this->options.reporter != nullptr) {
        internal::PassReceipt(*this->options.reporter, item.response.value());
      }
      this->MeasureDelay(poll);
    }
    SourceReport report;
    const Status applied = this->Apply(poll, item.response, report);
    if (!applied && (this->last_failures.size() < kMaxLoggedSources ||
                     this->last_failures.count(poll.source) > 0)) {
      this->last_failures[poll.source] = applied.error().message;
    }
    if (!applied || report.full) {
      this->CountPoll(applied ? FeedPollOutcome::kRedirected
                              : FeedPollOutcome::kFailed);
      const Error error =
          applied ? Error{ResultCode::kQueueFull,
                          "the source has its maximum number of followers"}
                  : applied.error();
      this->HandleUnusable(poll.source, error, report.full);
      if (report.full) {
        this->sources.AddRedirects(item.response.value()["relays"]);
      }
      return;
    }
    this->CountPoll(FeedPollOutcome::kApplied);
    const bool recent =
        report.confirmation_age <= this->options.recent_confirmation_age;
    if (poll.source == this->followed) {
      if (recent || !report.is_replica) {
        this->EndSearch();
      } else if (!this->searching) {
        this->StartSearch(poll.source,
                          "the source's state was not confirmed recently",
                          Duration(0));
      }
    } else if (recent || this->followed.empty() || this->IsLate()) {
      this->UseSource(poll.source);
    } else {
      this->CountUnconfirmed();
    }
  }

  // Ends the search beside a source in use that responds when others are not
  // confirmed either.
  void CountUnconfirmed() {
    if (!this->followed.empty() && !this->IsLate() &&
        ++this->unconfirmed_responses >= kMaxUnconfirmedResponses) {
      this->searching = false;
    }
  }

  // Continues the search after the poll of a source that cannot be used.
  void HandleUnusable(const std::string& source,
                      const Error& error,
                      bool full) {
    const Duration delay =
        full ? kFullSourceDelay : this->options.min_search_interval;
    if (source == this->followed) {
      this->followed.clear();
      if (!this->searching) {
        this->StartSearch(source, error.message, delay);
      }
    }
    if (!this->followed.empty()) {
      if (error.code == ResultCode::kConfigurationUnconfirmed) {
        this->CountUnconfirmed();
      }
      return;
    }
    this->left_reason = error.message;
    const SteadyClock::time_point next = SteadyClock::now() + delay;
    if (full) {
      this->next_search_poll = std::max(this->next_search_poll, next);
    } else if (this->full_source.empty() &&
               error.code != ResultCode::kTransportTimeout) {
      this->next_search_poll = std::min(this->next_search_poll, next);
    }
  }

  void CountPoll(FeedPollOutcome outcome) {
    std::lock_guard lock(this->mutex);
    ++this->status.polls[static_cast<std::size_t>(outcome)];
    this->failed_in_gap += outcome == FeedPollOutcome::kFailed ? 1 : 0;
  }

  // Logs the end of a time without news.
  void RecordNews(const std::string& source) {
    const TimePoint now = this->clock.Now();
    this->last_failures.clear();
    Duration gap{0};
    std::uint64_t failed_polls = 0;
    {
      std::lock_guard lock(this->mutex);
      gap = now - this->last_news.value_or(now);
      this->last_news = now;
      // Those that are still open were not answered either.
      failed_polls =
          std::exchange(this->failed_in_gap, 0) + this->open_polls.size();
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

  void SendPoll(const std::string& source, Duration wait) {
    const bool snapshot = this->NeedsSnapshot();
    const std::shared_ptr<const SharedState> base =
        snapshot ? nullptr : this->server.Current();
    const Duration timeout = (snapshot ? this->options.poll_wait : wait) +
                             this->options.poll_timeout_margin;
    const TimePoint sent = this->clock.Now();
    Json::Value params = this->Params(base, wait, sent);
    if (this->options.reporter != nullptr) {
      internal::AddReport(*this->options.reporter, params);
    }
    const std::uint64_t id = ++this->last_poll_id;
    this->open_polls.push_back(
        {id, source, base, sent, SteadyClock::now() + wait});
    this->rpc.CallAsync(
        source, std::string(kFeedPollMethod), params, timeout,
        [queue = this->responses, id](Result<Json::Value> response) {
          queue->Add(id, std::move(response));
        });
  }

  // Applies the response to `poll`.
  // @return an error if it cannot be applied, or if its state was not confirmed
  // recently.
  Status Apply(const OpenPoll& poll,
               Result<Json::Value>& result,
               SourceReport& report) {
    if (!result) {
      return result.error();
    }
    Json::Value& response = result.value();
    if (!response.isObject()) {
      return MakeError(ResultCode::kProtocolError,
                       "the feed response is not an object");
    }
    report.full = response["busy"] == Json::Value(true);
    if (report.full && !response.isMember("epoch")) {
      // A source of an earlier release sends no changes then.
      return Success();
    }
    BOOST_OUTCOME_TRYV(this->ApplyState(response, poll));
    report.is_replica = response["path"].empty();
    report.confirmation_age =
        milliseconds(response["confirmed_age_ms"].asInt64());
    if (report.full) {
      this->full_source = poll.source;
    }
    this->next_full_source_poll = SteadyClock::now() + this->options.poll_wait;
    if (this->noticed_version && !this->NoticeIsOpen(this->server.Current())) {
      this->noticed_version.reset();
      this->sources.ClearNoticed();
    }
    this->search_rounds = 0;
    this->RecordNews(poll.source);
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

  // Takes the changes out of `response`.
  Status ApplyState(Json::Value& response, const OpenPoll& poll) {
    // Responses to other polls can have replaced the state that this poll
    // named.
    const std::shared_ptr<const SharedState> current = this->server.Current();
    BOOST_OUTCOME_TRY(this->CheckOrigin(response, current));
    Result<std::shared_ptr<const SharedState>> read =
        internal::ReadFeedResponse(TakeUpdate(response), poll.base);
    // Changes of a record that is missing here cannot be applied.
    this->needs_snapshot = !read;
    BOOST_OUTCOME_TRY(state, std::move(read));
    const bool is_new = current == nullptr || state->version > current->version;
    const Json::Int64 age_ms = response["confirmed_age_ms"].asInt64();
    const bool was_confirmed =
        age_ms >= 0 && age_ms <= ToMilliseconds(kMaxConfirmationAge);
    {
      std::lock_guard lock(this->mutex);
      this->path = response["path"];
    }
    if (is_new) {
      LogUnreadable(*state, current);
      this->server.Publish(state);
      if (this->on_update) {
        this->on_update(state);
      }
    }
    // Counted last: it does not hold for the state that was in use before.
    if (was_confirmed) {
      // Measured from when the poll was sent, so that the age includes the time
      // in transit and in the source's queue.
      const TimePoint at = poll.sent - milliseconds(age_ms);
      std::lock_guard lock(this->mutex);
      this->confirmed = std::max(this->confirmed.value_or(at), at);
    }
    if (!was_confirmed ||
        milliseconds(age_ms) > this->options.max_source_confirmation_age) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "the source's state was not confirmed recently");
    }
    return Success();
  }

  // Moves the large members, which would take long to copy.
  static Json::Value TakeUpdate(Json::Value& response) {
    Json::Value update;
    for (const char* const key : {"epoch", "version"}) {
      update[key] = response[key];
    }
    for (const char* const key : {"deltas", "snapshot"}) {
      if (response.isMember(key)) {
        update[key].swap(response[key]);
      }
    }
    return update;
  }

  // Rejects responses from another deployment, from a source that follows this
  // daemon or is too many relays away from the control replicas, and with a
  // version lower than that of `current`.
  Status CheckOrigin(const Json::Value& response,
                     const std::shared_ptr<const SharedState>& current) const {
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
    if (current != nullptr && response["epoch"] != current->epoch) {
      return MakeError(ResultCode::kProtocolError,
                       "the source belongs to another deployment");
    }
    if (current != nullptr && version.asUInt64() < current->version) {
      return MakeError(
          ResultCode::kConfigurationUnconfirmed,
          fmt::format("the source has version {}, below version {}",
                      version.asUInt64(), current->version));
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
  const std::shared_ptr<ResponseQueue> responses =
      std::make_shared<ResponseQueue>();
  // Used only by the follower's thread.
  SourceList sources;
  // Version of the newest notice, and its replicas, which `sources` has.
  std::optional<std::uint64_t> noticed_version;
  std::vector<std::string> noticed_replicas;
  // The last response could not be applied to the current state.
  bool needs_snapshot = false;
  std::vector<OpenPoll> open_polls;
  std::uint64_t last_poll_id = 0;
  // Source in use: it has a place for this daemon and responded to a poll.
  // Empty if there is none.
  std::string followed;
  // The response of the source in use is late from this time on.
  SteadyClock::time_point late_at;
  // Another source than the one in use is searched.
  bool searching = false;
  SteadyClock::time_point next_search_poll;
  // Source that responds but has no place; empty if none is known.
  std::string full_source;
  // Time at which that one is asked again if none has responded before.
  SteadyClock::time_point next_full_source_poll;
  // Number of sources that this search can ask.
  int known_sources = 0;
  // Sources were all asked so many times by this search.
  int search_rounds = 0;
  // Responses to this search whose state was not confirmed recently.
  int unconfirmed_responses = 0;
  // Smoothed time from the end of a poll's wait to its response.
  Duration response_delay{0};
  // Last source in use, and why it or another one could not be used.
  std::string used_source;
  std::string left_reason;
  // Polls of searches since the last one that was logged.
  std::uint64_t search_polls = 0;
  TimePoint next_log;
  internal::FeedServer server;
  mutable std::mutex mutex;
  RenewalTable renewals;
  // Not yet taken over by the follower's thread.
  std::optional<std::vector<std::string>> new_replicas;
  std::optional<ReplicaNotice> new_notice;
  bool draining;
  // A quorum confirmed the current state at this time or later.
  std::optional<TimePoint> confirmed;
  FeedFollowerStatus status;
  // Time of the last response that was applied. Changed by the follower's
  // thread only.
  std::optional<TimePoint> last_news;
  // Last failure of each source since `last_news`, and the time of the next
  // line about them. Used only by the follower's thread.
  std::map<std::string, std::string> last_failures;
  TimePoint next_silence_log;
  // Failed polls since `last_news`.
  std::uint64_t failed_in_gap = 0;
  // Entry daemons between the control replicas and this one.
  Json::Value path = Json::Value(Json::arrayValue);
  std::thread thread;
};

}  // namespace

std::string_view FeedPollOutcomeName(FeedPollOutcome outcome) {
  static constexpr std::array<std::string_view, kFeedPollOutcomes> kNames = {
      "applied", "redirected", "failed", "abandoned"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

Result<Json::Value> FeedFollower::ServePoll(const Json::Value& params) {
  BOOST_OUTCOME_TRY(body, this->ServeEncodedPoll(params));
  return ParseStoredJson(JoinBody(body));
}

std::unique_ptr<FeedFollower> FeedFollower::Start(FeedFollowerOptions options,
                                                  RpcClient& rpc,
                                                  const Clock& clock,
                                                  UpdateCallback on_update) {
  return std::make_unique<ThreadFeedFollower>(std::move(options), rpc, clock,
                                              std::move(on_update));
}

}  // namespace sycamorebend
