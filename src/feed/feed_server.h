// Serves polls of the feed, at control replicas and at relays.
#ifndef SYCAMOREBEND_SRC_FEED_FEED_SERVER_H_
#define SYCAMOREBEND_SRC_FEED_FEED_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include <json/value.h>

#include "feed/feed_buffer.h"
#include "feed/renewals.h"
#include "sycamorebend/base.h"
#include "sycamorebend/feed.h"

namespace sycamorebend {
namespace internal {

// Thread-safe.
class FeedServer {
 public:
  // @return when a quorum confirmed that the newest published state is the
  // newest one; empty if it never did.
  using ConfirmationReader = std::function<std::optional<TimePoint>()>;

  // @param max_followers maximum number of daemons whose polls wait here for
  // changes.
  FeedServer(std::size_t max_followers, const Clock& clock);

  void Publish(std::shared_ptr<const SharedState> state);
  // @return the newest state, or nullptr.
  std::shared_ptr<const SharedState> Current() const;

  // Serves a poll; blocks for at most the poll's wait. A caller that is not
  // admitted as a follower gets its response at once, with the changes, a mark
  // and the addresses of some relays.
  // @param path entry daemons between the control replicas and the caller.
  // @param receipt for the report in the poll; null if there was none.
  // @return the text of the response; kConfigurationUnconfirmed if there is no
  // state yet; kShuttingDown after Stop.
  Result<HttpBody> Serve(const FeedPoll& poll,
                         const Json::Value& path,
                         const Json::Value& receipt,
                         const ConfirmationReader& confirmed_at);

  FeedSourceStatus GetStatus() const;

  // Wakes blocked polls and refuses new ones.
  void Stop();

 private:
  bool Admit(const FeedPoll& poll);

  const Clock& clock;
  FeedBuffer buffer;
  mutable std::mutex mutex;
  FollowerTable followers;
  std::uint64_t redirects = 0;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_FEED_SERVER_H_
