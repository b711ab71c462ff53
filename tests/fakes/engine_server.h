// HTTP interface of the fake engine.
#ifndef SYCAMOREBEND_TESTS_FAKES_ENGINE_SERVER_H_
#define SYCAMOREBEND_TESTS_FAKES_ENGINE_SERVER_H_

#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "fakes/announcer.h"
#include "fakes/engine_core.h"
#include "fakes/fake_process.h"

namespace sycamorebend {

struct EngineServerOptions {
  FakeIdentity identity;
  EngineOptions engine;
  std::vector<std::string> models;
  std::vector<std::string> roles;
  // Whether an engine order with an old fencing token is refused.
  bool checks_fence = true;
  int http_threads = 2;
  // Address of the weight store. If empty, models load without a download.
  std::string weight_store;
  std::int64_t weight_bytes = 1 << 20;
};

EngineServerOptions ReadEngineOptions(SettingsObject& settings);

class EngineServer : public FakeServer, public HttpHandler {
 public:
  explicit EngineServer(const EngineServerOptions& options);
  ~EngineServer() override;

  Status Start() override;
  void StopGracefully() override;
  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  std::string Address() const { return this->server->Address(); }

 private:
  void Run();
  void HandleCompletion(const std::shared_ptr<HttpExchange>& exchange,
                        bool chat);
  void HandleStream(const std::shared_ptr<HttpExchange>& exchange);
  void HandleEngineOrder(const std::shared_ptr<HttpExchange>& exchange);
  void ApplyEngineOrder(const std::shared_ptr<HttpExchange>& exchange,
                        const Json::Value& order);
  void LoadWeights(const std::shared_ptr<HttpExchange>& exchange,
                   const std::string& name);
  void FinishLoad(const std::string& name);
  void SetBehaviour(const std::shared_ptr<HttpExchange>& exchange);
  bool HandleOtherPaths(const std::shared_ptr<HttpExchange>& exchange);
  void ImportCache(const std::shared_ptr<HttpExchange>& exchange);
  Json::Value Describe();
  Json::Value Report(std::uint64_t first_seq, std::uint64_t* next_seq);
  Json::Value Stats();

  const EngineServerOptions options;
  const SystemClock clock;
  std::mutex mutex;
  std::condition_variable wake;
  bool stopping = false;
  bool leaving = false;
  EngineCore core;
  std::set<std::string> models;
  std::vector<std::string> roles;
  std::int64_t highest_fence = 0;
  std::uint64_t orders_applied = 0;
  std::uint64_t orders_refused = 0;
  std::uint64_t next_anonymous_id = 1;
  std::uint64_t started_after_leave = 0;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Announcer> announcer;
  std::unique_ptr<HttpClient> client;
  std::thread thread;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_ENGINE_SERVER_H_
