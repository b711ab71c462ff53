// Hashes of a prompt's prefixes, for routing to servers that cache them.
#ifndef SYCAMOREBEND_SRC_ENTRY_PREFIX_HASHES_H_
#define SYCAMOREBEND_SRC_ENTRY_PREFIX_HASHES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace sycamorebend::entry {

// Each prefix is this much longer than the one before.
inline constexpr std::size_t kPrefixBlockBytes = 256;
// Longer prompts are compared by their first 64 KiB only.
inline constexpr std::size_t kMaxPrefixBlocks = 256;

// @return StableHash64 of the first n * kPrefixBlockBytes bytes of `prompt`,
// for n = 1, 2, and so on up to kMaxPrefixBlocks. Takes one pass over the
// prompt.
std::vector<std::uint64_t> HashPrefixes(std::string_view prompt);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_PREFIX_HASHES_H_
