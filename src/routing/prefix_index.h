// Which servers hold which prompt prefixes in their caches.
#ifndef ROUTING_PREFIX_INDEX_H_
#define ROUTING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

// A hint: events come late and with gaps, so a hit can be wrong in both
// directions and only changes which server is preferred.
class PrefixIndex {
 public:
  struct Match {
    std::size_t blocks = 0;
    // Servers that hold the longest known prefix; empty if none does.
    const std::vector<ServerIndex>* servers = nullptr;
  };

  void Add(ServerIndex server, std::uint64_t hash);
  void Remove(ServerIndex server, std::uint64_t hash);
  void Clear(ServerIndex server);

  // @param hashes prefixes by increasing length.
  Match Find(const std::vector<std::uint64_t>& hashes) const;
  std::size_t Size(ServerIndex server) const;

 private:
  // Entries for one server, so that a server which reports no removals cannot
  // grow the index without limit.
  static constexpr std::size_t kMaxEntries = 8192;

  std::unordered_map<std::uint64_t, std::vector<ServerIndex>> holders;
  std::unordered_map<ServerIndex, std::unordered_set<std::uint64_t>> by_server;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_PREFIX_INDEX_H_
