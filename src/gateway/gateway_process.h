// Runs a gateway as a process: event loop, signal handling and settings.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_

#include <signal.h>

#include <string>

#include "gateway/wire_format.h"
#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// Runs the gateway until a stop signal and the graceful stop that follows it.
// SIGHUP reloads the settings; only the log threshold changes at run time.
// @param signals signals that the calling thread has blocked and that this
// function waits for.
// @return an error if the gateway could not be started.
Status RunGateway(const std::string& settings_path,
                  const WireFormat& format,
                  const sigset_t& signals);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_
