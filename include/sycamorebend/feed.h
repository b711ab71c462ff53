// Distribution of shared state to entry daemons. See docs/design.md, section
// 3.4, and docs/feed.md.
#ifndef SYCAMOREBEND_FEED_H_
#define SYCAMOREBEND_FEED_H_

#include <cstddef>
#include <functional>
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

struct FeedFollowerOptions {
  EntryInfo self;
  // Control replicas to ask first.
  std::vector<std::string> replicas;
  // Other sources: entry daemons that relay the feed.
  std::vector<std::string> relays;
  Duration poll_wait = milliseconds(500);
  // A source that does not answer for this long after the wait is replaced.
  // A renewal that is lost with its source is thus sent again after 1.4 s,
  // within the lease of 3 s.
  Duration poll_grace = milliseconds(400);
  // A source whose own state was confirmed longer ago than this is replaced.
  Duration max_source_age = seconds(2);
  // Direct followers that this daemon serves. Each occupies a thread of the
  // RpcServer that calls ServePoll.
  std::size_t max_followers = 32;
};

// Follows the feed from one source after another and serves it to others.
// Methods may be called from any thread.
class FeedFollower {
 public:
  using UpdateCallback =
      std::function<void(std::shared_ptr<const SharedState>)>;

  virtual ~FeedFollower() = default;

  // @param rpc must outlive the follower.
  // @param on_update runs on the follower's thread with each new state.
  static std::unique_ptr<FeedFollower> Start(FeedFollowerOptions options,
                                             RpcClient& rpc,
                                             const Clock& clock,
                                             UpdateCallback on_update);

  // @return the newest state, or nullptr before the first one.
  virtual std::shared_ptr<const SharedState> Current() const = 0;

  // @return an upper limit of the time since a quorum confirmed that Current()
  // was the newest state; Duration::max() if it never was.
  virtual Duration ConfirmationAge() const = 0;

  // Announces with the next polls that this daemon drains.
  virtual void SetDraining() = 0;

  // Answers another daemon's `feed.poll`; blocks for at most the poll's wait.
  // @return the answer; kConfigurationUnconfirmed if there is no state yet;
  // kMalformedRequest naming a parameter; kShuttingDown after Stop.
  virtual Result<Json::Value> ServePoll(const Json::Value& params) = 0;

  // Ends the follower's threads and wakes blocked polls.
  virtual void Stop() = 0;
};

struct FeedSourceOptions {
  // An entry daemon whose newest renewal is older than this is expired.
  Duration entry_lease = seconds(3);
  // Direct followers that this replica serves; others are referred to them.
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

  // Takes the log that proposals go to. Polls are refused before that, because
  // the log is created after the state machine that publishes here.
  virtual void SetLog(ReplicatedLog& log) = 0;

  // Takes a new state from the control state.
  virtual void Publish(std::shared_ptr<const SharedState> state) = 0;

  // Answers `feed.poll`; blocks for at most the poll's wait. Errors as for
  // FeedFollower::ServePoll.
  virtual Result<Json::Value> ServePoll(const Json::Value& params) = 0;

  // Proposes entry daemons that joined, drain or expired if this replica
  // leads; passes renewals to the leader otherwise. To be called every 200 ms.
  virtual void Tick() = 0;

  // Wakes blocked polls and refuses new ones.
  virtual void Stop() = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_FEED_H_
