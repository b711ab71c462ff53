// A small stand-in for the platform's API for duties, which checks what holders
// of a duty must keep.
#ifndef SYCAMOREBEND_TESTS_PLATFORM_DUTY_STAND_IN_H_
#define SYCAMOREBEND_TESTS_PLATFORM_DUTY_STAND_IN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/http.h"

namespace sycamorebend::platform {

// @return the value of a header of `request`; empty if it has none.
std::string HeaderOf(const HttpRequest& request, const std::string& name);

class DutyStandIn : public HttpHandler {
 public:
  DutyStandIn();
  ~DutyStandIn() override;

  std::string Address() const { return this->server->Address(); }

  // While set, calls get no response and are kept.
  void SetSilent(bool now_silent) { this->silent = now_silent; }
  // Executes the calls that were kept, after whatever was executed since.
  void ExecuteLate();

  // @return the sum of all counts of a customer.
  std::uint64_t Reported(const std::string& customer) const;
  // @return the number of calls that were accepted.
  std::size_t Accepted() const;
  // @return the name of the VM whose call was accepted last.
  std::string LastOwner() const;
  // @return the number of kept calls that were not executed.
  std::size_t Kept() const;
  // @return what was done against the rules.
  std::vector<std::string> Violations() const;

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  struct Call {
    std::string owner;
    std::uint64_t token = 0;
    Json::Value body;
  };

  // @return the status of the response.
  int Execute(const Call& call);

  std::atomic<bool> silent{false};
  mutable std::mutex mutex;
  std::vector<Call> kept;
  std::vector<std::shared_ptr<HttpExchange>> unanswered;
  std::map<std::uint64_t, Json::Value> windows;
  std::map<std::uint64_t, std::string> owners_by_token;
  std::uint64_t highest_token = 0;
  std::size_t accepted = 0;
  std::string last_owner;
  std::vector<std::string> violations;
  std::unique_ptr<HttpServer> server;
};

}  // namespace sycamorebend::platform

#endif  // SYCAMOREBEND_TESTS_PLATFORM_DUTY_STAND_IN_H_
