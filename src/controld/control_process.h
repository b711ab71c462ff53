// Runs a control replica as a process: signals, settings, joining anew after
// the replica was removed from the replica set.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_

#include <signal.h>

#include <functional>
#include <memory>
#include <string>

#include "controld/control_daemon.h"
#include "controld/control_settings.h"

namespace sycamorebend {

// Something that serves beside a daemon and ends before it.
class ControlExtension {
 public:
  virtual ~ControlExtension() = default;
};

// Starts what serves beside `daemon`, or returns nullptr for nothing.
using ExtensionFactory =
    std::function<Result<std::unique_ptr<ControlExtension>>(ControlDaemon&)>;

// Runs until a stop signal. SIGHUP calls `load` again; seeds and log severity
// take effect.
// @param load reads the settings.
// @param signals signals that the caller has blocked and this function awaits.
// @return an error that ended the process.
Status RunControl(const std::function<Result<ControlSettings>()>& load,
                  const ExtensionFactory& extend,
                  const sigset_t& signals);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_PROCESS_H_
