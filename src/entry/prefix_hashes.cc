#include "entry/prefix_hashes.h"

namespace sycamorebend::entry {

namespace {

// The finalizer of StableHash64.
std::uint64_t Finalize(std::uint64_t hash) {
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace

std::vector<std::uint64_t> HashPrefixes(std::string_view prompt) {
  // Keeps the FNV-1a state of StableHash64 from block to block. Calling
  // StableHash64 for each prefix would read a 64 KiB prompt 128 times over.
  // A test checks that the hashes are equal.
  std::vector<std::uint64_t> hashes;
  std::uint64_t state = 0xcbf29ce484222325ULL;
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    state ^= static_cast<unsigned char>(prompt[i]);
    state *= 0x100000001b3ULL;
    if ((i + 1) % kPrefixBlockBytes == 0) {
      hashes.push_back(Finalize(state));
      if (hashes.size() == kMaxPrefixBlocks) {
        break;
      }
    }
  }
  return hashes;
}

}  // namespace sycamorebend::entry
