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

namespace {

std::string RecordCommand(const std::string& content,
                          std::int64_t quarantine_ms,
                          int findings = 1) {
  Json::Value command;
  command["type"] = "finding.record";
  command["content"] = content;
  command["quarantine_ms"] = Json::Int64(quarantine_ms);
  command["findings"] = findings;
  return WriteJson(command);
}

}  // namespace

// Guards against findings of gateways that are lost when all gateways, or all
// processes, end at the same moment.
BOOST_FIXTURE_TEST_CASE(FindingOfAGatewayIsKeptUntilItEnds, FindingFixture) {
  this->Run(RecordCommand("parts:1,2", 600000, 3)).value();
  BOOST_TEST(this->Restart().has_value());
  auto shared = this->state->Shared();
  BOOST_REQUIRE(shared->crash_findings.size() == 1U);
  const auto read = SharedStateFromJson(SharedStateToJson(*shared));
  BOOST_REQUIRE(read);
  BOOST_REQUIRE(read.value().crash_findings.size() == 1U);
  BOOST_TEST(read.value().crash_findings[0].content == "parts:1,2");
  BOOST_TEST(read.value().crash_findings[0].until_ms == this->now_ms + 600000);
  BOOST_TEST(read.value().crash_findings[0].findings == 3U);
  this->now_ms += 599999;
  BOOST_TEST(!this->state->NeedsTick(this->now_ms));
  this->now_ms += 1;
  BOOST_TEST(this->state->NeedsTick(this->now_ms));
  this->Run(R"({"type":"clock.tick"})").value();
  BOOST_TEST(this->state->Shared()->crash_findings.empty());
}

// Guards against a new version of the shared state for each gateway that
// reports the same finding, and against findings without a bound.
BOOST_FIXTURE_TEST_CASE(FindingsOfGatewaysAreBounded, FindingFixture) {
  this->Run(RecordCommand("parts:1", 600000)).value();
  const std::uint64_t version = this->state->Shared()->version;
  this->now_ms += 1000;
  this->Run(RecordCommand("parts:1", 600000)).value();
  BOOST_TEST(this->state->Shared()->version == version);
  this->Run(RecordCommand("parts:1", 1200000)).value();
  BOOST_TEST(this->state->Shared()->version == version + 1);
  for (int i = 0; i < 400; ++i) {
    this->Run(RecordCommand("request:" + std::to_string(i), 9007199254740991))
        .value();
  }
  const auto shared = this->state->Shared();
  BOOST_TEST(shared->crash_findings.size() == this->limits.crash_findings);
  BOOST_TEST(shared->crash_findings.back().until_ms ==
             this->now_ms + this->limits.max_quarantine_ms);
}

}  // namespace sycamorebend
