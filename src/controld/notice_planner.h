// Chooses the processes that are told of the present control replicas.
#ifndef SYCAMOREBEND_SRC_CONTROLD_NOTICE_PLANNER_H_
#define SYCAMOREBEND_SRC_CONTROLD_NOTICE_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"

namespace sycamorebend {

// A process that may know none of the present control replicas.
struct NoticeTarget {
  enum class Kind { kEntry, kReplica };
  Kind kind = Kind::kEntry;
  // The entry_id of an entry daemon; the address of a replica.
  std::string id;
  // Where it receives the notice: as a datagram, or as a call of a replica.
  std::string address;
  // It had none in the last minute.
  bool first = false;
};

// What a leader knows of the processes of its deployment.
struct NoticeInput {
  Term term = 0;
  const SharedState& shared;
  // When the newest renewal of each entry daemon was sent, by entry_id.
  const std::map<std::string, TimePoint>& renewals;
  const LostMembers& lost;
};

// Starts no threads and does no I/O. Used by the leader. Not thread-safe.
class NoticePlanner {
 public:
  // An entry daemon without a renewal for this long may have lost contact. It
  // renews at least twice a second.
  static constexpr Duration kSilentAfter = milliseconds(1500);
  // Minimum time between two notices to a process.
  static constexpr Duration kInterval = seconds(1);
  // Maximum number of notices within kInterval, so that the work of the leader
  // does not grow with the number of processes that were lost.
  static constexpr std::size_t kMaxNotices = 64;
  // Processes that had no notice for this long count as new losses.
  static constexpr Duration kRecordTime = seconds(60);

  // To be called every 200 ms on the leader.
  // @return the processes that get a notice now: those without one first, by
  // the time of their loss, the newest first, and then those whose last notice
  // is the oldest, so that each gets its turn.
  std::vector<NoticeTarget> Plan(const NoticeInput& input, TimePoint now);

 private:
  // Kind and ID.
  using Key = std::pair<NoticeTarget::Kind, std::string>;

  void FindLeadershipStart(Term term, TimePoint now);
  // @return the lost processes, the newest losses first.
  std::vector<NoticeTarget> FindLost(const NoticeInput& input,
                                     TimePoint now) const;

  Term leader_term = 0;
  // Start of the time in which this leader could have received renewals.
  TimePoint leader_since;
  TimePoint last_call;
  struct LastNotice {
    TimePoint time;
    // Counts up, so that the turns of the notices of one call differ.
    std::uint64_t number = 0;
  };
  // Dropped after kRecordTime.
  std::map<Key, LastNotice> notified;
  std::uint64_t last_number = 0;
  // Times of the notices of the last kInterval, oldest first.
  std::deque<TimePoint> sent;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_NOTICE_PLANNER_H_
