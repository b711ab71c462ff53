#include <atomic>
#include <optional>
#include <set>
#include <utility>

#include "feed/feed_server.h"
#include "feed/renewals.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using internal::kReceiptKey;
using internal::kReportKey;
using internal::Renewal;
using internal::RenewalTable;

constexpr Duration kForwardTimeout = milliseconds(500);
// Ticks are due every 200 ms. A longer gap means that the process was paused.
constexpr Duration kMaxTickGap = seconds(1);

// State used by the callbacks of proposals and calls, which can outlive the
// source.
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
        server(options.max_followers, clock) {}

  void SetLog(ReplicatedLog& new_log) override { this->log = &new_log; }

  void SetReportReceiver(FeedReportReceiver* receiver) override {
    this->report_receiver = receiver;
  }

  void Publish(std::shared_ptr<const SharedState> state) override {
    this->server.Publish(std::move(state));
  }

  Result<HttpBody> ServeEncodedPoll(const Json::Value& params) override {
    ReplicatedLog* const replica_log = this->log;
    if (replica_log == nullptr) {
      return MakeError(ResultCode::kConfigurationUnconfirmed,
                       "this replica is starting");
    }
    BOOST_OUTCOME_TRY(poll, internal::ReadFeedPoll(params, this->clock.Now()));
    {
      std::lock_guard lock(this->mutex);
      for (const Renewal& renewal : poll.renewals) {
        this->renewals.Add(renewal);
      }
    }
    const Json::Value receipt = this->AcceptReport(params[kReportKey]);
    if (poll.renewals_only) {
      Json::Value response(Json::objectValue);
      if (!receipt.isNull()) {
        response[kReceiptKey] = receipt;
      }
      return HttpBody{std::make_shared<SharedText>(WriteJson(response))};
    }
    return this->server.Serve(
        poll, Json::Value(Json::arrayValue), receipt,
        [this, replica_log]() -> std::optional<TimePoint> {
          const Duration age = replica_log->ConfirmationAge();
          return age == Duration::max()
                     ? std::nullopt
                     : std::make_optional(this->clock.Now() - age);
        });
  }

  FeedSourceStatus GetStatus() const override {
    return this->server.GetStatus();
  }

  std::map<std::string, TimePoint> RenewalTimes() const override {
    std::map<std::string, TimePoint> times;
    std::lock_guard lock(this->mutex);
    for (const auto& [id, renewal] : this->renewals.All()) {
      times[id] = renewal.sent;
    }
    return times;
  }

  void Tick() override {
    ReplicatedLog* const replica_log = this->log;
    if (replica_log == nullptr) {
      return;
    }
    const ReplicatedLog::LogStatus status = replica_log->GetStatus();
    const TimePoint now = this->clock.Now();
    if (!status.is_leader) {
      this->leader_term = 0;
      this->ForwardRenewals(status, now);
      return;
    }
    // After a pause of this process, as after an election, the renewals sent in
    // the meantime have not been received yet.
    const bool paused = now - this->last_tick > kMaxTickGap;
    this->last_tick = now;
    if (this->leader_term != status.term || paused) {
      this->leader_term = status.term;
      this->leader_since = now;
    }
    this->ProposeEntryChanges(*replica_log, now);
  }

  void Stop() override { this->server.Stop(); }

 private:
  // @return the receipt for a report; null without a report or a receiver.
  Json::Value AcceptReport(const Json::Value& report) {
    FeedReportReceiver* const receiver = this->report_receiver;
    if (report.isNull() || receiver == nullptr) {
      return {};
    }
    const Result<Json::Value> receipt = receiver->Accept(report);
    if (!receipt) {
      LogEvent(Severity::kWarning, Event::kReportRejected,
               {{"source", "feed poll"}, {"reason", receipt.error().message}});
      return {};
    }
    return receipt.value();
  }

  // Forwards the renewals received by this replica to the leader.
  void ForwardRenewals(const ReplicatedLog::LogStatus& status, TimePoint now) {
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
    // A leader of an earlier release ignores the mark; naming the newest
    // version keeps its response short.
    const std::shared_ptr<const SharedState> state = this->server.Current();
    params["have_epoch"] = state ? state->epoch : std::string();
    params["have_version"] = Json::UInt64(state ? state->version : 0);
    params["wait_ms"] = 0;
    params["renewals_only"] = true;
    FeedReportReceiver* const receiver = this->report_receiver;
    if (receiver != nullptr) {
      internal::AddReport(*receiver, params);
    }
    this->rpc.CallAsync(
        status.leader_address, std::string(kFeedPollMethod), params,
        kForwardTimeout,
        [pending = this->pending, receiver](Result<Json::Value> response) {
          if (receiver != nullptr && response) {
            internal::PassReceipt(*receiver, response.value());
          }
          std::lock_guard lock(pending->mutex);
          pending->forwarding = false;
        });
  }

  void ProposeEntryChanges(ReplicatedLog& replica_log, TimePoint now) {
    const std::shared_ptr<const SharedState> state = this->server.Current();
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
    // The renewals received by an earlier leader are lost, so every entry
    // daemon has a full lease to renew at this one.
    if (now - this->leader_since <= this->options.entry_lease) {
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
           known.failure_domain != renewed.failure_domain ||
           known.feed_address != renewed.feed_address ||
           known.notice_address != renewed.notice_address;
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
    command["feed_address"] = entry.feed_address;
    command["notice_address"] = entry.notice_address;
    replica_log.Propose(
        WriteJson(command),
        [pending = this->pending, type, entry](Result<std::string> response) {
          {
            std::lock_guard lock(pending->mutex);
            pending->proposals.erase(entry.entry_id);
          }
          if (response) {
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
  std::atomic<FeedReportReceiver*> report_receiver{nullptr};
  internal::FeedServer server;
  const std::shared_ptr<Pending> pending = std::make_shared<Pending>();
  mutable std::mutex mutex;
  RenewalTable renewals;
  // Used by Tick only. Terms start at 1.
  Term leader_term = 0;
  TimePoint leader_since;
  TimePoint last_tick;
};

}  // namespace

Result<Json::Value> FeedSource::ServePoll(const Json::Value& params) {
  BOOST_OUTCOME_TRY(body, this->ServeEncodedPoll(params));
  return ParseStoredJson(JoinBody(body));
}

std::unique_ptr<FeedSource> FeedSource::Create(FeedSourceOptions options,
                                               RpcClient& rpc,
                                               const Clock& clock) {
  return std::make_unique<ReplicaFeedSource>(options, rpc, clock);
}

}  // namespace sycamorebend
