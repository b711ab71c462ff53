// Index of the prompt prefixes cached by each server.
#ifndef ROUTING_PREFIX_INDEX_H_
#define ROUTING_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/request.h"

namespace sycamorebend::internal {

// The index is approximate, because cache events arrive late and some are lost.
// A match therefore only influences which server is preferred.
class PrefixIndex {
 public:
  struct Match {
    std::size_t blocks = 0;
    // Servers that cache the longest known prefix; nullptr if none does.
    const std::vector<ServerIndex>* servers = nullptr;
  };

  void Add(ServerIndex server, std::uint64_t hash);
  void Remove(ServerIndex server, std::uint64_t hash);
  void Clear(ServerIndex server);

  // @param hashes prefixes by increasing length.
  Match Find(const std::vector<std::uint64_t>& hashes) const;
  std::size_t Size(ServerIndex server) const;

 private:
  // Limit per server, so that a server that never reports removals cannot grow
  // the index without bound.
  static constexpr std::size_t kMaxEntries = 8192;

  std::unordered_map<std::uint64_t, std::vector<ServerIndex>> holders;
  std::unordered_map<ServerIndex, std::unordered_set<std::uint64_t>> by_server;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_PREFIX_INDEX_H_
