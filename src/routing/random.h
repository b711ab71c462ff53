// Xorshift random number generator for tie-breaking. The same seed gives the
// same decisions.
#ifndef ROUTING_RANDOM_H_
#define ROUTING_RANDOM_H_

#include <cstdint>

namespace sycamorebend::internal {

class Random {
 public:
  explicit Random(std::uint64_t seed)
      : state(seed * 0x9E3779B97F4A7C15ULL + 1) {}

  std::uint64_t Next() {
    this->state ^= this->state << 13;
    this->state ^= this->state >> 7;
    this->state ^= this->state << 17;
    return this->state;
  }

  // @return a number in [0, 1).
  float Unit() {
    constexpr float kScale = 1.0F / (1 << 24);
    return static_cast<float>(this->Next() >> 40) * kScale;
  }

 private:
  std::uint64_t state;
};

}  // namespace sycamorebend::internal

#endif  // ROUTING_RANDOM_H_
