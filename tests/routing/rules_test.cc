// One test for each rule of docs/routing.md that scheduler_test.cc does not
// cover.
#include <boost/test/unit_test.hpp>

#include <map>

#include "fixture.h"
#include "routing/retry_budget.h"

namespace sycamorebend {

BOOST_FIXTURE_TEST_SUITE(RulesTest, Fixture)

// Guards against a customer with many queued requests that starves the others.
BOOST_AUTO_TEST_CASE(CustomersShareAQueueByWeight) {
  Policy policy = MakePolicy();
  policy.customers[1].weight = 2;
  Apply(policy);
  Server("s1", 1);
  Submit("busy", "standard");
  for (int i = 0; i < 12; ++i) {
    Submit("a" + std::to_string(i), "standard", "a");
  }
  for (int i = 0; i < 12; ++i) {
    Submit("b" + std::to_string(i), "standard", "b");
  }
  Actions();
  std::string running = "busy";
  std::map<char, int> served;
  for (int i = 0; i < 9; ++i) {
    Done(running);
    const std::string action = Action();
    running = action.substr(9, action.find(' ', 9) - 9);
    ++served[running[0]];
  }
  BOOST_TEST(served['b'] == 6);
  BOOST_TEST(served['a'] == 3);
}

// Guards against a customer that exceeds its limit.
BOOST_AUTO_TEST_CASE(CustomerLimitCountsQueuedRequests) {
  Policy policy = MakePolicy();
  policy.customers[0].max_in_flight = 2;
  Apply(policy);
  Server("s1", 1);
  Submit("r1", "standard");
  Submit("r2", "standard");
  Submit("r3", "standard");
  BOOST_TEST(Action() == "dispatch r1 s1 p1; queue r2; refuse r3 303");
  scheduler->Cancel("r2", now);
  Submit("r4", "standard");
  BOOST_TEST(Action() == "queue r4");
}

// Guards against a queue that grows without limit.
BOOST_AUTO_TEST_CASE(FullQueueRefuses) {
  Policy policy = MakePolicy();
  policy.classes[1].max_queue = 1;
  Apply(policy);
  Server("s1", 1, {1});
  Submit("r1", "standard");
  Submit("r2", "standard");
  BOOST_TEST(Action() == "queue r1; refuse r2 304");
}

// Guards against requests in a tier that the customer was not granted.
BOOST_AUTO_TEST_CASE(TierMustBeGranted) {
  Policy policy = MakePolicy();
  policy.customers[0].tiers = {1};
  Apply(policy);
  Server("s1");
  Submit("r1", "urgent");
  BOOST_TEST(Action() == "refuse r1 204");
}

// Guards against lower-tier requests that fill all slots, so that the next
// urgent request has to preempt one.
BOOST_AUTO_TEST_CASE(LowerTiersLeaveHeadroom) {
  Server("s1", 16, {0, 13});
  Submit("b1", "batch");
  Submit("r1", "standard");
  BOOST_TEST(Action() == "queue b1; dispatch r1 s1 p1");
}

// Guards against entry daemons that all send requests to the same free slots.
BOOST_AUTO_TEST_CASE(FreeSlotsAreSharedAmongEntryDaemons) {
  scheduler->SetEntryCount(8);
  Server("s1", 16);
  for (int i = 0; i < 16; ++i) {
    Submit("r" + std::to_string(i), "standard");
  }
  int sent = 0;
  for (const std::string& action : Actions()) {
    sent += action.rfind("dispatch", 0) == 0 ? 1 : 0;
  }
  BOOST_TEST(sent >= 1);
  BOOST_TEST(sent <= 2);
}

// Guards against urgent requests that are accepted although they cannot finish
// in time, and against a refusal without a retry time.
BOOST_AUTO_TEST_CASE(UrgentOverloadRefusesWithRetryAfter) {
  Policy policy = MakePolicy();
  policy.classes[0].deadline = seconds(5);
  Apply(policy);
  Server("s1", 1, {100});
  Submit("r1", "urgent");
  const auto actions = scheduler->TakeActions();
  BOOST_REQUIRE(actions.size() == 1U);
  const auto& refusal = std::get<RefuseAction>(actions[0]);
  BOOST_TEST((refusal.code == ResultCode::kDeadlineUnreachable));
  BOOST_TEST((refusal.retry_after >= seconds(5)));
}

// Guards against an urgent backlog that makes every later request miss its
// target. A late request is held in the queue; it must be sent when a server
// has fewer urgent requests than slots, or shortly before its deadline.
BOOST_AUTO_TEST_CASE(LateUrgentRequestIsHeldAndThenSent) {
  Server("s1", 1, {5});
  Submit("r1", "urgent");
  Submit("r2", "urgent");
  BOOST_TEST(Action() == "queue r1; queue r2");
  Server("s1", 1, {0, 1});
  BOOST_TEST(Action() == "dispatch r1 s1 p0");
  now += seconds(1);
  Server("s1", 1, {1});
  Step(seconds(54));
  BOOST_TEST(Action().empty());
  Step(seconds(1));
  BOOST_TEST(Action() == "dispatch r2 s1 p0");
}

// Guards against urgent requests that are refused because of lower-tier load
// (requirement I1).
BOOST_AUTO_TEST_CASE(UrgentIsNotRefusedForLowerTiers) {
  Policy policy = MakePolicy();
  policy.classes[0].deadline = seconds(5);
  Apply(policy);
  Server("s1", 1, {0, 100, 100});
  Submit("r1", "urgent");
  BOOST_TEST(Action() == "dispatch r1 s1 p0");
}

// Guards against starvation of a request that was dispatched but waits at its
// server behind urgent requests (requirement I2).
BOOST_AUTO_TEST_CASE(RequestStuckAtAServerIsSentAgain) {
  Server("s1", 2);
  Submit("b1", "batch");
  BOOST_TEST(Action() == "dispatch b1 s1 p1");
  for (int i = 0; i < 29; ++i) {
    Step(seconds(1));
    Server("s1", 2, {2, 1});
  }
  BOOST_TEST(Action().empty());
  Step(seconds(1));
  BOOST_TEST(Action() == "cancel b1 s1; dispatch b1 s1 p0");
}

// Guards against applying the aging rule on every event, which would let a low
// tier starve the urgent one.
BOOST_AUTO_TEST_CASE(AgingRuleIsRateLimited) {
  Server("s1", 1, {1});
  for (int i = 0; i < 5; ++i) {
    Submit("b" + std::to_string(i), "batch");
  }
  Actions();
  Step(seconds(31));
  for (int i = 0; i < 10; ++i) {
    Server("s1", 1, {1});
    Step(milliseconds(50));
  }
  BOOST_TEST(Actions().size() == 1U);
}

// 295 gateways share 504 retries, 1.7 each. Guards against shares that are each
// rounded down, which leaves nearly half of the shared budget unused, and
// against a sum above it.
BOOST_AUTO_TEST_CASE(FractionsOfARetryBudgetCount) {
  internal::RetryLimits limits;
  limits.ratio = 0.2;
  limits.floor = 0;
  limits.slack = 504.0 / 295;
  const TimePoint now{seconds(100)};
  internal::RetryBudget budget(limits);
  BOOST_TEST(budget.Left(now) == 1);
  budget.CountRequest(now);
  budget.CountRequest(now);
  BOOST_TEST(budget.TryRetry(now));
  BOOST_TEST(budget.TryRetry(now));
  BOOST_TEST(!budget.TryRetry(now));
}

// Guards against retries that multiply the load when many servers fail.
BOOST_AUTO_TEST_CASE(RetryBudgetIsBounded) {
  for (int i = 0; i < 100; ++i) {
    Server("s" + std::to_string(i), 8);
  }
  int retried = 0;
  for (int i = 0; i < 90; ++i) {
    const std::string id = "r" + std::to_string(i);
    Submit(id, "urgent");
    Actions();
    Done(id, 1, ResultCode::kServerError);
    retried += Action().rfind("dispatch", 0) == 0 ? 1 : 0;
    scheduler->Cancel(id, now);
    Actions();
  }
  BOOST_TEST(retried == 30);
}

// Guards against a response that is lost although the server still has it, and
// against endless resumes at a server that does not respond.
BOOST_AUTO_TEST_CASE(StalledConnectionIsResumedAtTheOffset) {
  Server("s1");
  Submit("r1", "urgent");
  Actions();
  scheduler->OnFirstToken("r1", 1, now);
  Done("r1", 1, ResultCode::kServerStalled, 7);
  BOOST_TEST(Action() == "resume r1 s1 at 7");
  Done("r1", 1, ResultCode::kServerStalled, 7);
  BOOST_TEST(Action() == "resume r1 s1 at 7");
  Done("r1", 1, ResultCode::kServerStalled, 7);
  BOOST_TEST(Action() == "cancel r1 s1; refuse r1 507");
}

// Guards against a request that misses its first-token target because its
// server hangs.
BOOST_AUTO_TEST_CASE(RequestWithoutFirstTokenIsMoved) {
  Server("s1");
  Server("s2", 2, {1});
  Submit("r1", "urgent");
  BOOST_TEST(Action() == "dispatch r1 s1 p0");
  Step(milliseconds(700));
  BOOST_TEST(Action() == "cancel r1 s1; dispatch r1 s2 p0");
  scheduler->OnFirstToken("r1", 1, now);
  Done("r1", 1);
  BOOST_TEST(scheduler->GetStats().classes[0].finished == 0U);
}

// Guards against a request that crashes one server after another.
BOOST_AUTO_TEST_CASE(CrashingRequestIsQuarantined) {
  Server("s1", 4);
  Server("s2", 4, {1});
  Submit("bad", "urgent");
  Submit("good", "urgent");
  Actions();
  Done("bad", 1, ResultCode::kServerCrashed);
  Done("good", 1, ResultCode::kServerCrashed);
  const auto crash_reports = scheduler->TakeCrashReports();
  BOOST_REQUIRE(!crash_reports.empty());
  BOOST_TEST(crash_reports[0].server_id == "s1");
  Actions();
  Done("bad", 2, ResultCode::kServerCrashed);
  BOOST_TEST(Action().find("refuse bad 305") != std::string::npos);
  Server("s3", 4);
  RequestInfo again = MakeInfo("bad2", "urgent");
  again.fingerprint = "f-bad";
  scheduler->Submit(again, now);
  BOOST_TEST(Action().find("refuse bad2 305") != std::string::npos);
}

// Guards against prompts that crash one server after another because of a part
// that they share, although no two requests are alike.
BOOST_AUTO_TEST_CASE(CrashingPromptPrefixIsQuarantined) {
  const auto submit = [&](const std::string& id,
                          std::vector<std::uint64_t> prefixes) {
    RequestInfo info = MakeInfo(id, "urgent");
    info.prefix_hashes = std::move(prefixes);
    scheduler->Submit(info, now);
  };
  for (int i = 1; i <= 3; ++i) {
    Server("s" + std::to_string(i), 4);
  }
  submit("good", {1, 100});
  Actions();
  scheduler->OnFirstToken("good", 1, now);
  Done("good", 1);
  Actions();
  submit("bad1", {1, 66, 101});
  Done("bad1", 1, ResultCode::kServerCrashed);
  Actions();
  Step(seconds(1));
  scheduler->Cancel("bad1", now);
  Actions();
  submit("bad2", {1, 66, 102});
  Done("bad2", 1, ResultCode::kServerCrashed);
  BOOST_TEST(Action().find("refuse bad2 305") != std::string::npos);
  submit("bad3", {1, 66, 103});
  BOOST_TEST(Action().find("refuse bad3 305") != std::string::npos);
  submit("good2", {1, 104});
  BOOST_TEST(Action().find("dispatch good2") != std::string::npos);
}

// Guards against crash suspects that run on the same server, so that a second
// crash does not identify the one that causes it.
BOOST_AUTO_TEST_CASE(SuspectsAreKeptApart) {
  Server("s1", 4);
  Submit("r1", "urgent");
  Submit("r2", "urgent");
  Actions();
  Server("s2", 4);
  Done("r1", 1, ResultCode::kServerCrashed);
  Done("r2", 1, ResultCode::kServerCrashed);
  BOOST_TEST(Action() == "dispatch r1 s2 p0; queue r2");
  Done("r1", 2);
  BOOST_TEST(Action() == "dispatch r2 s2 p0");
}

// Guards against dispatches to a crashed server whose lease has not expired.
BOOST_AUTO_TEST_CASE(CrashedServerWaitsForItsNextReport) {
  Server("s1");
  Submit("r1", "urgent");
  Actions();
  Done("r1", 1, ResultCode::kServerCrashed);
  Actions();
  Submit("r2", "urgent");
  BOOST_TEST(Action() == "refuse r2 301");
  Step(milliseconds(500));
  Server("s1");
  Submit("r3", "urgent");
  BOOST_TEST(Action() == "dispatch r3 s1 p0");
}

// Guards against quarantined requests that stay queued.
BOOST_AUTO_TEST_CASE(QuarantineRefusesQueuedRequests) {
  Server("s1", 1, {1});
  Submit("r1", "standard");
  Actions();
  scheduler->SetQuarantine({"f-r1"}, now);
  BOOST_TEST(Action() == "refuse r1 305");
}

// Guards against prompt prefixes that are recomputed although another server
// caches them, and against a popular prefix that overloads its server.
BOOST_AUTO_TEST_CASE(CachedPrefixIsPreferredWithinBounds) {
  Server("s1", 8);
  Server("s2", 8, {1});
  scheduler->ApplyCacheEvents("s2", {false, {1, 2, 3}, {}});
  RequestInfo info = MakeInfo("r1", "urgent");
  info.prefix_hashes = {1, 2, 3};
  scheduler->Submit(info, now);
  BOOST_TEST(Action() == "dispatch r1 s2 p0");
  Server("s2", 8, {7});
  info.request_id = "r2";
  scheduler->Submit(info, now);
  BOOST_TEST(Action() == "dispatch r2 s1 p0");
}

// Guards against stale cached prefixes after cache events were lost.
BOOST_AUTO_TEST_CASE(GapInCacheEventsClearsThePrefixes) {
  Server("s1", 8);
  Server("s2", 8, {1});
  scheduler->ApplyCacheEvents("s2", {false, {1, 2, 3}, {}});
  scheduler->ApplyCacheEvents("s2", {true, {}, {}});
  RequestInfo info = MakeInfo("r1", "urgent");
  info.prefix_hashes = {1, 2, 3};
  scheduler->Submit(info, now);
  BOOST_TEST(Action() == "dispatch r1 s1 p0");
}

// Guards against dispatches to a straggler, and against a straggler that is
// never probed and so cannot show that it has recovered.
BOOST_AUTO_TEST_CASE(StragglerIsAvoidedAndProbed) {
  Server("s1", 8);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "w" + std::to_string(i);
    Submit(id, "standard");
    Actions();
    scheduler->OnFirstToken(id, 1, now);
    now += milliseconds(1600);
    scheduler->OnProgress(id, 1, 17, now);
    Done(id);
  }
  Server("s2", 8, {0, 1});
  // The first probe is due: the slow requests took longer than the probe
  // interval.
  Submit("r0", "standard");
  BOOST_TEST(Action() == "dispatch r0 s1 p1");
  Submit("r1", "standard");
  BOOST_TEST(Action() == "dispatch r1 s2 p1");
  Step(seconds(20));
  Actions();
  Server("s1", 8);
  Server("s2", 8, {0, 1});
  Submit("r2", "standard");
  BOOST_TEST(Action() == "dispatch r2 s1 p1");
}

// Guards against requests that are lost or stuck when operators remove their
// class or customer.
BOOST_AUTO_TEST_CASE(PolicyChangeKeepsRunningRequests) {
  Server("s1", 1);
  Submit("r1", "standard");
  Submit("r2", "standard");
  Submit("b1", "batch");
  Actions();
  Policy policy = MakePolicy();
  policy.classes.erase(policy.classes.begin() + 1);
  policy.customers.erase(policy.customers.begin());
  Apply(policy);
  BOOST_TEST(Action() == "refuse r2 206");
  Done("r1");
  BOOST_TEST(Action() == "dispatch b1 s1 p1");
  Apply(Policy());
  Done("b1");
  BOOST_TEST(Action().empty());
}

// Guards against a crash of the daemon on values that ParsePolicy rejects.
BOOST_AUTO_TEST_CASE(ExtremePolicyValuesAreHandled) {
  Policy policy = MakePolicy();
  policy.customers[0].weight = 0;
  policy.classes[0].tier = 99;
  policy.customers[0].tiers.insert(99);
  policy.classes[1].tier = -1;
  policy.classes[2].max_wait = Duration{0};
  policy.classes[2].deadline = Duration{0};
  Apply(policy);
  Server("s1", 0, {-5, 100000});
  for (const char* name : {"urgent", "standard", "batch"}) {
    Submit(name, name);
  }
  Step(seconds(100));
  Actions();
  BOOST_TEST((scheduler->NextWake() == TimePoint::max()));
}

// Guards against an explanation that changes the scheduler's state or omits why
// a server was rejected.
BOOST_AUTO_TEST_CASE(ExplainNamesCandidatesAndRejections) {
  Server("s1", 2, {}, false);
  Server("s2");
  const DecisionTrace trace =
      scheduler->Explain(MakeInfo("r1", "standard"), now);
  BOOST_TEST(trace.class_name == "standard");
  BOOST_TEST(trace.selector == "model=m");
  BOOST_REQUIRE(trace.candidates.size() == 2U);
  BOOST_TEST(trace.candidates[0].server_id == "s2");
  BOOST_TEST(trace.candidates[1].rejection == "not accepting");
  BOOST_TEST(Action().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend
