#include "routing/prefix_index.h"

#include <algorithm>

namespace sycamorebend::internal {

void PrefixIndex::Add(ServerIndex server, std::uint64_t hash) {
  auto& own = this->by_server[server];
  if (own.size() < kMaxEntries && own.insert(hash).second) {
    this->holders[hash].push_back(server);
  }
}

void PrefixIndex::Remove(ServerIndex server, std::uint64_t hash) {
  const auto own = this->by_server.find(server);
  if (own == this->by_server.end() || own->second.erase(hash) == 0) {
    return;
  }
  const auto found = this->holders.find(hash);
  auto& servers = found->second;
  servers.erase(std::remove(servers.begin(), servers.end(), server),
                servers.end());
  if (servers.empty()) {
    this->holders.erase(found);
  }
}

void PrefixIndex::Clear(ServerIndex server) {
  const auto own = this->by_server.find(server);
  if (own == this->by_server.end()) {
    return;
  }
  const std::vector<std::uint64_t> hashes(own->second.begin(),
                                          own->second.end());
  for (const std::uint64_t hash : hashes) {
    this->Remove(server, hash);
  }
  this->by_server.erase(server);
}

PrefixIndex::Match PrefixIndex::Find(
    const std::vector<std::uint64_t>& hashes) const {
  // A server that caches a prefix also caches all shorter ones, unless events
  // were lost, so a binary search finds the longest known prefix.
  Match match;
  std::size_t low = 0;
  std::size_t high = hashes.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    const auto found = this->holders.find(hashes[middle]);
    if (found == this->holders.end()) {
      high = middle;
    } else {
      match = {middle + 1, &found->second};
      low = middle + 1;
    }
  }
  return match;
}

std::size_t PrefixIndex::Size(ServerIndex server) const {
  const auto own = this->by_server.find(server);
  return own == this->by_server.end() ? 0 : own->second.size();
}

}  // namespace sycamorebend::internal
