#include "http/socket_drainer.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace sycamorebend::internal {

namespace {

constexpr std::uint64_t kWakeId = 0;
constexpr int kEventsPerWait = 64;
constexpr std::size_t kReadBytes = 64 << 10;
// Maximum bytes that are dropped of one peer.
constexpr std::size_t kMaxDroppedBytes = 16 << 20;
// Beyond this the oldest socket is closed.
constexpr std::size_t kMaxSockets = 1024;

}  // namespace

SocketDrainer::SocketDrainer(Duration max_time)
    : max_time(max_time),
      epoll_fd(epoll_create1(EPOLL_CLOEXEC)),
      wake_fd(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      timers(this->clock) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, this->wake_fd, &event);
  this->thread = std::thread([this] { this->Run(); });
}

SocketDrainer::~SocketDrainer() {
  {
    std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  eventfd_write(this->wake_fd, 1);
  this->thread.join();
  while (!this->sockets.empty()) {
    this->CloseLocked(this->sockets.begin()->first);
  }
  close(this->wake_fd);
  close(this->epoll_fd);
}

void SocketDrainer::Add(int fd) {
  shutdown(fd, SHUT_WR);
  {
    std::lock_guard lock(this->mutex);
    if (this->sockets.size() >= kMaxSockets) {
      LogEvent(Severity::kWarning, Event::kCallersShed,
               {{"count", 1},
                {"reason", "too many refused callers are still sending"},
                {"max_connections", kMaxSockets}});
      this->CloseLocked(this->sockets.begin()->first);
    }
    const std::uint64_t id = this->next_id++;
    const TimerId timer =
        this->timers.SubscribeOnce(this->clock.Now() + this->max_time,
                                   [this, id] { this->CloseLocked(id); });
    this->sockets.emplace(id, Socket{fd, kMaxDroppedBytes, timer});
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = id;
    epoll_ctl(this->epoll_fd, EPOLL_CTL_ADD, fd, &event);
  }
  // The wait of the thread ends no later than the new timer.
  eventfd_write(this->wake_fd, 1);
}

void SocketDrainer::CloseLocked(std::uint64_t id) {
  const auto found = this->sockets.find(id);
  if (found == this->sockets.end()) {
    return;
  }
  this->timers.Cancel(found->second.timer);
  close(found->second.fd);
  this->sockets.erase(found);
}

void SocketDrainer::ReadLocked(std::uint64_t id) {
  const auto found = this->sockets.find(id);
  if (found == this->sockets.end()) {
    return;
  }
  Socket& socket = found->second;
  std::array<char, kReadBytes> dropped;
  const ssize_t size = recv(socket.fd, dropped.data(), dropped.size(), 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  const auto count = static_cast<std::size_t>(std::max<ssize_t>(0, size));
  if (count == 0 || count >= socket.bytes_left) {
    this->CloseLocked(id);
    return;
  }
  socket.bytes_left -= count;
}

int SocketDrainer::WaitMs() {
  std::lock_guard lock(this->mutex);
  const TimePoint next = this->timers.NextDeadline();
  if (next == TimePoint::max()) {
    return -1;
  }
  const auto left =
      std::chrono::ceil<milliseconds>(next - this->clock.Now()).count();
  return static_cast<int>(std::max<std::int64_t>(0, left));
}

void SocketDrainer::Run() {
  std::array<epoll_event, kEventsPerWait> events{};
  for (;;) {
    const int count = epoll_wait(this->epoll_fd, events.data(), kEventsPerWait,
                                 this->WaitMs());
    std::lock_guard lock(this->mutex);
    if (this->stopping) {
      return;
    }
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kWakeId) {
        eventfd_t value = 0;
        eventfd_read(this->wake_fd, &value);
      } else {
        this->ReadLocked(events[i].data.u64);
      }
    }
    this->timers.RunDue();
  }
}

}  // namespace sycamorebend::internal
