#include "controld/notice_planner.h"

#include <algorithm>
#include <iterator>

namespace sycamorebend {

namespace {

// Plan is due every 200 ms. A longer gap means that the process was paused, or
// did not lead.
constexpr Duration kMaxCallGap = seconds(1);

}  // namespace

void NoticePlanner::FindLeadershipStart(Term term, TimePoint now) {
  const bool paused = now - this->last_call > kMaxCallGap;
  this->last_call = now;
  // The renewals sent during a pause or to an earlier leader have not been
  // received.
  if (this->leader_term != term || paused) {
    this->leader_term = term;
    this->leader_since = now;
  }
}

std::vector<NoticeTarget> NoticePlanner::FindLost(const NoticeInput& input,
                                                  TimePoint now) const {
  std::vector<std::pair<TimePoint, const EntryInfo*>> silent;
  for (const EntryInfo& entry : input.shared.entries) {
    const auto renewal = input.renewals.find(entry.entry_id);
    const TimePoint last = renewal == input.renewals.end()
                               ? this->leader_since
                               : std::max(renewal->second, this->leader_since);
    if (!entry.notice_address.empty() && now - last > kSilentAfter) {
      silent.emplace_back(last, &entry);
    }
  }
  std::stable_sort(
      silent.begin(), silent.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<NoticeTarget> lost;
  lost.reserve(silent.size() + input.lost.entries.size() +
               input.lost.replicas.size());
  // Few, and each may be needed for a quorum.
  for (auto former = input.lost.replicas.rbegin();
       former != input.lost.replicas.rend(); ++former) {
    lost.push_back(
        {NoticeTarget::Kind::kReplica, former->address, former->address});
  }
  for (const auto& [last, entry] : silent) {
    lost.push_back(
        {NoticeTarget::Kind::kEntry, entry->entry_id, entry->notice_address});
  }
  for (auto expired = input.lost.entries.rbegin();
       expired != input.lost.entries.rend(); ++expired) {
    lost.push_back({NoticeTarget::Kind::kEntry, expired->entry_id,
                    expired->notice_address});
  }
  return lost;
}

std::vector<NoticeTarget> NoticePlanner::Plan(const NoticeInput& input,
                                              TimePoint now) {
  this->FindLeadershipStart(input.term, now);
  while (!this->sent.empty() && now - this->sent.front() >= kInterval) {
    this->sent.pop_front();
  }
  for (auto record = this->notified.begin(); record != this->notified.end();) {
    record = now - record->second.time >= kRecordTime
                 ? this->notified.erase(record)
                 : std::next(record);
  }
  // With the number of the last notice; 0 without one.
  std::vector<std::pair<std::uint64_t, NoticeTarget>> due;
  for (NoticeTarget& target : this->FindLost(input, now)) {
    const auto record = this->notified.find({target.kind, target.id});
    target.first = record == this->notified.end();
    if (target.first) {
      due.emplace_back(0, std::move(target));
    } else if (now - record->second.time >= kInterval) {
      due.emplace_back(record->second.number, std::move(target));
    }
  }
  std::stable_sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
    return a.first < b.first;
  });
  std::vector<NoticeTarget> chosen;
  for (auto& [last, target] : due) {
    if (this->sent.size() >= kMaxNotices) {
      break;
    }
    this->sent.push_back(now);
    this->notified[{target.kind, target.id}] = {now, ++this->last_number};
    chosen.push_back(std::move(target));
  }
  return chosen;
}

}  // namespace sycamorebend
