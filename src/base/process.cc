#include <malloc.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

constexpr int kMaxArenas = 4;
// Larger buffers are returned to the system as soon as they are freed. Without
// a fixed threshold the C library raises it to the size of freed buffers, up to
// 32 MiB, and bodies of several megabytes fragment the heap.
constexpr int kMappedBytes = 256 << 10;

}  // namespace

void LimitAllocatorArenas() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMappedBytes);
}

sigset_t BlockProcessSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace sycamorebend
