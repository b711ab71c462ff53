#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <cstdlib>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 15]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

std::uint64_t StableHash64(std::string_view data) {
  // FNV-1a, then a finalizer, because rendezvous hashing compares whole values
  // and plain FNV-1a mixes the last bytes poorly.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char byte : data) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

std::string RandomId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    // Identifiers must be unique; there is no safe way to go on without them.
    std::abort();
  }
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace sycamorebend
