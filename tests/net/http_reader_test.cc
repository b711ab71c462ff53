#include "net/http_reader.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::net {

namespace {

constexpr std::size_t kHeadBytes = 512;

// Records the messages that a reader parses.
class Recorder : public MessageSink {
 public:
  explicit Recorder(HttpReader::Kind kind) : reader(kind, *this, kHeadBytes) {}

  // Passes `data`, which may hold several messages, in chunks of `size` bytes.
  void Feed(const std::string& data, std::size_t size) {
    for (std::size_t at = 0; at < data.size(); at += size) {
      std::string_view piece = std::string_view(data).substr(at, size);
      while (!piece.empty() && !this->reader.Failed()) {
        piece.remove_prefix(this->reader.Read(piece));
      }
    }
  }

  bool OnHead(MessageHead head) override {
    this->heads.push_back(std::move(head));
    this->bodies.emplace_back();
    return true;
  }
  void OnBody(std::string_view data) override {
    this->bodies.back().append(data);
  }
  void OnMessageEnd() override { ++this->ended; }

  std::vector<MessageHead> heads;
  std::vector<std::string> bodies;
  int ended = 0;
  HttpReader reader;
};

constexpr auto kRequest = HttpReader::Kind::kRequest;
constexpr auto kResponse = HttpReader::Kind::kResponse;

}  // namespace

// Guards against parse results that depend on how the network splits messages.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreParsedInChunksOfAnySize) {
  const std::string data =
      "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;ext=1\r\nde\r\n0\r\nTrailer: t\r\n\r\n"
      "GET /c HTTP/1.1\r\nHost: h\r\n\r\n";
  for (std::size_t size = 1; size <= data.size(); ++size) {
    Recorder recorder(kRequest);
    recorder.Feed(data, size);
    BOOST_TEST(!recorder.reader.Failed());
    BOOST_TEST(recorder.ended == 3);
    BOOST_REQUIRE(recorder.heads.size() == 3U);
    BOOST_TEST(recorder.heads[0].target == "/a?x=1");
    BOOST_TEST(recorder.heads[0].Path() == "/a");
    BOOST_TEST(recorder.bodies[0] == "hello");
    BOOST_TEST(recorder.bodies[1] == "abcde");
    BOOST_TEST(recorder.heads[2].method == "GET");
  }
}

// Guards against request smuggling: a request hidden in the body of another
// when two parsers disagree about the body's length.
BOOST_AUTO_TEST_CASE(AmbiguousLengthsAreRejected) {
  const std::vector<std::string> ambiguous = {
      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
      "Content-Length: 4\r\nContent-Length: 9\r\n",
      "Content-Length: 4, 9\r\n",
      "Content-Length: -4\r\n",
      "Content-Length: 4x\r\n",
      "Content-Length: 99999999999999999999999\r\n",
  };
  for (const std::string& headers : ambiguous) {
    Recorder recorder(kRequest);
    recorder.Feed("POST /a HTTP/1.1\r\nHost: h\r\n" + headers +
                      "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n",
                  1000);
    BOOST_TEST(recorder.reader.Failed(), headers);
    for (const MessageHead& head : recorder.heads) {
      BOOST_TEST(head.target != "/hidden", headers);
    }
  }
}

// Guards against a caller that exhausts memory with headers.
BOOST_AUTO_TEST_CASE(LongHeadIsRejected) {
  for (const std::size_t size : {1, 1000}) {
    Recorder recorder(kRequest);
    recorder.Feed(
        "GET /a HTTP/1.1\r\nX: " + std::string(kHeadBytes, 'x') + "\r\n\r\n",
        size);
    BOOST_TEST(recorder.reader.Failed());
    BOOST_TEST(recorder.reader.HeadTooLarge());
    BOOST_TEST(recorder.heads.empty());
  }
}

// Guards against a body that arrives in one large read, as after a pipelined
// request, and is taken for framing without end.
BOOST_AUTO_TEST_CASE(LargeBodyInOneReadIsAccepted) {
  struct Sink : MessageSink {
    bool OnHead(MessageHead) override { return true; }
    void OnBody(std::string_view data) override { this->bytes += data.size(); }
    void OnMessageEnd() override { this->ended = true; }
    std::size_t bytes = 0;
    bool ended = false;
  };
  Sink sink;
  HttpReader reader(HttpReader::Kind::kRequest, sink, 1024);
  const std::string body(200000, 'b');
  const std::string text =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + body;
  const std::string_view bytes = text;
  reader.Read(bytes.substr(0, 150000));
  reader.Read(bytes.substr(150000));
  BOOST_TEST(!reader.Failed());
  BOOST_TEST(sink.ended);
  BOOST_TEST(sink.bytes == body.size());
}

// Guards against a truncated response that appears complete.
BOOST_AUTO_TEST_CASE(TruncatedResponseDoesNotEnd) {
  const std::vector<std::string> truncated = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const std::string& data : truncated) {
    Recorder recorder(kResponse);
    recorder.Feed(data, 7);
    recorder.reader.End();
    BOOST_TEST(recorder.ended == 0, data);
    BOOST_TEST(recorder.reader.Failed(), data);
  }
}

// Guards against a response without a length that never ends, or that ends
// before its connection does.
BOOST_AUTO_TEST_CASE(ResponseWithoutLengthEndsAtConnectionClose) {
  Recorder recorder(kResponse);
  recorder.Feed("HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome", 3);
  recorder.Feed(" more", 2);
  BOOST_TEST(recorder.ended == 0);
  BOOST_REQUIRE(recorder.heads.size() == 1U);
  BOOST_TEST((recorder.heads[0].framing == BodyFraming::kUntilClose));
  recorder.reader.End();
  BOOST_TEST(recorder.ended == 1);
  BOOST_TEST(recorder.bodies[0] == "some more");
}

// Guards against waiting for a body that the response can't have.
BOOST_AUTO_TEST_CASE(ResponsesWithoutBodyEndAfterHead) {
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    Recorder recorder(kResponse);
    recorder.Feed("HTTP/1.1 " + status + "\r\n\r\n", 4);
    BOOST_TEST(recorder.ended == 1, status);
  }
  Recorder head(kResponse);
  head.reader.ExpectNoBody(true);
  head.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", 4);
  BOOST_TEST(head.ended == 1);
}

// Guards against extensions without end that belong to chunks of one byte, and
// against small chunks that are taken for them.
BOOST_AUTO_TEST_CASE(ChunksWithMoreFramingThanBodyAreBounded) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string extension(200, 'x');
  Recorder endless(kResponse);
  endless.Feed(head, head.size());
  int chunks = 0;
  for (; chunks < 1000 && !endless.reader.Failed(); ++chunks) {
    endless.Feed("1;" + extension + "\r\nx\r\n", 100);
  }
  BOOST_TEST(chunks < 20);
  Recorder small(kResponse);
  small.Feed(head, head.size());
  for (int i = 0; i < 10000; ++i) {
    small.Feed("1;a=b\r\nx\r\n", 100);
  }
  BOOST_TEST(!small.reader.Failed());
  BOOST_TEST(small.bodies[0].size() == 10000U);
}

// Guards against treating an informational (1xx) response as the final one.
BOOST_AUTO_TEST_CASE(InformationalResponsesAreSkipped) {
  Recorder recorder(kResponse);
  recorder.Feed(
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
      5);
  BOOST_TEST(recorder.ended == 1);
  BOOST_REQUIRE(recorder.heads.size() == 1U);
  BOOST_TEST(recorder.heads[0].status == 200);
  BOOST_TEST(recorder.bodies[0] == "ok");
}

// Guards against accepting data that isn't HTTP/1, and CONNECT tunnels.
BOOST_AUTO_TEST_CASE(OtherProtocolsAreRejected) {
  for (const std::string data :
       {"\x16\x03\x01\x02", "HELLO\r\n\r\n", "GET /a HTTP/9.9\r\n\r\n",
        "CONNECT h:1 HTTP/1.1\r\n\r\n"}) {
    Recorder recorder(kRequest);
    recorder.Feed(data, 100);
    BOOST_TEST(recorder.reader.Failed(), data);
    BOOST_TEST(recorder.ended == 0, data);
  }
}

// Guards against a response whose status is no status code, and that is passed
// on, or awaited further as an informational one.
BOOST_AUTO_TEST_CASE(InvalidStatusIsRejected) {
  for (const char* const status :
       {"000", "099", "001", "600", "999", "20", "2", "0200", "2000", "+200",
        "-200", " 200", "20x", "0x1", "2 0", "", "OK"}) {
    for (const std::size_t size : {1, 4, 1000}) {
      Recorder recorder(kResponse);
      recorder.Feed("HTTP/1.1 " + std::string(status) +
                        " Status\r\nContent-Length: 0\r\n\r\n",
                    size);
      BOOST_TEST(recorder.reader.Failed(),
                 "\"" << status << "\" in pieces of " << size);
      BOOST_TEST(recorder.heads.empty(), status);
    }
  }
}

// Guards against rejecting the status codes of sound responses, alone and after
// others on the same connection.
BOOST_AUTO_TEST_CASE(ValidStatusIsRead) {
  const std::string data =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\na"
      "\r\nHTTP/1.1 599 Late\r\nContent-Length: 0\r\n\r\n"
      "HTTP/1.0 404 \r\nContent-Length: 0\r\n\r\n";
  for (std::size_t size = 1; size <= data.size(); ++size) {
    Recorder recorder(kResponse);
    recorder.Feed(data, size);
    BOOST_TEST(!recorder.reader.Failed(), size);
    BOOST_REQUIRE(recorder.heads.size() == 3U);
    BOOST_TEST(recorder.heads[0].status == 200);
    BOOST_TEST(recorder.heads[1].status == 599);
    BOOST_TEST(recorder.heads[2].status == 404);
  }
}

}  // namespace sycamorebend::net
