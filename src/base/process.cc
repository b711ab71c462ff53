#include <malloc.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

constexpr int kMaxArenas = 4;

}  // namespace

void LimitAllocatorArenas() {
  mallopt(M_ARENA_MAX, kMaxArenas);
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
