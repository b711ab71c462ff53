#include "fake_engine.h"

#include <fmt/format.h>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::entry {

FakeEngine::FakeEngine() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  this->server = std::move(HttpServer::Start(options, *this).value());
}

FakeEngine::~FakeEngine() {
  this->server->Stop();
}

void FakeEngine::Handle(std::shared_ptr<HttpExchange> exchange) {
  {
    std::lock_guard lock(this->mutex);
    this->requests.push_back(exchange->Request());
  }
  this->arrived.notify_all();
  if (exchange->Request().method == "DELETE") {
    exchange->Respond(200, {}, "");
    return;
  }
  this->handler(std::move(exchange));
}

HttpRequest FakeEngine::WaitForRequest(const std::string& start) {
  std::unique_lock lock(this->mutex);
  const HttpRequest* found = nullptr;
  const bool in_time = this->arrived.wait_for(lock, seconds(10), [&] {
    for (const HttpRequest& request : this->requests) {
      if ((request.method + " " + request.path).rfind(start, 0) == 0) {
        found = &request;
        return true;
      }
    }
    return false;
  });
  BOOST_REQUIRE_MESSAGE(in_time, "no request \"" << start << "\" arrived");
  return *found;
}

int FakeEngine::CountRequests(const std::string& start) const {
  std::lock_guard lock(this->mutex);
  int count = 0;
  for (const HttpRequest& request : this->requests) {
    if ((request.method + " " + request.path).rfind(start, 0) == 0) {
      ++count;
    }
  }
  return count;
}

std::string TokenEvent(int id) {
  return fmt::format(
      "id: {}\ndata: {{\"choices\":[{{\"delta\":{{\"content\":\"t{}\"}}}}]}}"
      "\n\n",
      id, id);
}

std::string TokenEvents(int first, int last) {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += TokenEvent(id);
  }
  return text + "data: [DONE]\n\n";
}

void StartEvents(HttpExchange& exchange) {
  exchange.StartStream(200, {{"Content-Type", "text/event-stream"}});
}

}  // namespace sycamorebend::entry
