// The newest shared state with the patches that lead to it, and the polls that
// wait for the next one.
#ifndef SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_
#define SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include <json/value.h>

#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

// Thread-safe.
class FeedBuffer {
 public:
  // Stores a newer state. A state of the same epoch that is not newer is
  // ignored.
  void Publish(std::shared_ptr<const SharedState> state);

  // @return the newest state, or nullptr.
  std::shared_ptr<const SharedState> Current() const;

  // Waits until the state is newer than `version` of `epoch`, for at most
  // `wait`, or until Stop.
  // @return false after Stop.
  bool Wait(const std::string& epoch, std::uint64_t version, Duration wait);

  // Adds epoch, version, and `deltas` or `snapshot` to `response`, for a reader
  // that has `version` of `epoch`.
  // @return false if there is no state.
  bool WriteUpdate(const std::string& epoch,
                   std::uint64_t version,
                   Json::Value& response) const;

  void Stop();

 private:
  struct Delta {
    std::uint64_t from = 0;
    Json::Value patch;
    std::size_t bytes = 0;
  };

  // Updates the JSON form and the patches to `current`. Done only when a reader
  // needs them, and for several versions at once: a replica that replays its
  // log would otherwise spend most of its start on patches that no reader
  // requests.
  void Encode() const;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::shared_ptr<const SharedState> current;
  mutable std::shared_ptr<const SharedState> encoded;
  mutable Json::Value encoded_json;
  mutable std::deque<Delta> deltas;
  mutable std::size_t bytes = 0;
  bool stopped = false;
};

// Applies what WriteUpdate added to a response.
// @param base the state that the poll named, or nullptr.
// @return the new state; `base` itself if nothing changed; kProtocolError if
// the response does not fit `base`.
Result<std::shared_ptr<const SharedState>> ReadFeedResponse(
    const Json::Value& response,
    std::shared_ptr<const SharedState> base);

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_
