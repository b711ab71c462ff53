#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "daemon_fixture.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

// @return the result code in an error body, or 0.
int ErrorCode(const HttpResponse& response) {
  const Result<Json::Value> body = ParseJson(response.body);
  return body && body.value()["error"]["code"].isInt()
             ? body.value()["error"]["code"].asInt()
             : 0;
}

std::string ReadAll(int fd) {
  std::string text;
  char buffer[4096];
  for (ssize_t count = 0; (count = recv(fd, buffer, sizeof(buffer), 0)) > 0;) {
    text.append(buffer, static_cast<std::size_t>(count));
  }
  close(fd);
  return text;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Input, DaemonFixture)

// Guards against malformed bodies that are forwarded to an engine or rejected
// without a clear error.
BOOST_AUTO_TEST_CASE(MalformedBodiesAreRejected) {
  const std::vector<std::string> bodies = {
      "",
      "{",
      "[]",
      "{\"model\":1}",
      "{\"model\":\"chat-7b\"}",
      R"({"model":"chat-7b","messages":[]})",
      R"({"model":"chat-7b","messages":[1]})",
      R"({"model":"chat-7b","messages":[{"role":"user","content":7}]})",
      R"({"model":"chat-7b","messages":[{"role":"user"}],"stream":"yes"})",
      R"({"model":"chat-7b","messages":[{"role":"user"}],"max_tokens":-1})",
      std::string(5000, '[')};
  for (const std::string& body : bodies) {
    HttpCall call = Call("POST", "/v1/chat/completions");
    call.body = body;
    const HttpResponse response = Fetch(call);
    BOOST_TEST(response.status == 400, body);
    BOOST_TEST(ErrorCode(response) == 201, body);
  }
}

BOOST_AUTO_TEST_CASE(CallersAreAuthenticatedAndAuthorized) {
  HttpCall call = ChatCall("hello", true);
  call.headers = {};
  BOOST_TEST(ErrorCode(Fetch(call)) == 203);
  call.headers = {{"Authorization", "Bearer wrong"}};
  BOOST_TEST(Fetch(call).status == 401);
  call.headers = {{"Authorization", "Bearer standard"}};
  BOOST_TEST(ErrorCode(Fetch(call)) == 204);
  call = ChatCall("hello", true);
  call.headers.push_back({"X-Sycamorebend-Class", "none"});
  BOOST_TEST(ErrorCode(Fetch(call)) == 206);
  call = ChatCall("hello", true);
  call.headers.push_back({"X-Sycamorebend-Labels", "a=b=c"});
  BOOST_TEST(ErrorCode(Fetch(call)) == 207);
  call = ChatCall("hello", true);
  call.headers.push_back({"X-Sycamorebend-Deadline-Ms", "soon"});
  BOOST_TEST(ErrorCode(Fetch(call)) == 201);
}

BOOST_AUTO_TEST_CASE(OversizedBodyIsRejected) {
  HttpCall call = Call("POST", "/v1/chat/completions");
  call.body = std::string(2 << 20, 'x');
  const HttpResponse response = Fetch(call);
  BOOST_TEST(response.status == 413);
  BOOST_TEST(ErrorCode(response) == 202);
}

// Guards against oversized headers that are forwarded, or that reset the
// connection without a response.
BOOST_AUTO_TEST_CASE(OversizedHeadersAreRejected) {
  HttpCall call = ChatCall("hello", true);
  call.headers.push_back({"X-Huge", std::string(40 << 10, 'x')});
  const HttpResponse response = Fetch(call);
  BOOST_TEST(response.status == 431);
  BOOST_TEST(ErrorCode(response) == 209);
  const int fd = Connect("GET / HTTP/1.1\r\nHost: a\r\nX-Huge: " +
                         std::string(1 << 20, 'x'));
  BOOST_TEST(ReadAll(fd).substr(0, 12) == "HTTP/1.1 431");
}

// Guards against an incomplete or slow request that blocks a thread or other
// requests.
BOOST_AUTO_TEST_CASE(SlowSenderIsDisconnectedWhileOthersAreServed) {
  const int fd = Connect(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
      "Content-Length: 100\r\n\r\nabc");
  BOOST_TEST(Fetch(Call("GET", "/healthz")).status == 200);
  const auto begin = std::chrono::steady_clock::now();
  ReadAll(fd);
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begin < std::chrono::seconds(10)));
}

// Guards against routing by a configuration that may have been replaced. The
// daemon must reject new requests and finish those in flight.
BOOST_AUTO_TEST_CASE(UnconfirmedConfigurationRejectsNewRequests) {
  FakeEngine engine;
  std::shared_ptr<HttpExchange> open;
  engine.SetHandler([&](std::shared_ptr<HttpExchange> exchange) {
    StartEvents(*exchange);
    exchange->Write(TokenEvent(1));
    open = exchange;
  });
  AddEngine("engine-1", engine);
  std::string body;
  std::thread caller([&] { body = Fetch(ChatCall("hello", true)).body; });
  engine.WaitForRequest("POST");
  follower->age.store(seconds(9));
  const HttpResponse response = Fetch(ChatCall("hello", true));
  BOOST_TEST(response.status == 503);
  BOOST_TEST(ErrorCode(response) == 601);
  BOOST_TEST(response.body.find("\"ran\":\"not_run\"") != std::string::npos);
  BOOST_TEST(response.body.find("\"retry\":true") != std::string::npos);
  BOOST_TEST(Fetch(Call("GET", "/readyz")).status == 503);
  BOOST_TEST(ErrorCode(Fetch(Call("GET", "/v1/addresses"))) == 601);
  // An earlier attempt at an order may have run elsewhere.
  BOOST_TEST(Fetch(OrderCall("k")).body.find("\"ran\":\"unknown\"") !=
             std::string::npos);
  // The request in flight is finished.
  open->Write("data: [DONE]\n\n");
  open->FinishStream();
  caller.join();
  BOOST_TEST(body.find("[DONE]") != std::string::npos);
  follower->age.store(Duration::zero());
  BOOST_TEST(Fetch(Call("GET", "/readyz")).status == 200);
}

BOOST_AUTO_TEST_CASE(PlainServiceGetsTheCallUnchanged) {
  FakeEngine service;
  service.SetHandler([](std::shared_ptr<HttpExchange> exchange) {
    exchange->Respond(203, {{"X-Stock", "7"}}, exchange->Request().body);
  });
  AddEngine("parts-1", service);
  HttpCall call = Call("PUT", "/stock/a%20b?x=1&y=%2F");
  call.headers.push_back({"X-Sycamorebend-Labels", "kind=lookup"});
  call.headers.push_back({"X-Own", "kept"});
  call.body = std::string("a\0b", 3);
  const HttpResponse response = Fetch(call);
  BOOST_TEST(response.status == 203);
  BOOST_TEST(FindHeader(response.headers, "X-Stock").value_or("") == "7");
  BOOST_TEST((response.body == call.body));
  const HttpRequest request = service.WaitForRequest("PUT");
  BOOST_TEST(request.target == "/stock/a%20b?x=1&y=%2F");
  BOOST_TEST(FindHeader(request.headers, "X-Own").value_or("") == "kept");
  BOOST_TEST(FindHeader(request.headers, "X-Request-Id").has_value());
  BOOST_TEST(!FindHeader(request.headers, "Content-Type").has_value());
}

// Guards against a status that calls a state confirmed although a newer one was
// applied before the confirmation was read.
BOOST_AUTO_TEST_CASE(StatusHasWhatItsConfirmationCovers) {
  const auto rpc = RpcClient::Create(*client);
  follower->update_before_age = true;
  const Json::Value status =
      rpc->Call(daemon->Address(), "entry.status", Json::Value(), seconds(5))
          .value();
  BOOST_TEST(status["confirmed_age_ms"].asInt() == 0);
  BOOST_TEST(status["version"].asInt() == 8);
  BOOST_TEST(status["configuration_version"].asInt() == 4);
}

BOOST_AUTO_TEST_CASE(ModelsAndStatusAreListed) {
  BOOST_TEST(Fetch(Call("GET", "/v1/models")).body.find("\"chat-7b\"") !=
             std::string::npos);
  const auto rpc = RpcClient::Create(*client);
  const Json::Value status =
      rpc->Call(daemon->Address(), "entry.status", Json::Value(), seconds(5))
          .value();
  BOOST_TEST(status["configuration_version"].asInt() == 3);
  BOOST_TEST(status["ready"].asBool());
  Json::Value params;
  params["model"] = "chat-7b";
  params["customer"] = "line-7";
  const Json::Value trace =
      rpc->Call(daemon->Address(), "entry.explain", params, seconds(5)).value();
  BOOST_TEST(trace["class"].asString() == "chat");
}

// Guards against a drain that ends, or rejects requests, while callers may
// still use this daemon's address.
BOOST_AUTO_TEST_CASE(DrainWaitsForAddressesAndRequests) {
  BOOST_TEST(Fetch(Call("GET", "/v1/addresses")).status == 200);
  daemon->BeginDrain();
  BOOST_TEST(follower->draining.load());
  BOOST_TEST(!daemon->AdvanceDrain());
  BOOST_TEST(Fetch(Call("GET", "/v1/models")).status == 200);
  BOOST_TEST(ErrorCode(Fetch(Call("GET", "/readyz"))) == 307);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
