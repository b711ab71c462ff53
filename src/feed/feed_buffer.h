// The newest shared state with the patches that lead to it, and the polls that
// wait for the next one.
#ifndef SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_
#define SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/http.h"

namespace sycamorebend {
namespace internal {

// Thread-safe.
class FeedBuffer {
 public:
  // Stores a newer state. A state of the same epoch that is not newer is
  // ignored.
  void Publish(std::shared_ptr<const SharedState> state);

  // Sets the minimum time between two updates of a reader. Changes in between
  // become one update.
  void SetUpdateInterval(Duration interval);

  // @return the newest state, or nullptr.
  std::shared_ptr<const SharedState> Current() const;

  // Waits until there is an update for a reader that has `version` of `epoch`,
  // for at most `wait`, or until Stop.
  // @return false after Stop.
  bool Wait(const std::string& epoch, std::uint64_t version, Duration wait);

  // Adds epoch and version to `response`, for a reader that has `version` of
  // `epoch`.
  // @param update set to the text of the member `deltas` or `snapshot`, empty
  // if nothing changed. Its parts are encoded once and shared by all readers.
  // @param confirmed_at when a quorum confirmed that Current() is the newest
  // state, read before this call; empty if it never did. Set to that time for
  // the state in the response.
  // @param newest the response must have the newest state, even if changes
  // follow each other so quickly that it has to be encoded for this reader.
  // @return false if there is no state.
  bool WriteUpdate(const std::string& epoch,
                   std::uint64_t version,
                   bool newest,
                   std::optional<TimePoint>& confirmed_at,
                   Json::Value& response,
                   HttpBody& update);

  void Stop();

 private:
  using SteadyClock = std::chrono::steady_clock;

  // Changes from the version `from` to the next one that was encoded.
  struct Delta {
    std::uint64_t from = 0;
    std::shared_ptr<const SharedText> text;
  };

  // @return the text of the newest encoded state as the member `snapshot`.
  // `encode_mutex` must be held.
  HttpBody EncodeSnapshot();

  // @return true if WriteUpdate has something for a reader that has `version`
  // of `epoch`. `mutex` must be held.
  bool HasUpdate(const std::string& epoch, std::uint64_t version) const;

  // Updates the JSON form and the patches to `state`. Done only when a reader
  // needs them, and for several versions at once: a replica that replays its
  // log would otherwise spend most of its start on patches that no reader
  // requests. `encode_mutex` must be held.
  void Encode(const std::shared_ptr<const SharedState>& state);

  // Held while a state is encoded, which takes milliseconds; never locked with
  // `mutex` held.
  std::mutex encode_mutex;
  // SharedRecordsToJson of `encoded`.
  Json::Value encoded_records;
  // Encoded when the first reader needs them; of `encoded`.
  std::shared_ptr<const SharedText> configuration_text;
  std::shared_ptr<const SharedText> records_text;
  std::deque<Delta> deltas;
  std::size_t bytes = 0;
  std::optional<TimePoint> encoded_confirmed_at;

  mutable std::mutex mutex;
  std::condition_variable changed;
  std::shared_ptr<const SharedState> current;
  // The state that was encoded last; changed with both mutexes held.
  std::shared_ptr<const SharedState> encoded;
  // Readers that have `encoded` get no update before this time.
  SteadyClock::time_point next_encoding;
  Duration update_interval{0};
  bool stopped = false;
};

// Applies what WriteUpdate added to a response.
// @param base the state that the poll named, or nullptr.
// @return the new state; `base` itself if nothing changed; kProtocolError if
// the response does not fit `base`.
Result<std::shared_ptr<const SharedState>> ReadFeedResponse(
    Json::Value response,
    std::shared_ptr<const SharedState> base);

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_FEED_BUFFER_H_
