#include "net/http_writer.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::net {

namespace {

const std::vector<std::string> kValuesThatEndTheLine = {
    "a\r\n",
    "a\n",
    "a\r",
    "a\r\n\r\nGET /x HTTP/1.1\r\nHost: h",
    std::string("a\0b", 3),
    "a\x7f",
    "\x1f"};

}  // namespace

// Guards against a value from outside that cuts the head of a request: what
// follows it would be read as further headers, a body or another request.
BOOST_AUTO_TEST_CASE(RequestHeadWithALineEndInAFieldIsRefused) {
  for (const std::string& text : kValuesThatEndTheLine) {
    BOOST_TEST(!FormatRequestHead("GET", "/a", {{"Id", text}}, 0));
    BOOST_TEST(!FormatRequestHead("GET", "/a", {{text, "1"}}, 0));
    BOOST_TEST(!FormatRequestHead("GET", "/" + text, {}, 0));
    BOOST_TEST(!FormatRequestHead(text, "/a", {}, 0));
  }
  const auto refused = FormatRequestHead("GET", "/a", {{"Id", "x\n"}}, 0);
  BOOST_TEST((refused.error().code == ResultCode::kMalformedRequest));
  BOOST_TEST(refused.error().message.find("\"Id\"") != std::string::npos);
  for (const char* name : {"", "A B", "A:", "A\t", "\xc3\xa9"}) {
    BOOST_TEST(!FormatRequestHead("GET", "/a", {{name, "1"}}, 0));
  }
  for (const char* target : {"", "/a b", "/a\t"}) {
    BOOST_TEST(!FormatRequestHead("GET", target, {}, 0));
  }
}

// Guards against refusing values that a header can carry.
BOOST_AUTO_TEST_CASE(AllOtherValuesAreWritten) {
  std::string value = "\t";
  for (int byte = 0x20; byte <= 0xff; ++byte) {
    if (byte != 0x7f) {
      value.push_back(static_cast<char>(byte));
    }
  }
  const auto head = FormatRequestHead("POST", "/a%0D%0A?b=c&d=\xc3\xa9",
                                      {{"X-Id", value}, {"Empty", ""}}, 3);
  BOOST_REQUIRE(head);
  BOOST_TEST(head.value() ==
             "POST /a%0D%0A?b=c&d=\xc3\xa9 HTTP/1.1\r\nX-Id: " + value +
                 "\r\nEmpty: \r\nContent-Length: 3\r\n\r\n");
}

// Guards against a value that adds headers to a response, or ends its head.
BOOST_AUTO_TEST_CASE(ResponseHeadHasNoFieldWithALineEnd) {
  for (const std::string& text : kValuesThatEndTheLine) {
    BOOST_TEST(FormatResponseHead(200, {{"A", text}, {text, "1"}, {"B", "2"}},
                                  BodyFraming::kLength, 0, false) ==
               "HTTP/1.1 200 OK\r\nB: 2\r\nContent-Length: 0\r\n\r\n");
  }
}

}  // namespace sycamorebend::net
