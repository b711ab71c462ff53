#include "sycamorebend/base.h"

namespace sycamorebend {

TimerQueue::TimerQueue(const Clock& clock) : clock(clock) {}

TimerId TimerQueue::SubscribeOnce(TimePoint deadline,
                                  std::function<void()> callback) {
  const TimerId id = this->next_id++;
  this->Insert(deadline, Timer{id, Duration::zero(), std::move(callback)});
  return id;
}

TimerId TimerQueue::SubscribePeriodic(Duration period,
                                      std::function<void()> callback) {
  const TimerId id = this->next_id++;
  this->Insert(this->clock.Now() + period,
               Timer{id, period, std::move(callback)});
  return id;
}

void TimerQueue::Insert(TimePoint deadline, Timer timer) {
  this->deadlines[timer.id] = deadline;
  this->timers.emplace(deadline, std::move(timer));
}

void TimerQueue::Cancel(TimerId id) {
  const auto known = this->deadlines.find(id);
  if (known == this->deadlines.end()) {
    return;
  }
  auto [first, last] = this->timers.equal_range(known->second);
  for (; first != last; ++first) {
    if (first->second.id == id) {
      this->timers.erase(first);
      break;
    }
  }
  this->deadlines.erase(known);
}

void TimerQueue::RunDue() {
  const TimePoint now = this->clock.Now();
  while (!this->timers.empty() && this->timers.begin()->first <= now) {
    auto node = this->timers.extract(this->timers.begin());
    Timer& timer = node.mapped();
    this->deadlines.erase(timer.id);
    // A periodic timer is queued again first, so that its callback can cancel
    // it.
    if (timer.period > Duration::zero()) {
      this->Insert(now + timer.period, timer);
    }
    timer.callback();
  }
}

TimePoint TimerQueue::NextDeadline() const {
  return this->timers.empty() ? TimePoint::max() : this->timers.begin()->first;
}

}  // namespace sycamorebend
