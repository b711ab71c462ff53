#include "http/hangup_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace sycamorebend::internal {

namespace {

constexpr std::uint64_t kStopId = 0;
constexpr int kEventsPerWait = 64;

}  // namespace

HangupWatcher::HangupWatcher()
    : epoll_fd(epoll_create1(EPOLL_CLOEXEC)), stop_fd(eventfd(0, EFD_CLOEXEC)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kStopId;
  epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, this->stop_fd, &event);
  this->thread = std::thread([this] { this->Run(); });
}

HangupWatcher::~HangupWatcher() {
  eventfd_write(this->stop_fd, 1);
  this->thread.join();
  close(this->stop_fd);
  close(this->epoll_fd);
}

std::uint64_t HangupWatcher::Add(int fd, std::function<void()> callback) {
  std::lock_guard lock(this->mutex);
  const std::uint64_t id = this->next_id++;
  this->watches.emplace(id, Watch{fd, std::move(callback)});
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLONESHOT;
  event.data.u64 = id;
  epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  return id;
}

void HangupWatcher::Remove(std::uint64_t id) {
  std::lock_guard lock(this->mutex);
  const auto watch = this->watches.find(id);
  if (watch == this->watches.end()) {
    return;
  }
  epoll_ctl(this->epoll_fd, EPOLL_CTL_DEL, watch->second.fd, nullptr);
  this->watches.erase(watch);
}

void HangupWatcher::Fire(std::uint64_t id) {
  std::function<void()> callback;
  {
    std::lock_guard lock(this->mutex);
    const auto watch = this->watches.find(id);
    if (watch == this->watches.end()) {
      return;
    }
    callback = std::move(watch->second.callback);
    epoll_ctl(this->epoll_fd, EPOLL_CTL_DEL, watch->second.fd, nullptr);
    this->watches.erase(watch);
  }
  callback();
}

void HangupWatcher::Run() {
  std::array<epoll_event, kEventsPerWait> events{};
  for (;;) {
    const int count =
        epoll_wait(this->epoll_fd, events.data(), kEventsPerWait, -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopId) {
        return;
      }
      this->Fire(events[i].data.u64);
    }
  }
}

}  // namespace sycamorebend::internal
