// Durable storage of a replica.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_STORAGE_H_
#define SYCAMOREBEND_SRC_CONSENSUS_STORAGE_H_

#include <functional>
#include <memory>
#include <string>

#include "consensus/types.h"
#include "sycamorebend/base.h"

namespace sycamorebend::internal {

class Storage {
 public:
  virtual ~Storage() = default;

  // Reads the stored state. Called once, before the first Submit.
  virtual Result<StoredState> Load() = 0;

  // Queues a write. Writes become durable in the order of submission. The
  // implementation reports completion through its own callback.
  virtual void Submit(Write write) = 0;

  // @return true while the disk is full. Queued writes wait for free space.
  virtual bool Full() const = 0;

  // Completes the queued writes, unless the disk is full, and stops.
  virtual void Stop() = 0;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_STORAGE_H_
