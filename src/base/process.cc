#include <malloc.h>

#include "sycamorebend/base.h"

namespace sycamorebend {

namespace {

constexpr int kMaxArenas = 4;

}  // namespace

void LimitAllocatorArenas() {
  mallopt(M_ARENA_MAX, kMaxArenas);
}

}  // namespace sycamorebend
