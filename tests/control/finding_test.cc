#include <boost/test/unit_test.hpp>

#include "control_fixture.h"

namespace sycamorebend {

namespace {

struct FindingFixture : ControlFixture {
  // Reports a crash from one entry daemon that had `candidates` in flight.
  void Report(const std::string& server,
              const std::vector<std::string>& candidates) {
    for (const std::string& fingerprint : candidates) {
      Json::Value command;
      command["type"] = "finding.report";
      command["fingerprint"] = fingerprint;
      command["server_id"] = server;
      command["incarnation"] = "1";
      for (const std::string& candidate : candidates) {
        command["candidates"].append(candidate);
      }
      this->Run(WriteJson(command)).value();
    }
  }

  std::set<std::string> EvaluateCrashes() {
    this->now_ms += this->limits.crash_report_window_ms;
    BOOST_TEST(this->state->NeedsTick(this->now_ms));
    this->Run(R"({"type":"clock.tick"})").value();
    BOOST_TEST(!this->state->NeedsTick(this->now_ms));
    return this->state->Shared()->quarantined;
  }
};

using Names = std::set<std::string>;

}  // namespace

// Guards against a request that crashes one server after another.
BOOST_FIXTURE_TEST_CASE(SecondCrashQuarantines, FindingFixture) {
  this->Report("s1", {"bad", "x", "y"});
  BOOST_TEST((this->EvaluateCrashes() == Names{}));
  this->Report("s2", {"bad", "z"});
  BOOST_TEST((this->EvaluateCrashes() == Names{"bad"}));
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST((this->state->Shared()->quarantined == Names{"bad"}));
}

// Guards against counting a crash twice because several reports of it arrive.
BOOST_FIXTURE_TEST_CASE(OneCrashDoesNotQuarantine, FindingFixture) {
  this->Report("s1", {"x"});
  this->Report("s1", {"x"});
  BOOST_TEST((this->EvaluateCrashes() == Names{}));
}

// Guards against quarantining a request that was in flight in two crashes which
// another request caused. The cause came through another entry daemon, whose
// report arrives later.
BOOST_FIXTURE_TEST_CASE(CandidatesOfAllEntryDaemonsCount, FindingFixture) {
  this->Report("s1", {"innocent"});
  this->now_ms += this->limits.crash_report_window_ms / 2;
  this->Report("s1", {"bad"});
  this->EvaluateCrashes();
  this->Report("s2", {"innocent"});
  this->Report("s2", {"bad"});
  BOOST_TEST((this->EvaluateCrashes() == Names{}));
  this->Report("s3", {"bad"});
  BOOST_TEST((this->EvaluateCrashes() == Names{"bad"}));
}

// Guards against quarantining a request that was in flight in a crash which a
// quarantined request explains, and in one other crash.
BOOST_FIXTURE_TEST_CASE(ExplainedCrashesDoNotCount, FindingFixture) {
  this->Report("s1", {"bad"});
  this->EvaluateCrashes();
  this->Report("s2", {"bad"});
  this->EvaluateCrashes();
  this->Report("s3", {"bad", "innocent", "x"});
  this->EvaluateCrashes();
  this->Report("s4", {"innocent", "y"});
  BOOST_TEST((this->EvaluateCrashes() == Names{"bad"}));
}

// Guards against combining crashes that are further apart than the retention
// time.
BOOST_FIXTURE_TEST_CASE(OldCrashesAreForgotten, FindingFixture) {
  this->Report("s1", {"x"});
  this->EvaluateCrashes();
  this->now_ms += this->limits.crash_retention_ms;
  this->Report("s2", {"x"});
  BOOST_TEST((this->EvaluateCrashes() == Names{}));
}

}  // namespace sycamorebend
