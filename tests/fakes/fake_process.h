// Main function shared by the fakes: flags, settings file and signals.
#ifndef SYCAMOREBEND_TESTS_FAKES_FAKE_PROCESS_H_
#define SYCAMOREBEND_TESTS_FAKES_FAKE_PROCESS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

// A running fake server.
class FakeServer {
 public:
  virtual ~FakeServer() = default;
  virtual Status Start() = 0;
  // Finishes the requests in flight. Called once.
  virtual void StopGracefully() = 0;
};

// Creates a fake from its settings. Called before threads are started.
using FakeFactory =
    std::function<Result<std::unique_ptr<FakeServer>>(SettingsObject&)>;

// Runs a fake until SIGTERM or SIGINT.
// @return the exit status: 0, or 2 for bad settings, 1 for other errors.
int RunFake(int argc, char** argv, const FakeFactory& factory);

// Settings shared by all fakes that announce themselves.
struct FakeIdentity {
  std::string address;
  std::string server_id;
  std::vector<std::string> entry_addresses;
  std::string labels;
  std::string failure_domain;
};
FakeIdentity ReadIdentity(SettingsObject& settings);

// @return {"a": "b"} for "a=b".
Json::Value LabelsJson(const std::string& labels);

// Responds with `value` as JSON.
void RespondJson(HttpExchange& exchange, int status, const Json::Value& value);

// Waits until `server` has no open exchange, but not longer than `limit`.
void WaitForExchanges(const HttpServer& server, Duration limit);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_FAKE_PROCESS_H_
