#include <algorithm>

#include "sycamorebend/membership.h"

namespace sycamorebend {

namespace {

void Rotate(std::vector<std::string>& addresses, std::uint64_t rotation) {
  if (!addresses.empty()) {
    const auto shift = static_cast<std::ptrdiff_t>(rotation % addresses.size());
    std::rotate(addresses.begin(), addresses.begin() + shift, addresses.end());
  }
}

}  // namespace

std::vector<std::string> ListCallerAddresses(
    const std::vector<EntryInfo>& entries,
    const std::string& failure_domain,
    std::uint64_t rotation) {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const EntryInfo& entry : entries) {
    if (!entry.draining) {
      (entry.failure_domain == failure_domain ? local : remote)
          .push_back(entry.address);
    }
  }
  Rotate(local, rotation);
  Rotate(remote, rotation);
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

}  // namespace sycamorebend
