// An entry daemon inside the test process, with a fake feed, a fake control
// replica and fake engines.
#ifndef SYCAMOREBEND_TESTS_ENTRY_DAEMON_FIXTURE_H_
#define SYCAMOREBEND_TESTS_ENTRY_DAEMON_FIXTURE_H_

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "entry/daemon.h"
#include "fake_engine.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// A feed whose confirmation age the test sets.
class FakeFollower : public FeedFollower {
 public:
  std::shared_ptr<const SharedState> Current() const override {
    return nullptr;
  }
  Duration ConfirmationAge() const override {
    if (this->update_before_age.exchange(false)) {
      this->update();
    }
    return this->age.load();
  }
  FeedFollowerStatus GetStatus() const override { return {}; }
  void SetDraining() override { this->draining.store(true); }
  void SetReplicas(std::vector<std::string> /*replicas*/) override {}
  bool OnReplicaNotice(const ReplicaNotice& /*notice*/) override {
    return false;
  }
  Result<HttpBody> ServeEncodedPoll(const Json::Value& params) override {
    return HttpBody{std::make_shared<SharedText>(WriteJson(params))};
  }
  void Stop() override {}

  std::atomic<Duration> age{Duration::zero()};
  std::atomic<bool> draining{false};
  // If set, ConfirmationAge calls `update` once before it reads the age.
  mutable std::atomic<bool> update_before_age{false};
  // Passes a state with the next version to the daemon.
  std::function<void()> update;
};

// Serves order.begin, order.finish, order.get and finding.report from memory.
class FakeReplica : public HttpHandler, public RpcService {
 public:
  FakeReplica();
  ~FakeReplica() override;

  std::string Address() const { return this->server->Address(); }
  void Handle(std::shared_ptr<HttpExchange> exchange) override;
  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override;
  // @return "started", "ran", "not_run", or "" if there is no record.
  std::string RecordState(const std::string& key) const;
  // @return the parameters of the last finding.report, or null.
  Json::Value LastFindingReport() const;
  // While set, no call succeeds.
  std::atomic<bool> no_quorum{false};

 private:
  mutable std::mutex mutex;
  std::map<std::string, Json::Value> records;
  Json::Value finding;
  std::unique_ptr<RpcServer> rpc_server;
  std::unique_ptr<HttpServer> server;
};

struct DaemonFixture {
  DaemonFixture();
  ~DaemonFixture();

  // Announces the server and reports for it every 200 ms.
  void AddEngine(const std::string& server_id, FakeEngine& engine);
  void AddServer(const std::string& server_id, const std::string& address);
  void StopReports(const std::string& server_id);

  HttpCall ChatCall(const std::string& prompt, bool stream) const;
  HttpCall OrderCall(const std::string& key) const;
  HttpCall Call(const std::string& method, const std::string& path) const;
  // Runs the call; the test fails if there is no response.
  HttpResponse Fetch(HttpCall call);
  // Opens a connection to the daemon and sends `text`.
  int Connect(const std::string& text) const;
  // Waits until no request is open at the daemon.
  void WaitUntilIdle();
  // @return the value of the metric whose line in /metrics begins with
  // `line_start`, or -1.
  double MetricValue(const std::string& line_start);

  void ReportLoop();
  void Post(const std::string& path, const Json::Value& body);

  FakeReplica replica;
  FakeFollower* follower = nullptr;
  std::unique_ptr<HttpClient> client = HttpClient::Create(2);
  std::unique_ptr<EntryDaemon> daemon;
  std::mutex mutex;
  std::map<std::string, Json::Value> reports;
  std::atomic<bool> stopping{false};
  std::thread reporter;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_TESTS_ENTRY_DAEMON_FIXTURE_H_
