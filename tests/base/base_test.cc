#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Guards against two codes or two events with the same number or name, which
// would make error bodies and logs ambiguous.
BOOST_AUTO_TEST_CASE(TablesAreOrderedAndUnique) {
  for (std::size_t i = 1; i < AllResultCodes().size(); ++i) {
    BOOST_TEST(static_cast<int>(AllResultCodes()[i - 1].code) <
               static_cast<int>(AllResultCodes()[i].code));
  }
  for (std::size_t i = 1; i < AllEvents().size(); ++i) {
    BOOST_TEST(static_cast<int>(AllEvents()[i - 1].event) <
               static_cast<int>(AllEvents()[i].event));
  }
}

// Guards against a hash that differs between builds: daemons compare it.
BOOST_AUTO_TEST_CASE(StableHashHasFixedValues) {
  BOOST_TEST(StableHash64("") == 0xefd01f60ba992926ULL);
  BOOST_TEST(StableHash64("a") != StableHash64("b"));
}

BOOST_AUTO_TEST_CASE(Sha256MatchesPublishedVector) {
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

}  // namespace sycamorebend
