// Order in which a daemon tries the sources of the feed.
#ifndef SYCAMOREBEND_SRC_FEED_SOURCE_LIST_H_
#define SYCAMOREBEND_SRC_FEED_SOURCE_LIST_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

#include "sycamorebend/feed.h"

namespace sycamorebend {
namespace internal {

// Control replicas first, then relays. Within each group the order differs
// between daemons, so that they spread over the sources. Not thread-safe.
class SourceList {
 public:
  explicit SourceList(const FeedFollowerOptions& options);

  // @param state the newest state, or nullptr; its replicas and entry daemons
  // are sources too.
  // @return the next source; empty if there is none.
  std::string Next(const std::shared_ptr<const SharedState>& state);

  // Begins a new round, without `left_source`.
  void Restart(const std::shared_ptr<const SharedState>& state,
               const std::string& left_source);

  // @return number of sources that are still to be tried in this round.
  std::size_t Remaining() const { return this->remaining.size(); }

  // @return true if all sources of this round were returned.
  bool RoundDone() const { return this->remaining.empty(); }

  // Adds the addresses to which a busy source redirects. They are tried next.
  void AddRedirects(const Json::Value& relays);

  // Replaces the control replicas of the options, from the next round on.
  void SetReplicas(std::vector<std::string> new_replicas) {
    this->replicas = std::move(new_replicas);
  }

  // Sets control replicas that another process has named. They are tried next,
  // and in each round as long as they are set.
  void SetNoticed(const std::vector<std::string>& addresses);
  void ClearNoticed() { this->noticed.clear(); }

 private:
  void Refill(const std::shared_ptr<const SharedState>& state);
  void Append(std::vector<std::string> addresses);
  // Appends kMaxRelaysPerRound of `relays`, others in each round.
  void AppendSomeRelays(std::vector<std::string> relays);
  // Tries `addresses` before the sources that remain.
  void Prepend(std::vector<std::string> addresses);
  // Sorts in the order of this daemon.
  void Sort(std::vector<std::string>& addresses) const;

  const FeedFollowerOptions& options;
  std::vector<std::string> replicas;
  std::vector<std::string> noticed;
  // Number of the round, which selects its relays.
  std::size_t round = 0;
  // Sources of this round that are still to be tried, last one first.
  std::vector<std::string> remaining;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_SOURCE_LIST_H_
