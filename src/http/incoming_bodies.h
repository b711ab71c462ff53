// Bodies that an HTTP server is receiving, with a limit on all of them
// together. Thread-safe; no I/O.
#ifndef SYCAMOREBEND_SRC_HTTP_INCOMING_BODIES_H_
#define SYCAMOREBEND_SRC_HTTP_INCOMING_BODIES_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

class IncomingBodies {
 public:
  // @param shut ends the connection with a descriptor; called under the lock,
  // so that the descriptor of a body that was not removed is still open.
  IncomingBodies(std::size_t ceiling, std::function<void(int)> shut)
      : ceiling(ceiling), shut(std::move(shut)) {}

  // Sets the bytes that a body takes. Beyond the ceiling, bodies without
  // progress for a second are ended first, then the largest. One alone is not
  // ended.
  void Set(const void* id, int fd, std::size_t bytes, TimePoint now);
  // The body is complete, or its connection has ended.
  void Remove(const void* id);
  std::size_t Bytes() const;

 private:
  struct Body {
    int fd = -1;
    std::size_t bytes = 0;
    TimePoint progress_at;
  };

  // @return the body that gives way.
  const void* Victim(TimePoint now) const;

  const std::size_t ceiling;
  const std::function<void(int)> shut;
  mutable std::mutex mutex;
  std::unordered_map<const void*, Body> bodies;
  std::size_t total = 0;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_INCOMING_BODIES_H_
