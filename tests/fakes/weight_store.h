// Fake weight store whose downloads share a limited bandwidth.
#ifndef SYCAMOREBEND_TESTS_FAKES_WEIGHT_STORE_H_
#define SYCAMOREBEND_TESTS_FAKES_WEIGHT_STORE_H_

#include <list>
#include <memory>
#include <mutex>
#include <string>

#include "fakes/fake_process.h"

namespace sycamorebend {

struct WeightStoreOptions {
  std::string address;
  std::int64_t bytes_per_second = 100 << 20;
};

WeightStoreOptions ReadWeightStoreOptions(SettingsObject& settings);

class WeightStore : public FakeServer, public HttpHandler {
 public:
  explicit WeightStore(const WeightStoreOptions& options);
  ~WeightStore() override;

  Status Start() override;
  void StopGracefully() override;
  void Handle(std::shared_ptr<HttpExchange> exchange) override;

  std::string Address() const { return this->server->Address(); }

 private:
  struct Download {
    std::shared_ptr<HttpExchange> exchange;
    std::int64_t remaining_bytes;
  };

  void SendDueBytes();

  const WeightStoreOptions options;
  const SystemClock clock;
  std::mutex mutex;
  std::list<Download> downloads;
  std::uint64_t finished = 0;
  std::unique_ptr<HttpServer> server;
  ControlThread thread;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_WEIGHT_STORE_H_
