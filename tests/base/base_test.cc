#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Guards against a process that stands still because nobody reads its log.
BOOST_AUTO_TEST_CASE(StoppedLogReaderCostsLinesOnly) {
  int ends[2] = {-1, -1};
  BOOST_REQUIRE(pipe(ends) == 0);
  SetLogDescriptor(ends[1]);
  constexpr int kLines = 5000;
  for (int i = 0; i < kLines; ++i) {
    LogEvent(Severity::kInfo, Event::kListening, {{"line", i}});
  }
  std::string text(1 << 20, '\0');
  BOOST_REQUIRE(read(ends[0], text.data(), text.size()) > 0);
  LogEvent(Severity::kInfo, Event::kListening);
  const ssize_t size = read(ends[0], text.data(), text.size());
  const int flags = fcntl(STDERR_FILENO, F_GETFL);
  SetLogDescriptor(STDERR_FILENO);
  fcntl(STDERR_FILENO, F_SETFL, flags);
  close(ends[0]);
  close(ends[1]);
  text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  BOOST_TEST(text.find("\"lost_lines\":") != std::string::npos);
}

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
