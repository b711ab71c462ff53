// Serves a streamed response and fetches it.
#include <fmt/format.h>

#include "sycamorebend/http.h"

namespace {

class Greeter : public sycamorebend::HttpHandler {
 public:
  void Handle(std::shared_ptr<sycamorebend::HttpExchange> exchange) override {
    exchange->StartStream(200, {{"Content-Type", "text/plain"}});
    exchange->Write("hello, ");
    exchange->Write(exchange->Request().body);
    exchange->FinishStream();
  }
};

}  // namespace

int main() {
  Greeter greeter;
  sycamorebend::HttpServerOptions options;
  options.address = "127.0.0.1:0";
  const auto server =
      std::move(sycamorebend::HttpServer::Start(options, greeter).value());
  const auto client = sycamorebend::HttpClient::Create(1);
  sycamorebend::HttpCall call;
  call.method = "POST";
  call.url = "http://" + server->Address() + "/greeting";
  call.body = "world";
  const auto response = client->Fetch(call);
  if (!response) {
    fmt::print(stderr, "{}\n", response.error().message);
    return 1;
  }
  fmt::print("{} {}\n", response.value().status, response.value().body);
  return response.value().body == "hello, world" ? 0 : 1;
}
