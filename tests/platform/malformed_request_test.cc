// Requests with malformed headers at a gateway that has other requests in work.
#define BOOST_TEST_MODULE platform_malformed
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "case_count.h"
#include "platform/busy_gateway.h"

namespace sycamorebend::platform {

namespace {

using Random = std::mt19937;

// Of the configuration of PlatformFleet.
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr const char* kTokens = "X-Sycamorebend-Token-Usage";
constexpr const char* kPromptBlocks = "X-Sycamorebend-Prefix-Hash";
constexpr const char* kNoAnswer = "none";

std::size_t Draw(Random& random, std::size_t below) {
  return random() % below;
}

// One header with the values that a sound request and the malformed ones have.
struct HeaderValues {
  std::string name;
  std::string sound;
  std::vector<std::string> malformed;
};

const std::vector<std::string>& Numbers() {
  static const std::vector<std::string> kNumbers = {"0",
                                                    "-1",
                                                    "2147483647",
                                                    "2147483648",
                                                    "-2147483648",
                                                    "9223372036854775807",
                                                    "9223372036854775808",
                                                    "-9223372036854775808",
                                                    "18446744073709551616",
                                                    "1.5",
                                                    "nan",
                                                    "0x10",
                                                    "+1",
                                                    "1 1",
                                                    "ten"};
  return kNumbers;
}

// @return `format` with each number in the place of "{}".
std::vector<std::string> WithNumbers(std::string_view format) {
  std::vector<std::string> values;
  const std::size_t at = format.find("{}");
  for (const std::string& number : Numbers()) {
    values.push_back(std::string(format.substr(0, at)) + number +
                     std::string(format.substr(at + 2)));
  }
  return values;
}

std::string ManyBlocks(std::size_t bytes) {
  std::string blocks;
  while (blocks.size() < bytes) {
    blocks += fmt::format("{}{:x}:10", blocks.empty() ? "" : ",",
                          blocks.size() * 977);
  }
  return blocks;
}

std::vector<HeaderValues> AllHeaders() {
  const auto join = [](std::initializer_list<std::vector<std::string>> lists) {
    std::vector<std::string> all;
    for (const auto& list : lists) {
      all.insert(all.end(), list.begin(), list.end());
    }
    return all;
  };
  std::vector<HeaderValues> headers = {
      {"Host",
       "h.example",
       {":", "h.example:80", "other.example", "h.example."}},
      {kRequestId, "r", {",", "r,r", "\xff\xfe"}},
      {"X-Sycamorebend-Deadline-Ms", "3000", Numbers()},
      {"X-Sycamorebend-Model", "m", {",", "\xff\xfe"}},
      {kTokens, "1460,80",
       join({WithNumbers("{}"),
             WithNumbers("{},80"),
             WithNumbers("1460,{}"),
             {",", ",,", "1460,80,", "1460;80"}})},
      {kPromptBlocks, "5c1e07a2:800,e4402b7d:250",
       join({WithNumbers("{}"),
             WithNumbers("{}:10,a:10"),
             WithNumbers("a:{}"),
             WithNumbers("a:{},b:10"),
             {",", ",,", ":", "a:", ":5", "zz:5,a:5", "zz,:,a:,:5,,",
              ManyBlocks(kMaxHeaderBytes / 2), "a:1,a:1,a:1"}})},
      {"X-Sycamorebend-Length-Hint", "40", Numbers()},
      {"Last-Event-Id", "1", Numbers()},
      {"Authorization",
       "Bearer k1",
       {"Bearer", "Bearer ", "Bearer  k1", "Basic k1", "k1", "Bearer k1,k1"}}};
  for (HeaderValues& header : headers) {
    header.malformed.insert(header.malformed.end(),
                            {"", " ", std::string(kMaxHeaderBytes / 2, '1'),
                             std::string(kMaxHeaderBytes, '1'),
                             std::string(kMaxHeaderBytes * 5, ',')});
  }
  return headers;
}

enum class Fault { kMissing, kRepeated, kRepeatedWithOther, kValue };

// What is wrong with one header of a request.
struct Change {
  std::size_t header = 0;
  Fault fault = Fault::kMissing;
  std::size_t value = 0;  // Index of the malformed value.
};

// @return each fault of each header.
std::vector<Change> AllChanges(const std::vector<HeaderValues>& headers) {
  std::vector<Change> changes;
  for (std::size_t i = 0; i < headers.size(); ++i) {
    changes.push_back({i, Fault::kMissing, 0});
    changes.push_back({i, Fault::kRepeated, 0});
    for (std::size_t k = 0; k < headers[i].malformed.size(); ++k) {
      changes.push_back({i, Fault::kValue, k});
      changes.push_back({i, Fault::kRepeatedWithOther, k});
    }
  }
  return changes;
}

std::string FormatRequest(const std::vector<HeaderValues>& headers,
                          const std::vector<Change>& changes,
                          const std::string& target,
                          const std::string& body) {
  std::string text = fmt::format("POST {} HTTP/1.1\r\n", target);
  for (std::size_t i = 0; i < headers.size(); ++i) {
    const HeaderValues& header = headers[i];
    const auto change =
        std::find_if(changes.begin(), changes.end(),
                     [i](const Change& one) { return one.header == i; });
    std::vector<std::string> values = {header.sound};
    if (change != changes.end()) {
      switch (change->fault) {
        case Fault::kMissing:
          values.clear();
          break;
        case Fault::kRepeated:
          values.push_back(header.sound);
          break;
        case Fault::kRepeatedWithOther:
          values.push_back(header.malformed[change->value]);
          break;
        case Fault::kValue:
          values = {header.malformed[change->value]};
          break;
      }
    }
    for (const std::string& value : values) {
      text += fmt::format("{}: {}\r\n", header.name, value);
    }
  }
  return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string StatusOf(const std::string& answer) {
  constexpr std::size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
  return answer.size() < kStatusAt ? std::string(kNoAnswer)
                                   : answer.substr(kStatusAt, 3);
}

}  // namespace

// Guards against a generation whose prompt has no readable block and ends the
// process, with all requests that it has in work.
BOOST_AUTO_TEST_CASE(GenerationWithoutPromptBlocksIsServed) {
  BusyGateway gateway;
  gateway.HoldRequests();
  for (const char* const blocks :
       {"", "X-Sycamorebend-Prefix-Hash: \r\n",
        "X-Sycamorebend-Prefix-Hash: zz:5,a:5\r\n"}) {
    for (const char* const route : {"a", "n", "s"}) {
      const std::string answer = gateway.Send(fmt::format(
          "POST /{}/x HTTP/1.1\r\nHost: h.example\r\n{}: r\r\n{}: 1460,80\r\n"
          "{}Content-Length: 0\r\n\r\n",
          route, kRequestId, kTokens, blocks));
      BOOST_TEST(StatusOf(answer) == "200", route << " " << blocks);
      if (StatusOf(answer) == kNoAnswer) {
        return;
      }
    }
  }
  gateway.CheckHeldRequests();
}

// Guards against malformed headers, alone and together, that end the process,
// get no answer or harm requests in work.
BOOST_AUTO_TEST_CASE(MalformedHeadersAreAnswered) {
  const int cases = MalformedCaseCount();
  const unsigned seed = MalformedSeed();
  const std::vector<HeaderValues> headers = AllHeaders();
  std::vector<Change> changes = AllChanges(headers);
  Random random(seed);
  std::shuffle(changes.begin(), changes.end(), random);
  const std::vector<std::string> routes = {"/a/x", "/n/x", "/s/x", "/k/x",
                                           "/none"};
  const std::vector<std::string> allowed = {"200", "400", "401",
                                            "404", "431", "503"};
  BusyGateway gateway;
  gateway.HoldRequests();
  for (int i = 0; i < cases; ++i) {
    // By turns one fault, two and several.
    const std::size_t first = static_cast<std::size_t>(i) % changes.size();
    std::vector<Change> drawn = {changes[first]};
    for (int more = i % 3 == 2 ? 4 : i % 3; more > 0; --more) {
      drawn.push_back(changes[Draw(random, changes.size())]);
    }
    const std::string request =
        FormatRequest(headers, drawn, routes[Draw(random, routes.size())],
                      std::string(Draw(random, 2) * 100, 'x'));
    const std::string answer = gateway.Send(request);
    const std::string shown =
        fmt::format("seed {}, case {}: {}", seed, i, request.substr(0, 2000));
    const std::string status = StatusOf(answer);
    BOOST_TEST(std::count(allowed.begin(), allowed.end(), status) == 1,
               status << " for " << shown);
    if (status == kNoAnswer) {
      return;
    }
  }
  BOOST_TEST(gateway.Serves());
  gateway.CheckHeldRequests();
}

}  // namespace sycamorebend::platform
