#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

// Upper limit of one wait, so that a deadline near TimePoint::max() cannot
// overflow inside the condition variable.
constexpr Duration kLongestWait = std::chrono::minutes(1);

}  // namespace

ControlThread::ControlThread(const Clock& clock)
    : clock(clock), timers(clock), thread([this] { this->Run(); }) {}

ControlThread::~ControlThread() {
  this->Stop();
}

void ControlThread::Post(std::function<void()> task) {
  {
    std::lock_guard lock(this->mutex);
    if (this->stopping) {
      return;
    }
    this->tasks.push_back(std::move(task));
  }
  this->wake.notify_one();
}

void ControlThread::PostAndWait(const std::function<void()>& task) {
  if (std::this_thread::get_id() == this->thread.get_id()) {
    task();
    return;
  }
  struct Completion {
    std::mutex mutex;
    std::condition_variable changed;
    bool done = false;
  };
  auto completion = std::make_shared<Completion>();
  // A dropped task still signals, so that the caller cannot hang on a stop.
  struct Signal {
    explicit Signal(std::shared_ptr<Completion> completion)
        : completion(std::move(completion)) {}
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;
    std::shared_ptr<Completion> completion;
    ~Signal() {
      std::lock_guard lock(this->completion->mutex);
      this->completion->done = true;
      this->completion->changed.notify_all();
    }
  };
  auto signal = std::make_shared<Signal>(completion);
  this->Post([&task, signal] { task(); });
  signal.reset();
  std::unique_lock lock(completion->mutex);
  completion->changed.wait(lock, [&] { return completion->done; });
}

TimerId ControlThread::SubscribeOnce(TimePoint deadline,
                                     std::function<void()> callback) {
  TimerId id = 0;
  {
    std::lock_guard lock(this->timer_mutex);
    id = this->timers.SubscribeOnce(deadline, std::move(callback));
  }
  this->Post([] {});
  return id;
}

TimerId ControlThread::SubscribePeriodic(Duration period,
                                         std::function<void()> callback) {
  TimerId id = 0;
  {
    std::lock_guard lock(this->timer_mutex);
    id = this->timers.SubscribePeriodic(period, std::move(callback));
  }
  this->Post([] {});
  return id;
}

void ControlThread::Cancel(TimerId id) {
  std::lock_guard lock(this->timer_mutex);
  this->timers.Cancel(id);
}

void ControlThread::Stop() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->wake.notify_one();
  if (this->thread.joinable() &&
      std::this_thread::get_id() != this->thread.get_id()) {
    this->thread.join();
  }
  std::deque<std::function<void()>> dropped;
  {
    std::lock_guard lock(this->mutex);
    dropped.swap(this->tasks);
  }
}

void ControlThread::Run() {
  for (;;) {
    std::function<void()> task;
    {
      TimePoint deadline;
      {
        std::lock_guard timer_lock(this->timer_mutex);
        deadline = this->timers.NextDeadline();
      }
      std::unique_lock lock(this->mutex);
      const TimePoint now = this->clock.Now();
      this->wake.wait_for(
          lock, std::min(deadline, now + kLongestWait) - now,
          [this] { return this->stopping || !this->tasks.empty(); });
      if (this->stopping) {
        return;
      }
      if (!this->tasks.empty()) {
        task = std::move(this->tasks.front());
        this->tasks.pop_front();
      }
    }
    if (task) {
      task();
    }
    std::lock_guard timer_lock(this->timer_mutex);
    this->timers.RunDue();
  }
}

}  // namespace sycamorebend
