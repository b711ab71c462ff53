#define BOOST_TEST_MODULE selector
#include <boost/test/unit_test.hpp>

#include "sycamorebend/selector.h"

namespace sycamorebend {

namespace {

bool Match(const std::string& selector, const std::string& labels) {
  return Selector::Parse(selector).value().Matches(ParseLabels(labels).value());
}

}  // namespace

BOOST_AUTO_TEST_CASE(EachOperatorMatches) {
  BOOST_TEST(Match("", "a=b"));
  BOOST_TEST(Match("a=b", "a=b,c=d"));
  BOOST_TEST(!Match("a=b", "a=x"));
  BOOST_TEST(!Match("a=b", ""));
  BOOST_TEST(Match("a!=b", ""));
  BOOST_TEST(!Match("a!=b", "a=b"));
  BOOST_TEST(Match("a in (x, y),c", "a=y,c=1"));
  BOOST_TEST(!Match("a in (x, y)", "a=z"));
  BOOST_TEST(Match("a notin (x,y)", "a=z"));
  BOOST_TEST(Match("!a", "c=1"));
  BOOST_TEST(!Match("!a", "a=1"));
}

// Guards against malformed selectors that are accepted with a wrong meaning.
BOOST_AUTO_TEST_CASE(MalformedSelectorsAreRefused) {
  for (const char* text : {"=b", "a=b,", "a within (x)", "a in x", "a in (x",
                           "a b", "a=b c", "!", "a in (x y)"}) {
    const auto selector = Selector::Parse(text);
    BOOST_TEST(!selector, text);
  }
}

BOOST_AUTO_TEST_CASE(MalformedLabelsAreRefused) {
  for (const char* text : {"a", "=b", "a=b,a=c", "a=b,,c=d", "a=b c"}) {
    BOOST_TEST(!ParseLabels(text), text);
  }
  BOOST_TEST(FormatLabels(ParseLabels("c=d,a=b").value()) == "a=b,c=d");
}

}  // namespace sycamorebend
