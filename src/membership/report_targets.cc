#include <algorithm>
#include <map>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

struct Candidate {
  std::uint64_t weight;
  std::string address;
};

// Sorts by descending weight. Ties are broken by address, so that every process
// computes the same order.
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
  std::vector<Candidate> local;
  std::map<std::string, std::vector<Candidate>> remote;
  for (const EntryInfo& entry : entries) {
    Candidate candidate{StableHash64(server_id + '\n' + entry.entry_id),
                        entry.address};
    (entry.failure_domain == failure_domain ? local
                                            : remote[entry.failure_domain])
        .push_back(std::move(candidate));
  }
  SortByWeight(local);
  // Round-robin over the remote failure domains: the best candidate of each
  // domain, then the second best of each, and so on.
  std::vector<Candidate> remote_in_turn;
  for (std::size_t rank = 0; remote_in_turn.size() < fanout; ++rank) {
    std::vector<Candidate> round;
    for (auto& [domain, candidates] : remote) {
      if (rank == 0) {
        SortByWeight(candidates);
      }
      if (rank < candidates.size()) {
        round.push_back(candidates[rank]);
      }
    }
    if (round.empty()) {
      break;
    }
    SortByWeight(round);
    remote_in_turn.insert(remote_in_turn.end(), round.begin(), round.end());
  }
  const std::size_t wanted_local = (fanout + 1) / 2;
  const std::size_t remote_count = std::min(
      remote_in_turn.size(), fanout - std::min(local.size(), wanted_local));
  const std::size_t local_count = std::min(local.size(), fanout - remote_count);
  for (std::size_t i = 0; i < local_count; ++i) {
    targets.push_back(local[i].address);
  }
  for (std::size_t i = 0; i < remote_count; ++i) {
    targets.push_back(remote_in_turn[i].address);
  }
  return targets;
}

}  // namespace sycamorebend
