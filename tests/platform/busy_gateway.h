// A gateway process with requests in work, which must be answered whole
// whatever happens to others meanwhile.
#ifndef SYCAMOREBEND_TESTS_PLATFORM_BUSY_GATEWAY_H_
#define SYCAMOREBEND_TESTS_PLATFORM_BUSY_GATEWAY_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "gateway/raw_caller.h"
#include "gateway/scripted_server.h"
#include "platform/platform_fleet.h"

namespace sycamorebend::platform {

inline constexpr const char* kRequestId = "X-Sycamorebend-Request-Id";
inline constexpr const char* kSignature =
    "X-Sycamorebend-Response-Signature: s\r\n";

// An engine that responds to held requests only after a release, to all others
// at once.
class HoldingEngine {
 public:
  bool operator()(const gateway::ReceivedRequest& request,
                  gateway::Socket& socket);
  void Release() { this->released = true; }
  int Held() const { return this->held; }

 private:
  std::atomic<bool> released{false};
  std::atomic<int> held{0};
};

// Callers of host "h.example" whose requests are held, half of them with a
// stream that has begun.
class HeldRequests {
 public:
  explicit HeldRequests(const std::string& address);

  int Count() const { return static_cast<int>(this->callers.size()); }
  // Reads all responses and checks that they are whole.
  void CheckAnswers();

 private:
  std::vector<std::unique_ptr<gateway::RawCaller>> callers;
};

// A gateway with one engine of the service "app" and the routes of host
// "h.example" below. The service "faulty" is left to the test.
//
// Prefix  Kind                        Service
// /a/     idempotent                  app
// /n/     non-idempotent              app
// /s/     stream                      app
// /k/     resumable stream, with key  app
// /fa/    idempotent                  faulty
// /fn/    non-idempotent              faulty
// /fs/    resumable stream            faulty
class BusyGateway {
 public:
  // @param changes template fields that replace the default ones.
  explicit BusyGateway(const TemplateFields& changes = {});
  ~BusyGateway() { this->engine.Release(); }

  // Adds a server of the service "faulty".
  void AddFaultyServer(const gateway::ScriptedServer& faulty);
  // Renews the leases of these servers.
  void ReportFaultyServers();
  // Sends the requests that are held until CheckHeldRequests.
  void HoldRequests();
  // Checks that the process runs and that the held requests are answered.
  void CheckHeldRequests();

  std::string Address() const { return this->fleet.CallerAddress(0); }
  PlatformFleet& Fleet() { return this->fleet; }
  ChildProcess& Process() { return this->fleet.Gateway(0); }
  // @return the response up to the end of its head.
  std::string Send(const std::string& request) const;
  // @return true if a request to the service is answered.
  bool Serves() const;
  // @return number of requests in work; -1 if the process does not say.
  int OpenRequests() { return this->fleet.OpenRequests(0); }
  int Held() const { return this->held->Count(); }

 private:
  HoldingEngine engine;
  PlatformFleet fleet;
  gateway::ScriptedServer server;
  std::unique_ptr<HeldRequests> held;
  std::vector<std::string> faulty_servers;  // Addresses.
};

}  // namespace sycamorebend::platform

#endif  // SYCAMOREBEND_TESTS_PLATFORM_BUSY_GATEWAY_H_
