// Single-threaded event loop for sockets, timers and posted tasks. All request
// forwarding runs on its thread, so that requests need no locks.
#ifndef SYCAMOREBEND_SRC_NET_EVENT_LOOP_H_
#define SYCAMOREBEND_SRC_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "sycamorebend/base.h"

namespace sycamorebend::net {

// Receives readiness events of one descriptor.
class FdHandler {
 public:
  virtual ~FdHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

// Methods are called on the loop's thread, except where stated.
class EventLoop : public TimerService {
 public:
  // @param clock must outlive the loop.
  static std::unique_ptr<EventLoop> Create(const Clock& clock);

  // Calls `handler` when `fd` is ready. A second call for the same descriptor
  // replaces its handler and events.
  virtual void Watch(int fd, FdHandler& handler, bool read, bool write) = 0;
  virtual void Unwatch(int fd) = 0;

  // Runs `task` on the loop's thread. Thread-safe.
  virtual void Post(std::function<void()> task) = 0;

  // Runs the loop until Stop.
  virtual void Run() = 0;
  // Thread-safe.
  virtual void Stop() = 0;

  virtual TimePoint Now() const = 0;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_EVENT_LOOP_H_
