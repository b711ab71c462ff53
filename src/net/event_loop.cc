#include "net/event_loop.h"

#include <ev.h>

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sycamorebend::net {

namespace {

// Upper limit of one wait. After a suspension of the VM the clock is ahead of
// the loop's timer; due timers then run at most this much later.
constexpr Duration kMaxWait = seconds(1);

constexpr unsigned kLoopFlags = static_cast<unsigned>(EVBACKEND_EPOLL) |
                                static_cast<unsigned>(EVFLAG_NOENV);

// libev takes durations in seconds.
double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

class LibevLoop : public EventLoop {
 public:
  explicit LibevLoop(const Clock& clock)
      : clock(clock), timers(clock), loop(ev_loop_new(kLoopFlags)) {
    ev_async_init(&this->wake, &LibevLoop::OnWake);
    this->wake.data = this;
    ev_async_start(this->loop, &this->wake);
    ev_prepare_init(&this->prepare, &LibevLoop::OnPrepare);
    this->prepare.data = this;
    ev_prepare_start(this->loop, &this->prepare);
    ev_timer_init(&this->timer, &LibevLoop::OnTimer, 0., 0.);
    this->timer.data = this;
  }

  ~LibevLoop() override {
    for (auto& [fd, watched] : this->watchers) {
      ev_io_stop(this->loop, &watched->io);
    }
    ev_loop_destroy(this->loop);
  }

  void Watch(int fd, FdHandler& handler, bool read, bool write) override {
    std::unique_ptr<Watcher>& watcher = this->watchers[fd];
    if (watcher == nullptr) {
      watcher = std::make_unique<Watcher>();
      watcher->io.data = watcher.get();
      ev_io_init(&watcher->io, &LibevLoop::OnReady, fd, 0);
    }
    watcher->handler = &handler;
    const int events = (read ? EV_READ : 0) | (write ? EV_WRITE : 0);
    if (ev_is_active(&watcher->io) &&
        (watcher->io.events & (EV_READ | EV_WRITE)) == events) {
      return;
    }
    ev_io_stop(this->loop, &watcher->io);
    ev_io_set(&watcher->io, fd, events);
    if (events != 0) {
      ev_io_start(this->loop, &watcher->io);
    }
  }

  void Unwatch(int fd) override {
    const auto found = this->watchers.find(fd);
    if (found != this->watchers.end()) {
      ev_io_stop(this->loop, &found->second->io);
      this->unwatched.push_back(std::move(found->second));
      this->watchers.erase(found);
    }
  }

  void Post(std::function<void()> task) override {
    {
      std::lock_guard lock(this->mutex);
      this->tasks.push_back(std::move(task));
    }
    ev_async_send(this->loop, &this->wake);
  }

  void Run() override { ev_run(this->loop, 0); }

  void Stop() override {
    this->Post([this] { ev_break(this->loop, EVBREAK_ALL); });
  }

  TimePoint Now() const override { return this->clock.Now(); }

  TimerId SubscribeOnce(TimePoint deadline,
                        std::function<void()> callback) override {
    return this->timers.SubscribeOnce(deadline, std::move(callback));
  }
  TimerId SubscribePeriodic(Duration period,
                            std::function<void()> callback) override {
    return this->timers.SubscribePeriodic(period, std::move(callback));
  }
  void Cancel(TimerId id) override { this->timers.Cancel(id); }

 private:
  struct Watcher {
    ev_io io{};
    FdHandler* handler = nullptr;
  };

  static void OnReady(struct ev_loop* /*loop*/, ev_io* io, int events) {
    auto* const watcher = static_cast<Watcher*>(io->data);
    if ((events & EV_READ) != 0) {
      watcher->handler->OnReadable();
    }
    // OnReadable may have called Unwatch.
    if ((events & EV_WRITE) != 0 && ev_is_active(io)) {
      watcher->handler->OnWritable();
    }
  }

  static void OnWake(struct ev_loop* /*loop*/, ev_async* wake, int /*events*/) {
    static_cast<LibevLoop*>(wake->data)->RunTasks();
  }

  static void OnTimer(struct ev_loop* /*loop*/, ev_timer*, int /*events*/) {}

  static void OnPrepare(struct ev_loop* /*loop*/,
                        ev_prepare* prepare,
                        int /*events*/) {
    static_cast<LibevLoop*>(prepare->data)->BeforeWait();
  }

  void RunTasks() {
    std::vector<std::function<void()>> ready;
    {
      std::lock_guard lock(this->mutex);
      ready.swap(this->tasks);
    }
    for (const auto& task : ready) {
      task();
    }
  }

  void BeforeWait() {
    this->timers.RunDue();
    this->unwatched.clear();
    const TimePoint now = this->clock.Now();
    const Duration wait = std::clamp<Duration>(
        std::min(this->timers.NextDeadline(), now + kMaxWait) - now,
        Duration{0}, kMaxWait);
    ev_now_update(this->loop);
    ev_timer_stop(this->loop, &this->timer);
    ev_timer_set(&this->timer, ToSeconds(wait), 0.);
    ev_timer_start(this->loop, &this->timer);
  }

  const Clock& clock;
  TimerQueue timers;
  struct ev_loop* const loop;
  ev_async wake{};
  ev_prepare prepare{};
  ev_timer timer{};
  std::unordered_map<int, std::unique_ptr<Watcher>> watchers;
  // Unwatched descriptors, freed before the next wait because callbacks of the
  // current iteration may still refer to them.
  std::vector<std::unique_ptr<Watcher>> unwatched;
  std::mutex mutex;
  std::vector<std::function<void()>> tasks;
};

}  // namespace

std::unique_ptr<EventLoop> EventLoop::Create(const Clock& clock) {
  return std::make_unique<LibevLoop>(clock);
}

}  // namespace sycamorebend::net
