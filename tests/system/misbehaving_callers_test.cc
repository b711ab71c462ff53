// Callers that do not respect the limits, against a gateway with the deployed
// settings and little memory. The tests check only what does not depend on the
// speed of the machine.
#define BOOST_TEST_MODULE misbehaving_callers
#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "net/socket_address.h"
#include "platform/busy_gateway.h"

namespace sycamorebend::platform {

namespace {

using gateway::Contains;

constexpr std::size_t kMegabyte = 1 << 20;
// The limits of the process. A gateway without callers takes about 15 MB.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMaxFiles = 256;
// `max_body_bytes` of the configuration.
constexpr std::size_t kMaxBodyBytes = 4 << 20;
// Clients of one kind. 30 bodies of 4 MiB take twice the memory allowed.
constexpr std::size_t kClients = 30;
constexpr std::size_t kIdleClients = 400;
// One-byte chunks take six bytes for each byte of their body.
constexpr std::size_t kOneByteBodyBytes = 3 << 20;
constexpr std::size_t kPartBytes = 64 << 10;
// A client that sends without end ends after this.
constexpr std::size_t kEndlessBytes = 16 << 20;
// Time for which clients that the gateway does not read are held. No check
// depends on it.
constexpr Duration kHoldTime = seconds(10);
constexpr int kPollMs = 20;
// Polls of the process's memory without a change, about 1.5 s.
constexpr int kSteadyPolls = 150;

// What a client sends: `begin`, then `part` up to `size` bytes in all. It then
// stays connected.
struct Kind {
  std::string name;
  std::string begin;
  std::string part;
  std::size_t size = 0;
  std::size_t clients = kClients;
};

std::string Head(const std::string& framing) {
  return "POST /a/x HTTP/1.1\r\nHost: h.example\r\n" + framing + "\r\n\r\n";
}

std::string Repeated(std::string_view text, std::size_t size) {
  std::string repeated;
  while (repeated.size() < size) {
    repeated += text;
  }
  return repeated;
}

std::vector<Kind> AllKinds() {
  const std::string chunked = Head("Transfer-Encoding: chunked");
  const std::string filler(kPartBytes, 'x');
  const std::string large = gateway::Chunk(filler);
  const std::string small = Repeated("1\r\nx\r\n", kPartBytes);
  return {
      {"large chunks", chunked, large, kMaxBodyBytes - kPartBytes},
      {"one-byte chunks", chunked, small, kOneByteBodyBytes * 6},
      {"announced and not completed",
       Head(fmt::format("Content-Length: {}", kMaxBodyBytes)), filler,
       kMaxBodyBytes - kPartBytes},
      {"chunks past the limit", chunked, large, kEndlessBytes},
      {"announced over the limit",
       Head(fmt::format("Content-Length: {}", kEndlessBytes)), filler,
       kEndlessBytes},
      {"head without end",
       "POST /a/x HTTP/1.1\r\nHost: h.example\r\nOther: ", "x", 8 << 10},
      {"connection only", "", "", 0, kIdleClients},
  };
}

// One client. It connects again when the gateway has closed its connection.
class Client {
 public:
  Client(const Kind& kind, const std::string& address)
      : kind(kind), address(address) {
    this->Connect();
  }
  ~Client() { close(this->fd); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  int Descriptor() const { return this->fd; }
  bool Sending() const { return this->sent < this->Size(); }
  // True once it has sent all or was refused.
  bool Done() const { return this->done; }

  void Send() {
    for (int i = 0; i < kPartsPerTurn && this->Sending(); ++i) {
      const std::string_view next = this->Next();
      const ssize_t size =
          send(this->fd, next.data(), next.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (size < 0) {
        break;
      }
      this->sent += static_cast<std::size_t>(size);
    }
    this->done = this->done || !this->Sending();
  }

  // Reads what the gateway has sent.
  void Receive() {
    char buffer[4096];
    const ssize_t size = recv(this->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR)) {
      this->done = true;
      close(this->fd);
      this->Connect();
    }
  }

 private:
  static constexpr int kPartsPerTurn = 8;

  std::size_t Size() const { return this->kind.begin.size() + this->kind.size; }

  std::string_view Next() const {
    if (this->sent < this->kind.begin.size()) {
      return std::string_view(this->kind.begin).substr(this->sent);
    }
    const std::size_t at = this->sent - this->kind.begin.size();
    return std::string_view(this->kind.part)
        .substr(at % this->kind.part.size(), this->Size() - this->sent);
  }

  void Connect() {
    sockaddr_in peer{};
    net::ParseAddress(this->address, peer);
    this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    connect(this->fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
    this->sent = 0;
  }

  const Kind& kind;
  const std::string address;
  int fd = -1;
  std::size_t sent = 0;
  std::atomic<bool> done{false};
};

// Clients that stay until the end of the test, on a thread of their own.
class Crowd {
 public:
  Crowd(std::vector<Kind> of_kinds, const std::string& address)
      : kinds(std::move(of_kinds)) {
    for (const Kind& kind : this->kinds) {
      for (std::size_t i = 0; i < kind.clients; ++i) {
        this->clients.push_back(std::make_unique<Client>(kind, address));
      }
    }
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Crowd() {
    this->stopping = true;
    this->thread.join();
  }

  // Waits until each client has sent its part or was refused. Those that the
  // gateway does not read are held for kHoldTime.
  void Settle() const {
    WaitFor(
        [this] {
          for (const auto& client : this->clients) {
            if (!client->Done()) {
              return false;
            }
          }
          return true;
        },
        kHoldTime);
  }

 private:
  void Run() {
    std::vector<pollfd> polled(this->clients.size());
    while (!this->stopping) {
      for (std::size_t i = 0; i < polled.size(); ++i) {
        const int wanted = POLLIN | (this->clients[i]->Sending() ? POLLOUT : 0);
        polled[i] = {this->clients[i]->Descriptor(), static_cast<short>(wanted),
                     0};
      }
      poll(polled.data(), polled.size(), kPollMs);
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if ((polled[i].revents & POLLOUT) != 0) {
          this->clients[i]->Send();
        }
        if ((polled[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
          this->clients[i]->Receive();
        }
      }
    }
  }

  const std::vector<Kind> kinds;
  std::vector<std::unique_ptr<Client>> clients;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

// Waits until the process has read what clients have sent: its peak memory has
// not changed for a while.
void WaitForSteadyMemory(const ChildProcess& process) {
  std::size_t peak = 0;
  int unchanged = 0;
  WaitFor(
      [&] {
        const std::size_t now = process.PeakMemory();
        unchanged = now == peak ? unchanged + 1 : 0;
        peak = now;
        return unchanged >= kSteadyPolls;
      },
      kHoldTime);
}

TemplateFields LowLimits() {
  return {{"limits.memory_mb", std::to_string(kMemoryMb)},
          {"limits.max_fds", std::to_string(kMaxFiles)}};
}

void CheckLimits(BusyGateway& gateway, const std::string& name) {
  BOOST_TEST(gateway.Process().Running(), name);
  const std::size_t memory = gateway.Process().PeakMemory();
  const std::size_t files = gateway.Process().OpenFiles();
  BOOST_TEST_MESSAGE(name << ": " << memory / kMegabyte << " MiB, " << files
                          << " descriptors");
  BOOST_TEST(memory <= kMemoryMb * kMegabyte, name);
  BOOST_TEST(files <= kMaxFiles, name);
}

// Runs a crowd and checks that the gateway keeps its limits and answers.
void CheckCrowd(const std::vector<Kind>& kinds, const std::string& name) {
  BusyGateway gateway(LowLimits());
  Crowd crowd(kinds, gateway.Address());
  crowd.Settle();
  WaitForSteadyMemory(gateway.Process());
  BOOST_TEST(WaitFor([&] { return gateway.Serves(); }, kStepTimeout), name);
  CheckLimits(gateway, name);
}

void CheckKind(const std::string& name) {
  for (const Kind& kind : AllKinds()) {
    if (kind.name == name) {
      CheckCrowd({kind}, name);
      return;
    }
  }
  BOOST_FAIL("unknown kind " << name);
}

}  // namespace

// Guards against bodies that stop short of their end and take all memory.
BOOST_AUTO_TEST_CASE(BodiesInLargeChunksThatStop) {
  CheckKind("large chunks");
}

// Guards against memory and time that each small chunk takes.
BOOST_AUTO_TEST_CASE(BodiesInOneByteChunksThatStop) {
  CheckKind("one-byte chunks");
}

// Guards against the same of bodies whose length is within the limit.
BOOST_AUTO_TEST_CASE(AnnouncedBodiesThatAreNotCompleted) {
  CheckKind("announced and not completed");
}

// Guards against bodies over the limit that are kept until their end.
BOOST_AUTO_TEST_CASE(ChunksPastTheLimit) {
  CheckKind("chunks past the limit");
}

BOOST_AUTO_TEST_CASE(AnnouncedBodiesOverTheLimit) {
  CheckKind("announced over the limit");
}

BOOST_AUTO_TEST_CASE(HeadsWithoutEnd) {
  CheckKind("head without end");
}

// Guards against callers that take the descriptors of servers and the feed.
BOOST_AUTO_TEST_CASE(MoreConnectionsThanDescriptors) {
  CheckKind("connection only");
}

BOOST_AUTO_TEST_CASE(AllKindsAtOnce) {
  CheckCrowd(AllKinds(), "all kinds");
}

// Guards against a planned stop that waits for stalled bodies.
BOOST_AUTO_TEST_CASE(PlannedStopBesideAllKinds) {
  BusyGateway gateway(LowLimits());
  Crowd crowd(AllKinds(), gateway.Address());
  crowd.Settle();
  WaitForSteadyMemory(gateway.Process());
  CheckLimits(gateway, "before the stop");
  gateway.Process().Signal(SIGTERM);
  BOOST_TEST(gateway.Process().WaitForExit(kStepTimeout) == 0);
}

// Guards against limits that a single request within them reaches.
BOOST_AUTO_TEST_CASE(LargestBodyInOneByteChunksIsServed) {
  BusyGateway gateway(LowLimits());
  gateway::RawCaller caller(gateway.Address());
  caller.Send(Head("Transfer-Encoding: chunked"));
  const std::string part = Repeated("1\r\nx\r\n", 6 * kPartBytes);
  for (std::size_t sent = 0; sent < kMaxBodyBytes; sent += kPartBytes) {
    caller.Send(part);
  }
  caller.Send("0\r\n\r\n");
  BOOST_TEST(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 200"));
  CheckLimits(gateway, "one body");
}

}  // namespace sycamorebend::platform
