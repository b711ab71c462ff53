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

  // Reads what is stored. Called once, before the first Submit.
  virtual Result<StoredState> Load() = 0;

  // Queues a write. Writes become durable in the order of submission; the
  // owner is told through the completion callback of the implementation.
  virtual void Submit(Write write) = 0;

  // @return true while the disk is full. Queued writes wait until it is not.
  virtual bool Full() const = 0;

  // Finishes the queued writes, unless the disk is full, and ends.
  virtual void Stop() = 0;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_STORAGE_H_
