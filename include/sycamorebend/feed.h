// Distribution of shared state to entry daemons. See docs/design.md, section
// 3.4, and docs/feed.md.
#ifndef SYCAMOREBEND_FEED_H_
#define SYCAMOREBEND_FEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// RPC method of the feed, at control replicas and entry daemons.
inline constexpr std::string_view kFeedPollMethod = "feed.poll";

// Reports that are sent with polls to a source of the feed. Called from any
// thread.
class FeedReporter {
 public:
  virtual ~FeedReporter() = default;
  // @return the report to send with the next poll; null if none is due.
  virtual Json::Value NextReport() = 0;
  // Called with what the receiver of a report responded.
  virtual void OnReceipt(const Json::Value& receipt) = 0;
};

// Receives the reports at a control replica, and has those that a follower
// forwards to the leader. Called from any thread.
class FeedReportReceiver : public FeedReporter {
 public:
  // @return the receipt for the sender, or kMalformedRequest.
  virtual Result<Json::Value> Accept(const Json::Value& report) = 0;
};

// The control replicas of a deployment, named by one of its processes to
// another that may have missed that they were replaced. It proves nothing: the
// replicas are polled, and their responses are checked as those of any source.
struct ReplicaNotice {
  // Deployment and version of the shared state that names the replicas.
  std::string epoch;
  std::uint64_t version = 0;
  // "IP:port" of their RPC servers.
  std::vector<std::string> replicas;
  // Entry daemon that the notice is for; empty if it is for any process.
  std::string entry_id;
};

struct FeedFollowerOptions {
  EntryInfo self;
  // Control replicas, which are polled first.
  std::vector<std::string> replicas;
  // Entry daemons that relay the feed, tried after the control replicas.
  std::vector<std::string> relays;
  Duration poll_wait = milliseconds(500);
  // A source that has not responded this long after a poll's wait is replaced.
  Duration poll_timeout_margin = milliseconds(400);
  // Another source is searched when the one in use has not responded this long
  // after `poll_wait`, or later where sources are slow to respond. Its response
  // is still awaited.
  Duration late_response_margin = milliseconds(150);
  // Time over which a search spreads the polls of the known sources. They do
  // not wait for each other, so that silent sources cost this time only. The
  // polls are at most `poll_timeout_margin` apart.
  Duration search_time = milliseconds(400);
  // The same while the whole state is needed, which takes a source longer to
  // send.
  Duration snapshot_search_time = milliseconds(1200);
  // Minimum time between the polls of a search.
  Duration min_search_interval = milliseconds(50);
  // Another source is searched when the state of the one in use, a control
  // replica, was last confirmed longer ago than this. It is used until another
  // one is found whose state was confirmed more recently.
  Duration recent_confirmation_age = milliseconds(800);
  // A source whose state was last confirmed longer ago than this is not used.
  Duration max_source_confirmation_age = seconds(2);
  // Maximum number of direct followers. Each occupies a thread of the RpcServer
  // that calls ServePoll.
  std::size_t max_followers = 32;
  // Reports of this daemon; may be nullptr. Must outlive the follower.
  FeedReporter* reporter = nullptr;
};

// What became of a poll.
enum class FeedPollOutcome {
  // The response was applied, and the source has a place for this daemon.
  kApplied,
  // The source has its maximum number of followers. Its response was applied
  // unless it is of an earlier release.
  kRedirected,
  // No response, an error, or a response that was refused.
  kFailed,
  // Another source responded first; a later response is ignored.
  kAbandoned,
};
inline constexpr std::size_t kFeedPollOutcomes = 4;

std::string_view FeedPollOutcomeName(FeedPollOutcome outcome);

// State of a follower, for logs and metrics.
struct FeedFollowerStatus {
  // Source of the newest response that was applied; empty before the first.
  std::string source;
  // Polls since the start, by outcome.
  std::array<std::uint64_t, kFeedPollOutcomes> polls{};
  // Longest time without a response that was applied, since the first one.
  Duration longest_gap{0};
};

// Polls one source of the feed, searches another one among all that it knows
// when that one fails, is late or is no longer confirmed, and serves the feed
// to other daemons. Methods may be called from any thread.
class FeedFollower {
 public:
  using UpdateCallback =
      std::function<void(std::shared_ptr<const SharedState>)>;

  virtual ~FeedFollower() = default;

  // @param rpc must outlive the follower.
  // @param on_update runs on the follower's thread with each new state, before
  // ConfirmationAge counts the confirmation of that state.
  static std::unique_ptr<FeedFollower> Start(FeedFollowerOptions options,
                                             RpcClient& rpc,
                                             const Clock& clock,
                                             UpdateCallback on_update);

  // @return the newest state, or nullptr before the first one.
  virtual std::shared_ptr<const SharedState> Current() const = 0;

  // @return an upper limit of the time since a quorum confirmed that Current()
  // was the newest state; Duration::max() if it never was.
  virtual Duration ConfirmationAge() const = 0;

  virtual FeedFollowerStatus GetStatus() const = 0;

  // Reports with the following polls that this daemon is draining.
  virtual void SetDraining() = 0;

  // Replaces the control replicas of the options, after the settings were read
  // again.
  virtual void SetReplicas(std::vector<std::string> replicas) = 0;

  // Polls the replicas that `notice` names as well, until a state that is as
  // new as the notice was applied.
  // @return false if it is of no use: of another deployment, not newer than
  // Current(), or, without a state, not for this daemon.
  virtual bool OnReplicaNotice(const ReplicaNotice& notice) = 0;

  // Serves another daemon's `feed.poll`; blocks for at most the poll's wait.
  // @return the text of the response, which shares what is equal for all
  // daemons; kConfigurationUnconfirmed if there is no state yet;
  // kMalformedRequest naming a parameter; kShuttingDown after Stop.
  virtual Result<HttpBody> ServeEncodedPoll(const Json::Value& params) = 0;

  // As ServeEncodedPoll.
  // @return the decoded response.
  Result<Json::Value> ServePoll(const Json::Value& params);

  // Ends the follower's thread and wakes blocked polls.
  virtual void Stop() = 0;
};

// State of a source, for logs and metrics.
struct FeedSourceStatus {
  // Daemons whose polls wait at this source for changes.
  std::size_t followers = 0;
  // Polls since the start of daemons for which there was no place.
  std::uint64_t redirects = 0;
};

struct FeedSourceOptions {
  // An entry daemon expires when its newest renewal is older than this.
  Duration entry_lease = seconds(3);
  // Maximum number of daemons whose polls wait for changes. Further ones get
  // what is new at once and are referred to relays.
  std::size_t max_followers = 64;
};

// Serves the feed at a control replica, leader or follower, and keeps the
// renewals of entry daemons. Methods may be called from any thread.
class FeedSource {
 public:
  virtual ~FeedSource() = default;

  // @param log must outlive the source, as must `rpc` and `clock`.
  static std::unique_ptr<FeedSource> Create(FeedSourceOptions options,
                                            RpcClient& rpc,
                                            const Clock& clock);

  // Sets the log for proposals. Polls are refused before that: the log is
  // created after the state machine, which publishes to this source.
  virtual void SetLog(ReplicatedLog& log) = 0;

  // Sets the receiver of reports, which must outlive the calls of this source's
  // RpcClient. Reports that arrive before get no receipt.
  virtual void SetReportReceiver(FeedReportReceiver* receiver) = 0;

  // Serves a new state from now on. Called by the control state.
  virtual void Publish(std::shared_ptr<const SharedState> state) = 0;

  // Serves `feed.poll`; blocks for at most the poll's wait. Response and errors
  // as for FeedFollower::ServeEncodedPoll.
  virtual Result<HttpBody> ServeEncodedPoll(const Json::Value& params) = 0;

  // As ServeEncodedPoll.
  // @return the decoded response.
  Result<Json::Value> ServePoll(const Json::Value& params);

  // @return when the newest renewal of each entry daemon that reached this
  // replica within the lease was sent, by entry_id.
  virtual std::map<std::string, TimePoint> RenewalTimes() const = 0;

  // On the leader, proposes the entry daemons that joined, started to drain or
  // expired; otherwise forwards renewals to the leader. To be called every
  // 200 ms.
  virtual void Tick() = 0;

  virtual FeedSourceStatus GetStatus() const = 0;

  // Wakes blocked polls and refuses new ones.
  virtual void Stop() = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_FEED_H_
