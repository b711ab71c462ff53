// Runs a replica on the control thread. Declared separately from
// CreateReplicatedLog so that tests can supply their own storage and transport.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_SERVICE_H_
#define SYCAMOREBEND_SRC_CONSENSUS_SERVICE_H_

#include <functional>
#include <memory>

#include "consensus/core.h"
#include "consensus/file_storage.h"
#include "consensus/storage.h"
#include "consensus/transport.h"

namespace sycamorebend::internal {

struct ServiceDependencies {
  StateMachine& state_machine;
  ControlThread& control_thread;
  const Clock& clock;
  std::unique_ptr<Transport> transport;
  // Creates the storage; it may call `on_durable` on any thread.
  std::function<std::unique_ptr<Storage>(
      std::function<void(std::uint64_t write_id)> on_durable)>
      make_storage;
};

Result<std::unique_ptr<ReplicatedLogService>> StartService(
    const ReplicatedLogOptions& options,
    ServiceDependencies dependencies);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_SERVICE_H_
