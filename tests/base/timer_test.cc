#include <boost/test/unit_test.hpp>

#include <atomic>

#include "sycamorebend/base.h"

namespace sycamorebend {

BOOST_AUTO_TEST_CASE(TimersRunInOrderOfDeadline) {
  ManualClock clock;
  TimerQueue timers(clock);
  std::string order;
  timers.SubscribeOnce(clock.Now() + milliseconds(20), [&] { order += "b"; });
  timers.SubscribeOnce(clock.Now() + milliseconds(10), [&] { order += "a"; });
  clock.Advance(milliseconds(30));
  timers.RunDue();
  BOOST_TEST(order == "ab");
  BOOST_TEST((timers.NextDeadline() == TimePoint::max()));
}

// Guards against a burst of calls after the process was frozen.
BOOST_AUTO_TEST_CASE(LatePeriodicTimerRunsOnce) {
  ManualClock clock;
  TimerQueue timers(clock);
  int calls = 0;
  timers.SubscribePeriodic(milliseconds(10), [&] { ++calls; });
  clock.Advance(seconds(5));
  timers.RunDue();
  BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(PeriodicTimerCanCancelItself) {
  ManualClock clock;
  TimerQueue timers(clock);
  int calls = 0;
  TimerId id = 0;
  id = timers.SubscribePeriodic(milliseconds(10), [&] {
    ++calls;
    timers.Cancel(id);
  });
  for (int i = 0; i < 3; ++i) {
    clock.Advance(milliseconds(10));
    timers.RunDue();
  }
  BOOST_TEST(calls == 1);
}

// Guards against a caller that waits for ever on a task dropped by a stop.
BOOST_AUTO_TEST_CASE(ControlThreadRunsTasksInOrder) {
  SystemClock clock;
  ControlThread control(clock);
  std::string order;
  control.Post([&] { order += "1"; });
  control.Post([&] { order += "2"; });
  control.PostAndWait([&] { order += "3"; });
  BOOST_TEST(order == "123");
  control.Stop();
  control.PostAndWait([&] { order += "4"; });
  BOOST_TEST(order == "123");
}

}  // namespace sycamorebend
