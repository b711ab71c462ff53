#define BOOST_TEST_MODULE control_foreign_leader
#include <boost/test/unit_test.hpp>

#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "controld/control_daemon.h"
#include "system/process.h"

namespace sycamorebend {

namespace {

// Well above the time of any step, so that only a failed condition reaches it.
constexpr Duration kStepTimeout = seconds(45);

class Replica {
 public:
  Replica() { this->settings.log.address = FreeAddress(); }

  std::string Address() const { return this->settings.log.address; }

  void Start(const std::vector<std::string>& seeds, bool bootstrap) {
    this->settings.log.data_directory = this->directory.Path() + "/data";
    this->settings.seeds = seeds;
    this->settings.bootstrap = bootstrap;
    this->settings.voters = 3;
    auto started = ControlDaemon::Start(this->settings);
    BOOST_REQUIRE(started.has_value());
    this->daemon = std::move(started.value());
  }

  void Stop() { this->daemon.reset(); }

  // @return the epoch of the state after a step of periodic work.
  std::string Advance() {
    BOOST_REQUIRE(this->daemon->Advance().has_value());
    return this->daemon->Shared()->epoch;
  }

  bool WasRemoved() const { return this->daemon->WasRemoved(); }

  // @return the calls of `method` so far, by the metrics.
  double Calls(const std::string& method) const {
    HttpCall call;
    call.url = "http://" + this->Address() + "/metrics";
    const auto response = this->client->Fetch(call);
    std::istringstream lines(response ? response.value().body : "");
    double calls = 0;
    for (std::string line; std::getline(lines, line);) {
      if (line.find("method=\"" + method + "\"") != std::string::npos) {
        calls += std::stod(line.substr(line.rfind(' ')));
      }
    }
    return calls;
  }

 private:
  const TemporaryDirectory directory;
  const std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  ControlSettings settings;
  std::unique_ptr<ControlDaemon> daemon;
};

}  // namespace

// Guards against a replica that erases its state because a leader of another
// deployment, at an address that was one of its own deployment's, does not know
// it.
BOOST_AUTO_TEST_CASE(LeaderOfAnotherDeploymentRemovesNobody) {
  // Its ID is above that of the only replica of the other deployment.
  Replica founders[2];
  Replica& founder = founders[founders[0].Address() < founders[1].Address()];
  Replica& other_founder = founders[&founder == &founders[0]];
  Replica foreign;
  const std::vector<std::string> seeds = {founder.Address(),
                                          other_founder.Address()};
  founder.Start(seeds, true);
  other_founder.Start(seeds, true);
  foreign.Start({foreign.Address()}, true);
  std::string epoch;
  BOOST_REQUIRE(WaitFor(
      [&] {
        epoch = founder.Advance();
        other_founder.Advance();
        return !epoch.empty() && !foreign.Advance().empty();
      },
      kStepTimeout));
  founder.Advance();
  founder.Stop();
  other_founder.Stop();

  // The other deployment's replica asked itself until it was elected.
  const double earlier_calls = foreign.Calls("replica.member");
  // The founder's state is empty until a majority has confirmed the entries of
  // its log.
  founder.Start({foreign.Address(), founder.Address()}, false);
  BOOST_REQUIRE(WaitFor(
      [&] {
        founder.Advance();
        return founder.WasRemoved() ||
               foreign.Calls("replica.member") >= earlier_calls + 2;
      },
      kStepTimeout));
  BOOST_TEST(!founder.WasRemoved());
  other_founder.Start(seeds, false);
  BOOST_TEST(WaitFor(
      [&] {
        other_founder.Advance();
        return founder.Advance() == epoch;
      },
      kStepTimeout));
}

}  // namespace sycamorebend
