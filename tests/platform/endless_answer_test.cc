// Servers that send bytes without end, many at once.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "platform/busy_gateway.h"

namespace sycamorebend::platform {

namespace {

using gateway::Chunk;
using gateway::Contains;
using gateway::EventChunk;
using gateway::RawCaller;
using gateway::ReceivedRequest;
using gateway::ScriptedServer;
using gateway::Socket;

// Bounds that docs/gateway.md states for one request in work. A response that
// is no stream is kept until it is whole. Of a stream, one event, which may end
// in the middle of a read, is kept until it is whole and then until its caller
// has read it. Buffers may be twice as large as their content. Heads take less.
constexpr std::size_t kMaxBodyBytes = 1 << 20;
constexpr std::size_t kMaxEventBytes = 256 << 10;
constexpr std::size_t kMaxUnsentBytes = 1 << 20;
constexpr std::size_t kReadBytes = 64 << 10;
constexpr std::size_t kMaxBufferedBytes = 2 * (kMaxBodyBytes + kReadBytes);
constexpr std::size_t kMaxStreamBytes =
    2 * (kMaxUnsentBytes + 2 * (kMaxEventBytes + kReadBytes));
// Of the log, the metrics page and the state of connections.
constexpr std::size_t kMaxOtherBytes = 16 << 20;
constexpr std::size_t kPartBytes = 16 << 10;
// Callers drop what they have read after each of these.
constexpr int kReadMs = 100;

// Bytes that a faulty server sends: `begin`, then `part` again and again.
struct EndlessAnswer {
  std::string name;
  std::string begin;
  std::string part;
};

std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() < kPartBytes) {
    repeated += text;
  }
  return repeated;
}

std::vector<EndlessAnswer> AllAnswers() {
  const std::string filler = Repeat("x");
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string head = status + kSignature;
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string stream =
      head +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
      "\r\n\r\n";
  const std::string unframed = head + "Content-Type: text/event-stream\r\n\r\n";
  // After the events that a resumed stream already has.
  const std::string first = stream + EventChunk(7, "first");
  return {
      {"status line", "HTTP/1.1 200 ", filler},
      {"header name", status, filler},
      {"header value", status + "Other: ", filler},
      {"headers", status, Repeat("Other: " + filler + "\r\n")},
      {"short headers", status, Repeat("a:\r\n")},
      {"informational responses", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n")},
      {"large informational responses", "",
       "HTTP/1.1 103 Early Hints\r\nOther: " + filler + "\r\n\r\n"},
      {"chunk extension", chunked + "5;", filler},
      {"chunk extensions", chunked, "1;" + filler + "\r\nx\r\n"},
      {"extensions of chunks of a stream", stream, "1;" + filler + "\r\n:\r\n"},
      {"trailer", chunked + "0\r\n", "Other: " + filler + "\r\n"},
      {"empty chunks", chunked, Repeat("0\r\n\r\n")},
      {"body with a length", head + "Content-Length: 1000000000000\r\n\r\n",
       filler},
      {"body in chunks", chunked, Chunk(filler)},
      {"body without a length", head + "\r\n", filler},
      {"response to another request",
       head + "X-Sycamorebend-Request-Id: other\r\n"
              "Content-Length: 1000000000000\r\n\r\n",
       filler},
      {"lines before the first event", stream, Chunk(Repeat("other: x\n"))},
      {"line without its end", unframed + "data: ", filler},
      {"event", stream, Chunk(Repeat("data: x\n"))},
      {"event after another", first, Chunk(Repeat("data: x\n"))},
      {"comments before the first event", stream, Chunk(Repeat(": x\n\n"))},
      {"comments", first, Chunk(Repeat(": x\n\n"))},
      {"comment", first, Chunk(filler)},
      {"events without a number", first, Chunk(Repeat("data: x\n\n"))},
      {"events that the caller has", first,
       Chunk(Repeat("id: 1\ndata: x\n\n"))},
      {"bytes after a response", head + "Content-Length: 2\r\n\r\nok", filler},
      {"responses after a response", "",
       Repeat(head + "Content-Length: 2\r\n\r\nok")},
      {"bytes that are no response", "", filler}};
}

// Sends the answer that the path of the request names by its index. Breaks off
// the first attempt of a request that is to be resumed.
bool SendEndlessAnswer(const ReceivedRequest& request, Socket& socket) {
  static const std::vector<EndlessAnswer> kAnswers = AllAnswers();
  const std::size_t at = request.head.rfind('/', request.head.find(" HTTP"));
  const EndlessAnswer& answer =
      kAnswers[std::strtoul(request.head.c_str() + at + 1, nullptr, 10)];
  if (Contains(request.head, "/resumed/") &&
      request.Header("Last-Event-Id").empty()) {
    socket.Send(std::string("HTTP/1.1 200 OK\r\n") + kSignature +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                EventChunk(1, "one"));
    return false;
  }
  socket.Send(answer.begin);
  while (socket.Send(answer.part)) {
  }
  return false;
}

// A caller that reads all that it is sent, or nothing.
struct EndlessCaller {
  EndlessCaller(const std::string& address, std::string target, bool reads)
      : path(std::move(target)), reads(reads), socket(address) {
    this->socket.Send(fmt::format(
        "GET {} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
        "X-Sycamorebend-Deadline-Ms: 5000\r\n\r\n",
        this->path));
    if (this->reads) {
      this->thread = std::thread([this] {
        while (!this->stopping && !this->socket.Ended()) {
          this->received += this->socket.ReadToEnd(kReadMs).size();
        }
        this->ended = this->socket.Ended();
      });
    }
  }
  ~EndlessCaller() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  const std::string path;
  const bool reads;
  RawCaller socket;
  std::atomic<std::size_t> received{0};
  std::atomic<bool> ended{false};
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace

// Guards against faulty servers that take memory without end from a gateway,
// many at once and beside callers that do not read, and against requests that
// end with it.
BOOST_AUTO_TEST_CASE(ManyEndlessAnswersTakeBoundedMemory) {
  ScriptedServer first(SendEndlessAnswer);
  ScriptedServer second(SendEndlessAnswer);
  BusyGateway gateway;
  gateway.AddFaultyServer(first);
  gateway.AddFaultyServer(second);
  gateway.HoldRequests();
  const std::size_t before = gateway.Process().PeakMemory();
  const std::size_t files = gateway.Process().OpenFiles();

  const std::vector<EndlessAnswer> answers = AllAnswers();
  std::vector<std::unique_ptr<EndlessCaller>> callers;
  std::size_t allowed = kMaxOtherBytes;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    for (const char* const path : {"fa/x", "fn/x", "fs/x", "fs/resumed"}) {
      for (const bool reads : {true, false}) {
        callers.push_back(std::make_unique<EndlessCaller>(
            gateway.Address(), fmt::format("/{}/{}", path, i), reads));
        allowed += path[1] == 's' ? kMaxStreamBytes : kMaxBufferedBytes;
      }
    }
  }
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const EndlessCaller& caller = *callers[i];
    const std::string name = answers[i * answers.size() / callers.size()].name +
                             " at " + caller.path;
    const auto ended = [&] { return !caller.reads || caller.ended; };
    BOOST_TEST(WaitFor(ended, kStepTimeout), name);
    BOOST_TEST((!caller.reads || caller.received > 0), name);
  }
  BOOST_TEST(WaitFor([&] { return gateway.OpenRequests() == gateway.Held(); },
                     kStepTimeout),
             gateway.OpenRequests() << " requests in work");
  const std::size_t used = gateway.Process().PeakMemory() - before;
  BOOST_TEST_MESSAGE("memory: " << used << " bytes of " << allowed << " for "
                                << callers.size() << " requests");
  BOOST_TEST(used <= allowed);
  // Also those of callers that have not read.
  BOOST_TEST(WaitFor([&] { return gateway.Process().OpenFiles() <= files; },
                     kStepTimeout),
             gateway.Process().OpenFiles()
                 << " open files, at first " << files);
  gateway.CheckHeldRequests();
}

}  // namespace sycamorebend::platform
