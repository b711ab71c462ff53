// Runs a gateway as a process: event loop, signals, settings.
#ifndef SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_
#define SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_

#include <signal.h>

#include <string>

#include "gateway/wire_format.h"
#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// Runs until a stop signal and the graceful stop that it begins. SIGHUP reads
// the settings again; those that can change at run time take effect.
// @param signals signals that the caller has blocked and this function awaits.
// @return an error that prevented the start.
Status RunGateway(const std::string& settings_path,
                  const WireFormat& format,
                  const sigset_t& signals);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_GATEWAY_PROCESS_H_
