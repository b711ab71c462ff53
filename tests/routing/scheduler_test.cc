#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>

#include "fixture.h"

namespace sycamorebend {

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, Fixture)

// Guards against requests that are sent to a more loaded server.
BOOST_AUTO_TEST_CASE(LeastLoadedServerIsChosen) {
  Server("s1", 8, {0, 7});
  Server("s2", 8, {0, 1});
  Submit("r1", "standard");
  BOOST_TEST(Action() == "dispatch r1 s2 p1");
}

// Guards against requests that get no response when no server can serve them.
BOOST_AUTO_TEST_CASE(UnservableRequestsAreRefused) {
  Submit("r1", "standard");
  BOOST_TEST(Action() == "refuse r1 301");
  Server("s1", 2, {}, false);
  Submit("r2", "urgent");
  BOOST_TEST(Action() == "refuse r2 301");
  Submit("r3", "missing");
  BOOST_TEST(Action() == "refuse r3 206");
  Submit("r4", "urgent", "nobody");
  BOOST_TEST(Action() == "refuse r4 203");
}

// Guards against a request that stays queued although a slot became free.
BOOST_AUTO_TEST_CASE(QueuedRequestGetsAFreedSlot) {
  Server("s1", 1);
  Submit("r1", "standard");
  Submit("r2", "standard");
  BOOST_TEST(Action() == "dispatch r1 s1 p1; queue r2");
  Done("r1");
  BOOST_TEST(Action() == "dispatch r2 s1 p1");
}

// Guards against urgent requests that wait behind lower tiers (requirement I1).
BOOST_AUTO_TEST_CASE(UrgentIsSentToAServerThatRunsLowerTiers) {
  Server("s1", 2, {0, 1, 1});
  Submit("r1", "urgent");
  BOOST_TEST(Action() == "dispatch r1 s1 p0");
}

// Guards against starvation of the lowest tier (requirement I2).
BOOST_AUTO_TEST_CASE(AgedClassIsServedUnderEndlessUrgentLoad) {
  Server("s1", 1, {1});
  Submit("b1", "batch");
  BOOST_TEST(Action() == "queue b1");
  Step(seconds(29));
  BOOST_TEST(Action().empty());
  Step(seconds(1));
  BOOST_TEST(Action() == "dispatch b1 s1 p0");
}

// Guards against a response mixed from the outputs of two attempts: a request
// is retried only if no token was delivered.
BOOST_AUTO_TEST_CASE(RetryOnlyBeforeTheFirstToken) {
  Server("s1");
  Server("s2", 2, {2});
  Submit("r1", "urgent");
  Submit("r2", "urgent");
  BOOST_TEST(Actions().size() == 2U);
  Done("r1", 1, ResultCode::kServerCrashed);
  BOOST_TEST(Action() == "dispatch r1 s2 p0");
  Done("r2", 1, ResultCode::kServerCrashed, 3);
  BOOST_TEST(Action() == "refuse r2 507");
}

// Guards against late events of a previous attempt changing the request.
BOOST_AUTO_TEST_CASE(EventsOfOldAttemptsAreIgnored) {
  Server("s1");
  Server("s2", 2, {2});
  Submit("r1", "urgent");
  Done("r1", 1, ResultCode::kServerCrashed);
  Actions();
  Done("r1", 1);
  BOOST_TEST(scheduler->GetStats().classes[0].finished == 0U);
  Done("r1", 2);
  BOOST_TEST(scheduler->GetStats().classes[0].finished == 1U);
  BOOST_TEST(Action().empty());
}

// Guards against an order that runs twice (requirement I5).
BOOST_AUTO_TEST_CASE(OrdersAreDispatchedOnce) {
  Server("s1");
  Server("s2");
  Submit("o1", "order");
  Actions();
  Done("o1", 1, ResultCode::kServerCrashed);
  BOOST_TEST(Action() == "refuse o1 404");
  Submit("o2", "order");
  Actions();
  Done("o2", 1, ResultCode::kServerConnectFailed, 0, true);
  BOOST_TEST(Action() == "refuse o2 405");
}

// Guards against servers that continue a request after its caller disconnected
// or its deadline passed.
BOOST_AUTO_TEST_CASE(CancelAndDeadlineCancelTheAttempt) {
  Server("s1");
  Submit("r1", "urgent");
  Submit("r2", "urgent");
  Actions();
  scheduler->Cancel("r1", now);
  BOOST_TEST(Action() == "cancel r1 s1");
  Step(seconds(60));
  BOOST_TEST(Action() == "cancel r2 s1; refuse r2 302");
}

// Guards against dispatches to a server that has left, and against cancelling
// requests that a leaving server still finishes (requirements I6 and I7).
BOOST_AUTO_TEST_CASE(RemovedServersGetNoRequests) {
  Server("s1");
  Submit("r1", "urgent");
  Actions();
  scheduler->RemoveServer("s1", RemovalReason::kLeft, now);
  BOOST_TEST(Action().empty());
  Submit("r2", "urgent");
  BOOST_TEST(Action() == "refuse r2 301");
  Done("r1");
  BOOST_TEST(scheduler->GetStats().classes[0].finished == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend
