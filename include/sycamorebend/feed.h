// Distribution of shared state to entry daemons. See docs/design.md, section
// 3.4.
#ifndef SYCAMOREBEND_FEED_H_
#define SYCAMOREBEND_FEED_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// One entry daemon as the control state knows it.
struct EntryInfo {
  std::string entry_id;
  std::string address;  // "IP:port" for callers, backend servers and RPC.
  std::string failure_domain;
  std::string incarnation;
  bool draining = false;
};

// Everything that entry daemons share, at one version.
struct SharedState {
  // Grows with every change of any part.
  std::uint64_t version = 0;
  // Version and document of the operators' configuration.
  std::uint64_t configuration_version = 0;
  Json::Value configuration;
  std::vector<EntryInfo> entries;
  // IDs of backend servers that operators drain.
  std::set<std::string> drained_servers;
  // Fingerprints of requests that must not run.
  std::set<std::string> quarantined;
  // Addresses of the control replicas.
  std::vector<std::string> replicas;
};

struct FeedFollowerOptions {
  EntryInfo self;
  // Control replicas to ask first.
  std::vector<std::string> replicas;
  // Other sources: entry daemons that relay the feed.
  std::vector<std::string> relays;
  Duration poll_wait = milliseconds(500);
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
  virtual Result<Json::Value> ServePoll(const Json::Value& params) = 0;

  // Ends the follower's threads and wakes blocked polls.
  virtual void Stop() = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_FEED_H_
