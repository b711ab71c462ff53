#define BOOST_TEST_MODULE rpc
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "gateway/scripted_server.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

class EchoService : public RpcService {
 public:
  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override {
    if (method == "echo") {
      return params;
    }
    if (method == "fail") {
      return MakeError(ResultCode::kVersionConflict, "lost against change 7");
    }
    return MakeError(ResultCode::kUnknownCommand, method);
  }
  std::optional<Result<HttpBody>> CallEncoded(
      const std::string& method,
      const Json::Value& params) override {
    if (method == "stored") {
      return HttpBody{std::make_shared<SharedText>("["), this->stored,
                      std::make_shared<SharedText>(","), this->stored,
                      std::make_shared<SharedText>("]")};
    }
    if (method == "stored-fail") {
      return Error(MakeError(ResultCode::kShuttingDown, "stopping"));
    }
    return std::nullopt;
  }

  std::shared_ptr<const SharedText> stored = std::make_shared<SharedText>(
      "\"" + std::string(std::size_t{1} << 20, 'x') + "\"");
};

struct Fixture : HttpHandler {
  Fixture() {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(options, *this).value());
  }
  ~Fixture() override { this->server->Stop(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    this->rpc_server->Handle(std::move(exchange));
  }

  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) {
    return this->rpc->Call(this->server->Address(), method, params, seconds(5));
  }

  EchoService service;
  std::unique_ptr<RpcServer> rpc_server = RpcServer::Create(service, 4);
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(ResultComesBack, Fixture) {
  Json::Value params;
  params["method"] = "\"method\":\"fail\"";
  params["list"].append(1);
  BOOST_TEST(Call("echo", params).value() == params);
}

BOOST_FIXTURE_TEST_CASE(ErrorKeepsCodeAndMessage, Fixture) {
  const auto result = Call("fail", Json::Value(Json::objectValue));
  BOOST_TEST((result.error().code == ResultCode::kVersionConflict));
  BOOST_TEST(result.error().message == "lost against change 7");
}

// A stored result is compressed once and arrives as if it had been written for
// this call.
BOOST_FIXTURE_TEST_CASE(StoredResultComesBack, Fixture) {
  const Json::Value result =
      Call("stored", Json::Value(Json::objectValue)).value();
  BOOST_TEST(result.size() == 2U);
  BOOST_TEST(result[0].asString() == std::string(std::size_t{1} << 20, 'x'));
  BOOST_TEST(result[1] == result[0]);
  BOOST_TEST(
      (Call("stored-fail", Json::Value(Json::objectValue)).error().code ==
       ResultCode::kShuttingDown));
}

// Callers of an earlier release do not accept compressed responses.
BOOST_FIXTURE_TEST_CASE(StoredResultIsCompressedOnlyOnRequest, Fixture) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + this->server->Address() + std::string(kRpcPath);
  call.headers = {{"Content-Type", "application/json"}};
  call.body =
      R"({"id":1,"jsonrpc":"2.0","method":"stored","params":{"params":{}}})";
  const HttpResponse plain = this->client->Fetch(call).value();
  BOOST_TEST(!FindHeader(plain.headers, "Content-Encoding").has_value());
  BOOST_TEST(plain.body.size() > std::size_t{2} << 20);
  // Not decompressed, because the client does not know of it.
  call.headers.push_back({"Accept-Encoding", "gzip"});
  const HttpResponse compressed = this->client->Fetch(call).value();
  BOOST_TEST(FindHeader(compressed.headers, "Content-Encoding").value() ==
             "gzip");
  BOOST_TEST(compressed.body.size() < std::size_t{64} << 10);
  call.headers.pop_back();
  call.accept_compressed = true;
  BOOST_TEST((this->client->Fetch(call).value().body == plain.body));
}

// Guards against a stored result in the place of another one.
BOOST_FIXTURE_TEST_CASE(BatchGetsEachStoredResult, Fixture) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + this->server->Address() + std::string(kRpcPath);
  call.body =
      R"([{"id":"\"result\":\"encoded-result\"","jsonrpc":"2.0",)"
      R"("method":"stored","params":{"params":{}}},)"
      R"({"id":2,"jsonrpc":"2.0","method":"stored","params":{"params":{}}}])";
  const Json::Value responses =
      ParseJson(this->client->Fetch(call).value().body).value();
  BOOST_TEST(responses.size() == 2U);
  for (const Json::Value& response : responses) {
    BOOST_TEST(response["result"].size() == 2U);
  }
}

BOOST_FIXTURE_TEST_CASE(UnknownMethodIsAnError, Fixture) {
  const auto result = Call("none", Json::Value(Json::objectValue));
  BOOST_TEST((result.error().code == ResultCode::kUnknownCommand));
}

// Guards against requests of other programs that end the process: the parser
// of the RPC library throws when the nesting is too deep.
BOOST_FIXTURE_TEST_CASE(DeeplyNestedRequestsAreRejected, Fixture) {
  const std::string deep(100000, '[');
  for (const std::string& body :
       {deep, std::string(R"({"method":"echo","params":)") + deep,
        std::string(R"({"params":)") + deep,
        std::string(R"({"method":1,"params":{"params":1e999}})")}) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + server->Address() + "/rpc";
    call.body = body;
    const auto response = this->client->Fetch(call);
    BOOST_TEST((!response ||
                response.value().body.find("\"result\"") == std::string::npos));
  }
  BOOST_TEST(Call("echo", Json::Value(Json::objectValue)).has_value());
}

// Guards against a server that handles only the format of RpcClient: the
// request has white space and its method after the parameters.
BOOST_FIXTURE_TEST_CASE(RequestWithWhiteSpaceIsHandled, Fixture) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + server->Address() + "/rpc";
  call.body = R"({ "jsonrpc" : "2.0", "params" : {"params" : {"a" : 1}},)"
              R"( "method" : "echo", "id" : 1 })";
  const HttpResponse response = client->Fetch(call).value();
  BOOST_TEST(response.body.find("\"a\":1") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(UnreachablePeerIsConnectFailed, Fixture) {
  const std::string address = server->Address();
  server->Stop();
  const auto result = rpc->Call(address, "echo", Json::Value(), seconds(1));
  BOOST_TEST((result.error().code == ResultCode::kConnectFailed));
}

// Guards against a result of a call between our own processes that was broken
// off and counts as complete, with each framing of the response.
BOOST_AUTO_TEST_CASE(TruncatedResultIsAnError) {
  const std::string document =
      R"({"id":1,"jsonrpc":"2.0","result":{"version":12}})";
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string whole = head + "\r\n" + document;
  std::vector<std::string> truncated;
  for (std::size_t size = 0; size < whole.size(); ++size) {
    truncated.push_back(whole.substr(0, size));
  }
  // The document is complete, but the message is not.
  truncated.push_back(fmt::format("{}Content-Length: {}\r\n\r\n{}", head,
                                  document.size() + 1, document));
  truncated.push_back(
      fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", head,
                  document.size(), document));
  std::string bytes;
  gateway::ScriptedServer server(
      [&bytes](const gateway::ReceivedRequest&, gateway::Socket& socket) {
        socket.Send(bytes);
        return false;
      });
  const auto client = HttpClient::Create(1);
  const auto rpc = RpcClient::Create(*client);
  for (const std::string& response : truncated) {
    bytes = response;
    const auto result = rpc->Call(server.Address(), "get", {}, seconds(5));
    BOOST_TEST(!result, response);
  }
  bytes = whole;
  const auto result = rpc->Call(server.Address(), "get", {}, seconds(5));
  BOOST_REQUIRE(result);
  BOOST_TEST(result.value()["version"].asInt() == 12);
}

}  // namespace sycamorebend
