#include "net/sse_splitter.h"

#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::net {

namespace {

struct CopiedEvent {
  std::string bytes;
  std::optional<std::int64_t> id;
  bool has_data;
  bool done;
};

void Collect(SseSplitter& splitter, std::vector<CopiedEvent>& events) {
  while (const auto event = splitter.Next()) {
    events.push_back(
        {std::string(event->bytes), event->id, event->has_data, event->done});
  }
}

std::vector<CopiedEvent> Split(const std::string& text) {
  SseSplitter splitter;
  std::vector<CopiedEvent> events;
  splitter.Append(text);
  Collect(splitter, events);
  return events;
}

}  // namespace

BOOST_AUTO_TEST_CASE(FieldsAreRead) {
  const auto events = Split(
      "id: 7\ndata: {\"a\":1}\n\n: comment\n\nid:8\r\ndata:x\r\n\r\n"
      "data: [DONE]\n\nidea: 9\ndata\n\nid: 10x\ndataset: 1\n\n");
  BOOST_REQUIRE(events.size() == 6U);
  BOOST_TEST(events[0].id.value_or(0) == 7);
  BOOST_TEST(events[0].has_data);
  BOOST_TEST(!events[0].done);
  BOOST_TEST(!events[1].has_data);
  BOOST_TEST(events[2].id.value_or(0) == 8);
  BOOST_TEST(events[2].has_data);
  BOOST_TEST(events[3].done);
  BOOST_TEST(!events[4].id.has_value());
  BOOST_TEST(events[4].has_data);
  BOOST_TEST(!events[5].id.has_value());
  BOOST_TEST(!events[5].has_data);
}

// Guards against an event stream that is not recognized by its media type,
// which does not depend on capital letters and parameters.
BOOST_AUTO_TEST_CASE(MediaTypeOfEventStreamIsRecognized) {
  for (const std::string type :
       {"text/event-stream", "Text/Event-Stream",
        "text/event-stream;charset=utf-8", "text/event-stream ; a=b"}) {
    BOOST_TEST(IsEventStream({{"content-type", type}}), type);
  }
  for (const std::string type :
       {"", "text/event-streams", "text/plain", "a; text/event-stream"}) {
    BOOST_TEST(!IsEventStream({{"Content-Type", type}}), type);
  }
  BOOST_TEST(!IsEventStream({}));
}

BOOST_AUTO_TEST_CASE(IncompleteEventIsNotReturned) {
  SseSplitter splitter;
  splitter.Append("data: 1\n\ndata: 2\n");
  BOOST_TEST(splitter.Next().has_value());
  BOOST_TEST(!splitter.Next().has_value());
  BOOST_TEST(splitter.PendingBytes() == 8U);
  splitter.Append("\n");
  BOOST_TEST(splitter.Next()->bytes == "data: 2\n\n");
  BOOST_TEST(splitter.PendingBytes() == 0U);
}

// Guards against events that depend on how the network splits the stream.
// Seed 20261204.
BOOST_AUTO_TEST_CASE(EventsDoNotDependOnChunkBoundaries) {
  std::mt19937 random(20261204);
  const std::vector<std::string> parts = {
      "id: 1\n", "data: {\"x\":\"é\"}\n", "\n",   "\r\n", ": c\n",
      "data:\n", "data: [DONE]\n",        "id\n", "\n\n", "event: error\r\n"};
  for (int round = 0; round < 500; ++round) {
    std::string text;
    const std::size_t count = random() % 40;
    for (std::size_t i = 0; i < count; ++i) {
      text += parts[random() % parts.size()];
    }
    const std::vector<CopiedEvent> expected = Split(text);
    SseSplitter splitter;
    std::vector<CopiedEvent> pieces;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t size = 1 + random() % 7;
      splitter.Append(std::string_view(text).substr(at, size));
      at += size;
      if (random() % 2 == 0) {
        Collect(splitter, pieces);
      }
    }
    Collect(splitter, pieces);
    BOOST_REQUIRE(expected.size() == pieces.size());
    std::string joined;
    for (std::size_t i = 0; i < expected.size(); ++i) {
      BOOST_REQUIRE(expected[i].bytes == pieces[i].bytes);
      BOOST_REQUIRE((expected[i].id == pieces[i].id));
      BOOST_REQUIRE(expected[i].done == pieces[i].done);
      joined += pieces[i].bytes;
    }
    // The events and the pending bytes together equal the input.
    BOOST_REQUIRE(joined == text.substr(0, joined.size()));
    BOOST_REQUIRE(joined.size() + splitter.PendingBytes() == text.size());
  }
}

}  // namespace sycamorebend::net
