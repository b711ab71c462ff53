#define BOOST_TEST_MODULE http
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

using Route = std::function<void(std::shared_ptr<HttpExchange>)>;

class RoutingHandler : public HttpHandler {
 public:
  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    const auto route = this->routes.find(exchange->Request().path);
    if (route == this->routes.end()) {
      exchange->Respond(404, {}, "");
      return;
    }
    route->second(std::move(exchange));
  }

  std::map<std::string, Route> routes;
};

struct Fixture {
  Fixture() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_body_bytes = 1 << 20;
    options.receive_timeout = seconds(2);
    this->server = std::move(HttpServer::Start(options, handler).value());
  }

  HttpCall MakeCall(const std::string& path) const {
    HttpCall call;
    call.url = "http://" + this->server->Address() + path;
    return call;
  }

  // Opens a connection and sends `text`.
  int Connect(const std::string& text) const {
    const std::string address = this->server->Address();
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1))));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target));
    send(fd, text.data(), text.size(), 0);
    return fd;
  }

  RoutingHandler handler;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(2);
};

// Waits for a slow caller as long as a test may take.
struct PatientServer : Fixture {
  PatientServer() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.max_body_bytes = 1 << 20;
    options.receive_timeout = seconds(600);
    this->server = std::move(HttpServer::Start(options, handler).value());
  }
};

// @return false if the connection is reset.
bool SendAll(int fd, std::string_view data) {
  // Data that the peer does not read blocks, instead of being buffered here.
  const int buffer_bytes = 16 << 10;
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
  while (!data.empty()) {
    const ssize_t size = send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (size < 0) {
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

std::string ReadToEnd(int fd) {
  std::string text;
  char buffer[4096];
  for (ssize_t size = 0; (size = recv(fd, buffer, sizeof(buffer), 0)) > 0;) {
    text.append(buffer, static_cast<std::size_t>(size));
  }
  return text;
}

std::string ReadAll(int fd) {
  std::string text = ReadToEnd(fd);
  close(fd);
  return text;
}

// Gives the exchange to the test.
struct Capture {
  Route AsRoute() {
    return [this](std::shared_ptr<HttpExchange> exchange) {
      this->arrived.set_value(std::move(exchange));
    };
  }
  std::promise<std::shared_ptr<HttpExchange>> arrived;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(WholeAnswerEchoesBody, Fixture) {
  handler.routes["/echo"] = [](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {{"X-Test", "1"}}, exchange->Request().body);
  };
  HttpCall call = MakeCall("/echo");
  call.method = "POST";
  call.body = std::string(300000, 'x');
  const HttpResponse response = client->Fetch(call).value();
  BOOST_TEST(response.status == 200);
  BOOST_TEST(response.body == call.body);
  BOOST_TEST(FindHeader(response.headers, "x-test").value_or("") == "1");
}

// Guards against bodies that stop short of their end and take all memory, and
// against a request in the limits that is refused beside them.
BOOST_FIXTURE_TEST_CASE(StalledBodiesTakeBoundedMemory, Fixture) {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.max_incoming_bytes = 2 << 20;
  this->server = std::move(HttpServer::Start(options, handler).value());
  handler.routes["/echo"] = [](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {}, exchange->Request().body);
  };
  std::vector<int> stalled;
  stalled.reserve(16);
  for (int i = 0; i < 16; ++i) {
    stalled.push_back(this->Connect(
        "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" +
        std::string(600000, 'x')));
  }
  HttpCall call = MakeCall("/echo");
  call.method = "POST";
  call.body = std::string(100000, 'y');
  const HttpResponse response = client->Fetch(call).value();
  BOOST_TEST(response.status == 200);
  int ended = 0;
  // The ceiling holds three of them, or fewer with unused parts of buffers.
  while (ended < 13) {
    ended = 0;
    for (const int fd : stalled) {
      char byte = 0;
      const ssize_t size = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
      ended += size == 0 || (size < 0 && errno != EAGAIN) ? 1 : 0;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (const int fd : stalled) {
    close(fd);
  }
}

BOOST_FIXTURE_TEST_CASE(StreamDeliversAllPieces, Fixture) {
  std::thread writer;
  handler.routes["/stream"] = [&](std::shared_ptr<HttpExchange> exchange) {
    writer = std::thread([exchange] {
      exchange->StartStream(200, {});
      for (int i = 0; i < 1000; ++i) {
        exchange->Write("piece;");
      }
      exchange->FinishStream();
    });
  };
  const HttpResponse response = client->Fetch(MakeCall("/stream")).value();
  writer.join();
  BOOST_TEST(response.body.size() == 6000U);
}

// Guards against memory that grows with the length of a stream whose caller
// never catches up with it completely.
BOOST_FIXTURE_TEST_CASE(LongStreamTakesBoundedMemory, Fixture) {
  const auto resident_pages = [] {
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    return resident;
  };
  constexpr std::size_t kStreamBytes = 128 << 20;
  // More than the socket buffers of a loopback connection take at once.
  constexpr std::size_t kPendingBytes = 8 << 20;
  constexpr long kPageBytes = 4096;
  constexpr long kGrowthBytes = 64 << 20;
  Capture capture;
  handler.routes["/long"] = capture.AsRoute();
  struct Counter : HttpObserver {
    void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
    void OnData(std::string_view data) override {
      this->bytes += data.size();
      // Slower than the writer, so that some bytes always wait.
      std::this_thread::sleep_for(microseconds(50));
    }
    void OnDone(const HttpOutcome& /*outcome*/) override {
      this->done.set_value();
    }
    std::size_t bytes = 0;
    std::promise<void> done;
  };
  auto counter = std::make_shared<Counter>();
  client->Start(MakeCall("/long"), counter);
  const auto exchange = capture.arrived.get_future().get();
  exchange->StartStream(200, {});
  const long before = resident_pages();
  const std::string piece(64 << 10, 'x');
  for (std::size_t sent = 0; sent < kStreamBytes;) {
    if (exchange->PendingBytes() < kPendingBytes) {
      exchange->Write(piece);
      sent += piece.size();
    } else {
      std::this_thread::yield();
    }
  }
  BOOST_TEST((resident_pages() - before) * kPageBytes < kGrowthBytes);
  exchange->FinishStream();
  counter->done.get_future().get();
  BOOST_TEST(counter->bytes == kStreamBytes);
}

// Guards against a truncated answer that looks whole.
BOOST_FIXTURE_TEST_CASE(AbortedStreamIsAnError, Fixture) {
  handler.routes["/abort"] = [](std::shared_ptr<HttpExchange> exchange) {
    exchange->StartStream(200, {});
    exchange->Write("half");
    exchange->AbortStream();
  };
  BOOST_TEST(!client->Fetch(MakeCall("/abort")));
}

// Guards against a caller that is not noticed to have left while its request
// waits.
BOOST_FIXTURE_TEST_CASE(CallerGoneWhileWaiting, Fixture) {
  Capture capture;
  handler.routes["/wait"] = capture.AsRoute();
  const int fd = Connect("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto exchange = capture.arrived.get_future().get();
  std::promise<void> gone;
  exchange->OnCallerDisconnected([&] { gone.set_value(); });
  close(fd);
  BOOST_TEST((gone.get_future().wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready));
}

// Guards against a crash or a wrong answer when the caller leaves mid-stream.
BOOST_FIXTURE_TEST_CASE(CallerGoneMidStream, Fixture) {
  Capture capture;
  handler.routes["/wait"] = capture.AsRoute();
  const int fd = Connect("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
  const auto exchange = capture.arrived.get_future().get();
  exchange->StartStream(200, {});
  exchange->Write("first");
  std::promise<void> gone;
  exchange->OnCallerDisconnected([&] { gone.set_value(); });
  close(fd);
  BOOST_TEST((gone.get_future().wait_for(std::chrono::seconds(5)) ==
              std::future_status::ready));
  exchange->Write("late");
  exchange->FinishStream();
}

// Guards against a handler that forgets to answer.
BOOST_FIXTURE_TEST_CASE(DroppedExchangeIsAnswered, Fixture) {
  handler.routes["/drop"] = [](const std::shared_ptr<HttpExchange>&) {};
  BOOST_TEST(client->Fetch(MakeCall("/drop")).value().status == 500);
}

BOOST_FIXTURE_TEST_CASE(LargeBodyIsRefused, Fixture) {
  handler.routes["/echo"] = [](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(200, {}, "");
  };
  const int fd = Connect(
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\nabc");
  char buffer[512] = {};
  const ssize_t count = recv(fd, buffer, sizeof(buffer) - 1, 0);
  close(fd);
  BOOST_TEST(count > 0);
  BOOST_TEST(std::string(buffer).find("413") != std::string::npos);
  BOOST_TEST(std::string(buffer).find("body_too_large") != std::string::npos);
}

// Guards against a refused caller that is reset while it still sends, and that
// loses the status if it reads only afterwards.
BOOST_FIXTURE_TEST_CASE(RefusedCallerSendsItsWholeBodyFirst, PatientServer) {
  const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\n";
  const std::string rest(2 << 20, 'x');
  const int body = Connect(
      head + "Content-Length: " + std::to_string(rest.size()) + "\r\n\r\n");
  BOOST_TEST(SendAll(body, rest));
  BOOST_TEST(ReadAll(body).substr(0, 12) == "HTTP/1.1 413");
  const int headers = Connect(head + "X-Huge: ");
  BOOST_TEST(SendAll(headers, rest));
  BOOST_TEST(ReadAll(headers).substr(0, 12) == "HTTP/1.1 431");
}

// Guards against a refused caller that is reset after it has read the status,
// while the rest of its body is on its way.
BOOST_FIXTURE_TEST_CASE(RefusedCallerSendsItsBodyAfterTheStatus,
                        PatientServer) {
  const int fd = Connect(
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2097155\r\n\r\nabc");
  BOOST_TEST(ReadToEnd(fd).substr(0, 12) == "HTTP/1.1 413");
  BOOST_TEST(SendAll(fd, std::string(2 << 20, 'x')));
  close(fd);
}

// Guards against refused callers that keep their connections: one that sends
// without end, and one that sends nothing.
BOOST_FIXTURE_TEST_CASE(RefusedCallersAreDisconnected, Fixture) {
  const std::string head =
      "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n";
  const int endless = Connect(head);
  const std::string block(1 << 20, 'x');
  int blocks = 0;
  while (blocks < 256 && SendAll(endless, block)) {
    ++blocks;
  }
  close(endless);
  BOOST_TEST(blocks < 256);
  const int silent = Connect(head);
  // Fails once the server has closed its socket.
  while (SendAll(silent, "x")) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  close(silent);
}

// Guards against a truncated body that reaches the handler as a whole request.
BOOST_FIXTURE_TEST_CASE(TruncatedBodyNeverReachesHandler, Fixture) {
  std::atomic<int> calls{0};
  handler.routes["/echo"] = [&](std::shared_ptr<HttpExchange> exchange) {
    ++calls;
    exchange->Respond(200, {}, "");
  };
  const std::string head = "POST /echo HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& request :
       {head + "Content-Le", head + "Content-Length: 100\r\n\r\nabc",
        chunked + "5\r\nabc", chunked + "3\r\nabc\r\n",
        chunked + "3\r\nabc\r\n0\r\n"}) {
    const int fd = Connect(request);
    shutdown(fd, SHUT_WR);
    char buffer[64];
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
    close(fd);
    BOOST_TEST(calls.load() == 0, request);
  }
}

BOOST_FIXTURE_TEST_CASE(RefusedConnectionSendsNothing, Fixture) {
  struct Observer : HttpObserver {
    void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
    void OnData(std::string_view /*data*/) override {}
    void OnDone(const HttpOutcome& outcome) override {
      this->done.set_value(outcome);
    }
    std::promise<HttpOutcome> done;
  };
  HttpCall call = MakeCall("/");
  server->Stop();
  auto observer = std::make_shared<Observer>();
  client->Start(call, observer);
  const HttpOutcome outcome = observer->done.get_future().get();
  BOOST_TEST((outcome.code == ResultCode::kConnectFailed));
  BOOST_TEST(outcome.nothing_sent);
}

// Guards against an order that is sent after its right to be sent expired.
BOOST_FIXTURE_TEST_CASE(BeforeSendCanStopTheCall, Fixture) {
  std::atomic<int> calls{0};
  handler.routes["/order"] = [&](std::shared_ptr<HttpExchange> exchange) {
    ++calls;
    exchange->Respond(200, {}, "");
  };
  HttpCall call = MakeCall("/order");
  call.fresh_connection = true;
  call.before_send = [] { return false; };
  const auto response = client->Fetch(call);
  BOOST_TEST(!response);
  BOOST_TEST((response.error().code == ResultCode::kCancelled));
  BOOST_TEST(calls.load() == 0);
}

// Guards against a value from outside that cuts the head of a call between
// processes or to a backend server, or of a response.
BOOST_FIXTURE_TEST_CASE(FieldsWithLineEndsAreNotSent, Fixture) {
  std::atomic<int> calls{0};
  handler.routes["/"] = [&](std::shared_ptr<HttpExchange> exchange) {
    ++calls;
    exchange->Respond(200, {{"Cut", "a\r\nForged: 1"}, {"Whole", "b"}}, "");
  };
  for (const char* text : {"a\r\nForged: 1", "a\n", "a\r"}) {
    HttpCall call = MakeCall("/");
    call.headers.push_back({"Id", text});
    BOOST_TEST(
        (client->Fetch(call).error().code == ResultCode::kMalformedRequest));
    call = MakeCall("/");
    call.method = text;
    BOOST_TEST(
        (client->Fetch(call).error().code == ResultCode::kMalformedRequest));
  }
  BOOST_TEST(calls.load() == 0);
  const auto response = client->Fetch(MakeCall("/"));
  BOOST_REQUIRE(response);
  BOOST_TEST(!FindHeader(response.value().headers, "Forged"));
  BOOST_TEST(!FindHeader(response.value().headers, "Cut"));
  BOOST_TEST(FindHeader(response.value().headers, "Whole").value_or("") == "b");
}

BOOST_FIXTURE_TEST_CASE(SilentServerTimesOut, Fixture) {
  Capture capture;
  handler.routes["/wait"] = capture.AsRoute();
  HttpCall call = MakeCall("/wait");
  call.first_byte_timeout = milliseconds(100);
  const auto response = client->Fetch(call);
  BOOST_TEST((response.error().code == ResultCode::kServerFirstByteTimeout));
}

// Guards against a stop that ends the process or hangs while callers connect.
BOOST_AUTO_TEST_CASE(ServerStopsWhileCallersConnect) {
  const auto client = HttpClient::Create(2);
  for (int round = 0; round < 50; ++round) {
    RoutingHandler handler;
    handler.routes["/"] = [](std::shared_ptr<HttpExchange> exchange) {
      exchange->Respond(200, {}, "whole");
    };
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    auto server = std::move(HttpServer::Start(options, handler).value());
    HttpCall call;
    call.url = "http://" + server->Address() + "/";
    call.fresh_connection = true;
    std::thread caller([&] {
      for (int i = 0; i < 20; ++i) {
        const auto response = client->Fetch(call);
        BOOST_TEST((!response || response.value().body == "whole"));
      }
    });
    server->StopAccepting();
    server->Stop();
    caller.join();
  }
}

// A server sends a second copy of a response late, before the response to the
// next request on the connection. Guards against a call with a connection of
// its own that gets the response to another one.
BOOST_AUTO_TEST_CASE(FreshConnectionsGetNoLateCopies) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const generic = reinterpret_cast<sockaddr*>(&local);
  socklen_t size = sizeof(local);
  BOOST_REQUIRE(bind(listener, generic, size) == 0);
  BOOST_REQUIRE(listen(listener, 8) == 0);
  getsockname(listener, generic, &size);
  constexpr int kCalls = 3;
  std::thread server([&] {
    int requests = 0;
    while (requests < kCalls) {
      const int fd = accept(listener, nullptr, nullptr);
      char buffer[4096];
      std::string copy;
      while (requests < kCalls && recv(fd, buffer, sizeof(buffer), 0) > 0) {
        const std::string response =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
            std::to_string(++requests);
        const std::string bytes = copy + response;
        send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        copy = response;
      }
      close(fd);
    }
  });
  const auto client = HttpClient::Create(1);
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(ntohs(local.sin_port)) + "/";
  call.fresh_connection = true;
  for (int i = 1; i <= kCalls; ++i) {
    const auto response = client->Fetch(call);
    BOOST_TEST((response && response.value().body == std::to_string(i)));
  }
  server.join();
  close(listener);
}

BOOST_AUTO_TEST_CASE(OccupiedAddressIsReported) {
  RoutingHandler handler;
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  const auto first = HttpServer::Start(options, handler);
  options.address = first.value()->Address();
  const auto second = HttpServer::Start(options, handler);
  BOOST_TEST((second.error().code == ResultCode::kListenFailed));
}

}  // namespace sycamorebend
