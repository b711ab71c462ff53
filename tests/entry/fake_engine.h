// A fake backend server, engine or plain service, inside the test process.
#ifndef SYCAMOREBEND_TESTS_ENTRY_FAKE_ENGINE_H_
#define SYCAMOREBEND_TESTS_ENTRY_FAKE_ENGINE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Runs a handler for each request on the server's threads and records the
// requests.
class FakeEngine : public HttpHandler {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  FakeEngine();
  ~FakeEngine() override;

  // Must be called before the first request.
  void SetHandler(Handler handler) { this->handler = std::move(handler); }
  std::string Address() const { return this->server->Address(); }
  // Stops the server and closes all connections.
  void Stop() { this->server->Stop(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  // Waits until a request arrived whose "METHOD path" begins with `start`.
  // @return the request; fails the test after 10 s.
  HttpRequest WaitForRequest(const std::string& start);
  // @return the number of such requests so far.
  int CountRequests(const std::string& start) const;

 private:
  mutable std::mutex mutex;
  std::condition_variable arrived;
  std::vector<HttpRequest> requests;
  Handler handler;
  std::unique_ptr<HttpServer> server;
};

// @return the event with ID `id` of a stream, as an engine sends it.
std::string TokenEvent(int id);

// @return the events `first` to `last` and the [DONE] event.
std::string TokenEvents(int first, int last);

// Starts a response with a stream of events.
void StartEvents(HttpExchange& exchange);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_TESTS_ENTRY_FAKE_ENGINE_H_
