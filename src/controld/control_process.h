// Runs a control replica as a process: handles signals, reloads the settings,
// and restarts the replica under a new ID after it was removed from the replica
// set.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_

#include <signal.h>

#include <functional>
#include <memory>
#include <string>

#include "controld/control_daemon.h"
#include "controld/control_settings.h"

namespace sycamorebend {

// Additional server in the process of a ControlDaemon. Destroyed before the
// daemon.
class ControlExtension {
 public:
  virtual ~ControlExtension() = default;
};

// Starts the extension of `daemon`. Returns nullptr if there is none.
using ExtensionFactory =
    std::function<Result<std::unique_ptr<ControlExtension>>(ControlDaemon&)>;

// Runs a control replica until a stop signal. On SIGHUP the settings are loaded
// again; only the seeds and the log severity of the new ones take effect. While
// no replica responds, the seeds are loaded again once a second.
// @param load reads the settings.
// @param signals signals that the caller has blocked and that this function
// waits for.
// @return an error that ended the process.
Status RunControl(const std::function<Result<ControlSettings>()>& load,
                  const ExtensionFactory& extend,
                  const sigset_t& signals);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_
