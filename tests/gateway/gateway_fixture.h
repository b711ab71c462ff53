// The data path of a gateway without control replicas: the test sets servers
// and routes.
#ifndef SYCAMOREBEND_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define SYCAMOREBEND_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway/route_handler.h"
#include "raw_caller.h"
#include "scripted_server.h"

namespace sycamorebend::gateway {

// A wire format with short header names, independent of any platform.
class TestFormat : public WireFormat {
 public:
  Result<RequestFields> ReadRequestFields(
      const net::MessageHead& head) const override;
  HttpHeaders ServerHeaders(const net::MessageHead& head,
                            const AttemptFields& fields) const override;
  ResponseFields ReadResponseFields(
      const net::MessageHead& head) const override;
  // @return the routes /safe/ (idempotent), /once/ (non-idempotent), /stream/
  // (a resumable stream) and /live/ (a stream that is not resumable).
  Result<RouteTable> ReadConfiguration(
      const Json::Value& document) const override;
};

class GatewayFixture {
 public:
  GatewayFixture();
  ~GatewayFixture();

  // Adds a server to the service "app".
  void AddServer(const ScriptedServer& server);
  // @param id_end is appended to the servers' IDs.
  void SetServers(const std::vector<std::string>& list,
                  const std::string& id_end = "");
  // Sets the routes of TestFormat::ReadConfiguration, after applying `change`
  // to them.
  void SetTable(const std::function<void(RouteTable&)>& change = {});
  std::string Address() const { return this->callers->Address(); }
  // Runs `task` on the thread of the loop and waits until it is done.
  void OnLoop(const std::function<void()>& task);

  std::size_t OpenRequests();

  SystemClock clock;
  TestFormat format;
  std::unique_ptr<net::EventLoop> loop = net::EventLoop::Create(clock);
  RequestMetrics metrics;
  CrashQuarantine quarantine;
  Balancer balancer{{"a", 1}};
  ServerPool pool{*loop, format};
  RetryBudgets budgets;
  ForwardContext context{*loop,   format,  balancer,  pool,
                         budgets, metrics, quarantine};
  RouteHandler handler{context};
  std::unique_ptr<CallerServer> callers;
  std::vector<std::string> addresses;
  std::uint64_t incarnation = 1;  // Of all servers.
  std::uint64_t sequence = 0;     // Of load messages from other gateways.
  std::thread thread;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
