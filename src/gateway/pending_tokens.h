// Prompt tokens that wait for prefill at a server, by the priority level of
// their request.
#ifndef SYCAMOREBEND_SRC_GATEWAY_PENDING_TOKENS_H_
#define SYCAMOREBEND_SRC_GATEWAY_PENDING_TOKENS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>

#include "gateway/routes.h"

namespace sycamorebend::gateway {

class PendingTokens {
 public:
  // Sums of the counts of many requests and gateways.
  using Count = std::int64_t;

  PendingTokens() = default;
  PendingTokens(int level, Count tokens) { this->Add(level, tokens); }

  // Levels outside of the range count as the nearest one.
  void Add(int level, Count tokens) { this->tokens[Index(level)] += tokens; }
  // Removes at most as many tokens as are counted.
  void Remove(int level, Count removed) {
    Count& counted = this->tokens[Index(level)];
    counted = std::max<Count>(0, counted - removed);
  }
  void Add(const PendingTokens& other, int sign = 1) {
    for (std::size_t i = 0; i < this->tokens.size(); ++i) {
      this->tokens[i] += sign * other.tokens[i];
    }
  }

  Count At(int level) const { return this->tokens[Index(level)]; }
  // @return the tokens that an engine prefills before those of a new request at
  // `level`: of requests at this level and at higher priorities.
  Count AheadOf(int level) const {
    const auto end = this->tokens.begin() + Index(level) + 1;
    return std::accumulate(this->tokens.begin(), end, Count{0});
  }
  Count Total() const { return this->AheadOf(kPriorityLevels - 1); }
  bool Empty() const {
    return std::all_of(this->tokens.begin(), this->tokens.end(),
                       [](Count count) { return count == 0; });
  }

 private:
  static int Index(int level) {
    return std::clamp(level, 0, kPriorityLevels - 1);
  }

  std::array<Count, kPriorityLevels> tokens{};
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_PENDING_TOKENS_H_
