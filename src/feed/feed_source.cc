#include <atomic>
#include <set>
#include <utility>

#include "feed/feed_buffer.h"
#include "feed/renewals.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::FeedBuffer;
using internal::FeedPoll;
using internal::FollowerTable;
using internal::Renewal;
using internal::RenewalTable;

constexpr Duration kForwardTimeout = milliseconds(500);
// Ticks are due every 200 ms.
constexpr Duration kLongestTickGap = seconds(1);

// What callbacks of proposals and calls change after the source may be gone.
struct Pending {
  std::mutex mutex;
  // Entry daemons with a proposal in flight.
  std::set<std::string> proposals;
  bool forwarding = false;
};

class ReplicaFeedSource : public FeedSource {
 public:
  ReplicaFeedSource(FeedSourceOptions options,
                    RpcClient& rpc,
                    const Clock& clock)
      : options(options),
        rpc(rpc),
        clock(clock),
        followers(options.max_followers) {}

  void SetLog(ReplicatedLog& new_log) override { this->log = &new_log; }

  void Publish(std::shared_ptr<const SharedState> state) override {
    this->buffer.Publish(std::move(state));
  }

  Result<Json::Value> ServePoll(const Json::Value& params) override {
    ReplicatedLog* const replica_log = this->log;
    if (replica_log == nullptr) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "this replica is starting");
    }
    const TimePoint now = this->clock.Now();
    BOOST_OUTCOME_TRY(poll, internal::ReadFeedPoll(params, now));
    {
      std::lock_guard lock(this->mutex);
      for (const Renewal& renewal : poll.renewals) {
        this->renewals.Add(renewal);
      }
      if (!this->followers.Admit(poll, now)) {
        return this->followers.Referral();
      }
    }
    if (!this->buffer.Wait(poll.have_epoch, poll.have_version, poll.wait)) {
      return MakeError(ResultCode::kShuttingDown, "this replica is stopping");
    }
    // The age is read before the state: what was committed when the age was
    // confirmed is part of any state read later.
    const TimePoint read = this->clock.Now();
    const Duration age = replica_log->ConfirmationAge();
    Json::Value answer;
    if (!this->buffer.Fill(poll.have_epoch, poll.have_version, answer)) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "there is no shared state yet");
    }
    answer["path"] = Json::Value(Json::arrayValue);
    answer["confirmed_age_ms"] =
        Json::Int64(age == Duration::max()
                        ? -1
                        : ToMilliseconds(age + (this->clock.Now() - read)) + 1);
    return answer;
  }

  void Tick() override {
    ReplicatedLog* const replica_log = this->log;
    if (replica_log == nullptr) {
      return;
    }
    const ReplicatedLog::LogStatus status = replica_log->GetStatus();
    const TimePoint now = this->clock.Now();
    if (!status.is_leader) {
      this->led_term = 0;
      this->Forward(status, now);
      return;
    }
    // After a pause of this process the renewals sent meanwhile are not here
    // yet, as after an election.
    const bool paused = now - this->last_tick > kLongestTickGap;
    this->last_tick = now;
    if (this->led_term != status.term || paused) {
      this->led_term = status.term;
      this->led_since = now;
    }
    this->ProposeChanges(*replica_log, now);
  }

  void Stop() override { this->buffer.Stop(); }

 private:
  // Passes renewals that arrived here to the leader.
  void Forward(const ReplicatedLog::LogStatus& status, TimePoint now) {
    Json::Value params;
    {
      std::lock_guard lock(this->mutex);
      this->renewals.DropBefore(now - this->options.entry_lease);
      if (!status.leader || status.leader_address.empty() ||
          this->renewals.All().empty()) {
        return;
      }
      params["relayed_renewals"] = this->renewals.ToJson(now);
    }
    {
      std::lock_guard lock(this->pending->mutex);
      if (this->pending->forwarding) {
        return;
      }
      this->pending->forwarding = true;
    }
    // Names the newest version, so that the answer carries no state.
    const std::shared_ptr<const SharedState> state = this->buffer.Current();
    params["have_epoch"] = state ? state->epoch : std::string();
    params["have_version"] = Json::UInt64(state ? state->version : 0);
    params["wait_ms"] = 0;
    this->rpc.CallAsync(status.leader_address, std::string(kFeedPollMethod),
                        params, kForwardTimeout,
                        [pending = this->pending](Result<Json::Value>) {
                          std::lock_guard lock(pending->mutex);
                          pending->forwarding = false;
                        });
  }

  void ProposeChanges(ReplicatedLog& replica_log, TimePoint now) {
    const std::shared_ptr<const SharedState> state = this->buffer.Current();
    if (state == nullptr || state->epoch.empty()) {
      return;
    }
    std::map<std::string, Renewal> live;
    {
      std::lock_guard lock(this->mutex);
      this->renewals.DropBefore(now - this->options.entry_lease);
      live = this->renewals.All();
    }
    std::map<std::string, EntryInfo> known;
    for (const EntryInfo& entry : state->entries) {
      known[entry.entry_id] = entry;
    }
    for (const auto& [id, renewal] : live) {
      const auto entry = known.find(id);
      if (entry == known.end() || this->Differs(entry->second, renewal.entry)) {
        this->Propose(replica_log, "entry.join", renewal.entry);
      } else if (renewal.entry.draining && !entry->second.draining) {
        this->Propose(replica_log, "entry.drain", renewal.entry);
      }
    }
    // The renewals that an earlier leader knew are lost: every entry daemon
    // has a full lease to renew at this one.
    if (now - this->led_since <= this->options.entry_lease) {
      return;
    }
    for (const auto& [id, entry] : known) {
      if (live.count(id) == 0) {
        this->Propose(replica_log, "entry.expire", entry);
      }
    }
  }

  static bool Differs(const EntryInfo& known, const EntryInfo& renewed) {
    return known.incarnation != renewed.incarnation ||
           known.address != renewed.address ||
           known.failure_domain != renewed.failure_domain;
  }

  void Propose(ReplicatedLog& replica_log,
               const std::string& type,
               const EntryInfo& entry) {
    {
      std::lock_guard lock(this->pending->mutex);
      if (!this->pending->proposals.insert(entry.entry_id).second) {
        return;
      }
    }
    Json::Value command;
    command["type"] = type;
    command["entry_id"] = entry.entry_id;
    command["address"] = entry.address;
    command["failure_domain"] = entry.failure_domain;
    command["incarnation"] = entry.incarnation;
    command["draining"] = entry.draining;
    replica_log.Propose(
        WriteJson(command),
        [pending = this->pending, type, entry](Result<std::string> answer) {
          {
            std::lock_guard lock(pending->mutex);
            pending->proposals.erase(entry.entry_id);
          }
          if (answer) {
            const Event event = type == "entry.join"    ? Event::kEntryJoined
                                : type == "entry.drain" ? Event::kEntryDraining
                                                        : Event::kEntryExpired;
            LogEvent(Severity::kInfo, event,
                     {{"entry_id", entry.entry_id},
                      {"address", entry.address},
                      {"incarnation", entry.incarnation}});
          }
        });
  }

  const FeedSourceOptions options;
  RpcClient& rpc;
  const Clock& clock;
  std::atomic<ReplicatedLog*> log{nullptr};
  FeedBuffer buffer;
  const std::shared_ptr<Pending> pending = std::make_shared<Pending>();
  std::mutex mutex;
  RenewalTable renewals;
  FollowerTable followers;
  // Used by Tick only. Terms start at 1.
  Term led_term = 0;
  TimePoint led_since;
  TimePoint last_tick;
};

}  // namespace

std::unique_ptr<FeedSource> FeedSource::Create(FeedSourceOptions options,
                                               RpcClient& rpc,
                                               const Clock& clock) {
  return std::make_unique<ReplicaFeedSource>(options, rpc, clock);
}

}  // namespace sycamorebend
