#include <algorithm>
#include <map>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

struct Candidate {
  std::uint64_t weight;
  std::string address;
};

// Rendezvous order: the highest weight first. Equal weights are ordered by
// address, so that every daemon computes the same order.
void SortByWeight(std::vector<Candidate>& candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.weight != b.weight ? a.weight > b.weight
                                          : a.address < b.address;
            });
}

}  // namespace

std::vector<std::string> ChooseReportTargets(
    const std::string& server_id,
    const std::string& failure_domain,
    const std::vector<EntryInfo>& entries,
    std::size_t fanout) {
  std::vector<std::string> targets;
  if (entries.size() <= fanout) {
    for (const EntryInfo& entry : entries) {
      targets.push_back(entry.address);
    }
    return targets;
  }
  std::vector<Candidate> near;
  std::map<std::string, std::vector<Candidate>> far;
  for (const EntryInfo& entry : entries) {
    Candidate candidate{StableHash64(server_id + '\n' + entry.entry_id),
                        entry.address};
    (entry.failure_domain == failure_domain ? near : far[entry.failure_domain])
        .push_back(std::move(candidate));
  }
  SortByWeight(near);
  // The far candidates in turns: the best of each failure domain, then the
  // second best of each, and so on.
  std::vector<Candidate> turns;
  for (std::size_t turn = 0; turns.size() < fanout; ++turn) {
    std::vector<Candidate> round;
    for (auto& [domain, candidates] : far) {
      if (turn == 0) {
        SortByWeight(candidates);
      }
      if (turn < candidates.size()) {
        round.push_back(candidates[turn]);
      }
    }
    if (round.empty()) {
      break;
    }
    SortByWeight(round);
    turns.insert(turns.end(), round.begin(), round.end());
  }
  const std::size_t near_wanted = (fanout + 1) / 2;
  const std::size_t far_count =
      std::min(turns.size(), fanout - std::min(near.size(), near_wanted));
  const std::size_t near_count = std::min(near.size(), fanout - far_count);
  for (std::size_t i = 0; i < near_count; ++i) {
    targets.push_back(near[i].address);
  }
  for (std::size_t i = 0; i < far_count; ++i) {
    targets.push_back(turns[i].address);
  }
  return targets;
}

}  // namespace sycamorebend
