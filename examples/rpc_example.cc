// Serves an RPC method and calls it over loopback.
#include <fmt/format.h>

#include "sycamorebend/rpc.h"

namespace {

class Calculator : public sycamorebend::RpcService {
 public:
  sycamorebend::Result<Json::Value> Call(const std::string& method,
                                         const Json::Value& params) override {
    if (method != "sum") {
      return sycamorebend::MakeError(
          sycamorebend::ResultCode::kUnknownCommand,
          fmt::format("method \"{}\" does not exist", method));
    }
    return Json::Value(params["a"].asInt() + params["b"].asInt());
  }
};

class RpcHandler : public sycamorebend::HttpHandler {
 public:
  explicit RpcHandler(sycamorebend::RpcServer& server) : server(server) {}
  void Handle(std::shared_ptr<sycamorebend::HttpExchange> exchange) override {
    this->server.Handle(std::move(exchange));
  }

 private:
  sycamorebend::RpcServer& server;
};

}  // namespace

int main() {
  Calculator calculator;
  const auto rpc_server = sycamorebend::RpcServer::Create(calculator, 2);
  RpcHandler handler(*rpc_server);
  sycamorebend::HttpServerOptions options;
  options.address = "127.0.0.1:0";
  const auto http_server =
      std::move(sycamorebend::HttpServer::Start(options, handler).value());
  const auto http_client = sycamorebend::HttpClient::Create(1);
  const auto client = sycamorebend::RpcClient::Create(*http_client);

  Json::Value params(Json::objectValue);
  params["a"] = 2;
  params["b"] = 3;
  const auto sum = client->Call(http_server->Address(), "sum", params,
                                sycamorebend::seconds(5));
  const auto unknown = client->Call(http_server->Address(), "product", params,
                                    sycamorebend::seconds(5));
  if (!sum || unknown) {
    return 1;
  }
  fmt::print("sum: {}\n", sum.value().asInt());
  fmt::print("product: {} ({})\n", unknown.error().message,
             static_cast<int>(unknown.error().code));
  return sum.value().asInt() == 5 ? 0 : 1;
}
