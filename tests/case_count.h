// Number of cases of the tests with generated input.
#ifndef SYCAMOREBEND_TESTS_CASE_COUNT_H_
#define SYCAMOREBEND_TESTS_CASE_COUNT_H_

#include <cstdlib>

namespace sycamorebend {

// @return the number in an environment variable, or `fallback` if it is not
// set.
inline int ReadNumberVariable(const char* variable, int fallback) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? fallback : std::atoi(text);
}

// @return $SB_MALFORMED_CASES, or as many as CI runs.
inline int MalformedCaseCount() {
  constexpr int kDefaultCases = 300;
  return ReadNumberVariable("SB_MALFORMED_CASES", kDefaultCases);
}

// @return $SB_MALFORMED_SEED, or the seed that CI uses.
inline unsigned MalformedSeed() {
  return static_cast<unsigned>(ReadNumberVariable("SB_MALFORMED_SEED", 1));
}

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_CASE_COUNT_H_
