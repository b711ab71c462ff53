// Runs timers in real time on a control thread, and without waiting on a
// manual clock.
#include <fmt/format.h>

#include <future>

#include "sycamorebend/base.h"

int main() {
  const sycamorebend::SystemClock clock;
  sycamorebend::ControlThread thread(clock);
  std::promise<void> fired;
  thread.SubscribeOnce(clock.Now() + sycamorebend::milliseconds(20),
                       [&fired] { fired.set_value(); });
  fired.get_future().wait();
  fmt::print("the control thread called back\n");

  sycamorebend::ManualClock manual;
  sycamorebend::TimerQueue queue(manual);
  int calls = 0;
  queue.SubscribePeriodic(sycamorebend::seconds(60), [&calls] { ++calls; });
  for (int minute = 0; minute < 5; ++minute) {
    manual.Advance(sycamorebend::seconds(60));
    queue.RunDue();
  }
  fmt::print("{} calls in 5 minutes of virtual time\n", calls);
  return calls == 5 ? 0 : 1;
}
