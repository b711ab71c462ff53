#include <boost/test/unit_test.hpp>

#include "control_fixture.h"

namespace sycamorebend {

namespace {

struct FindingFixture : ControlFixture {
  // Reports from one entry daemon that had `candidates` in flight.
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

  std::set<std::string> Settle() {
    this->now_ms += this->limits.crash_report_window_ms;
    BOOST_TEST(this->state->NeedsTick(this->now_ms));
    this->Run(R"({"type":"clock.tick"})").value();
    BOOST_TEST(!this->state->NeedsTick(this->now_ms));
    return this->state->Shared()->quarantined;
  }
};

using Names = std::set<std::string>;

}  // namespace

// Guards against a request that keeps crashing servers.
BOOST_FIXTURE_TEST_CASE(SecondCrashQuarantines, FindingFixture) {
  this->Report("s1", {"bad", "x", "y"});
  BOOST_TEST((this->Settle() == Names{}));
  this->Report("s2", {"bad", "z"});
  BOOST_TEST((this->Settle() == Names{"bad"}));
  BOOST_TEST(this->Restart().has_value());
  BOOST_TEST((this->state->Shared()->quarantined == Names{"bad"}));
}

// Guards against counting one crash twice: several reports of it arrive.
BOOST_FIXTURE_TEST_CASE(OneCrashIsNoProof, FindingFixture) {
  this->Report("s1", {"x"});
  this->Report("s1", {"x"});
  BOOST_TEST((this->Settle() == Names{}));
}

// Guards against an innocent request that was in flight beside the culprit
// twice: the culprit came through another entry daemon, which reports later.
BOOST_FIXTURE_TEST_CASE(CandidatesOfAllEntryDaemonsCount, FindingFixture) {
  this->Report("s1", {"innocent"});
  this->now_ms += this->limits.crash_report_window_ms / 2;
  this->Report("s1", {"bad"});
  this->Settle();
  this->Report("s2", {"innocent"});
  this->Report("s2", {"bad"});
  BOOST_TEST((this->Settle() == Names{}));
  this->Report("s3", {"bad"});
  BOOST_TEST((this->Settle() == Names{"bad"}));
}

// Guards against blaming a request that was beside two different culprits:
// a crash that a quarantined request explains is no evidence against others.
BOOST_FIXTURE_TEST_CASE(ExplainedCrashesAreNoEvidence, FindingFixture) {
  this->Report("s1", {"bad"});
  this->Settle();
  this->Report("s2", {"bad"});
  this->Settle();
  this->Report("s3", {"bad", "innocent", "x"});
  this->Settle();
  this->Report("s4", {"innocent", "y"});
  BOOST_TEST((this->Settle() == Names{"bad"}));
}

// Guards against evidence from unrelated crashes hours apart.
BOOST_FIXTURE_TEST_CASE(OldCrashesAreForgotten, FindingFixture) {
  this->Report("s1", {"x"});
  this->Settle();
  this->now_ms += this->limits.crash_retention_ms;
  this->Report("s2", {"x"});
  BOOST_TEST((this->Settle() == Names{}));
}

}  // namespace sycamorebend
