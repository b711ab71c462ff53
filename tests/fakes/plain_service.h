// Fake plain service that counts how often each request was executed.
#ifndef SYCAMOREBEND_TESTS_FAKES_PLAIN_SERVICE_H_
#define SYCAMOREBEND_TESTS_FAKES_PLAIN_SERVICE_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fakes/announcer.h"
#include "fakes/fake_process.h"

namespace sycamorebend {

struct PlainServiceOptions {
  FakeIdentity identity;
  int slots = 64;
};

PlainServiceOptions ReadServiceOptions(SettingsObject& settings);

class PlainService : public FakeServer, public HttpHandler {
 public:
  explicit PlainService(const PlainServiceOptions& options);
  ~PlainService() override;

  Status Start() override;
  void StopGracefully() override;
  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  std::string Address() const { return this->server->Address(); }

 private:
  // Simulated faults of further requests.
  struct Behaviour {
    Duration delay{0};
    // Whether the process crashes, or never responds, before or after a request
    // is counted: "never", "before" or "after".
    std::string crash = "never";
    std::string silence = "never";
  };

  void Execute(const std::shared_ptr<HttpExchange>& exchange,
               const Behaviour& current);
  void SetBehaviour(const std::shared_ptr<HttpExchange>& exchange);
  Json::Value Stats();
  Json::Value Describe() const;
  Json::Value Report();

  const PlainServiceOptions options;
  const SystemClock clock;
  std::mutex mutex;
  Behaviour behaviour;
  int running = 0;
  bool leaving = false;
  std::uint64_t executions = 0;
  std::uint64_t received = 0;
  std::map<std::string, int> runs_by_key;
  std::map<std::string, int> runs_by_body;
  std::vector<std::shared_ptr<HttpExchange>> silent_exchanges;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Announcer> announcer;
  ControlThread thread;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_PLAIN_SERVICE_H_
