// Subcommands of sycamorebend-ctl. See docs/operator-cli.md.
#ifndef SYCAMOREBEND_SRC_CTL_COMMANDS_H_
#define SYCAMOREBEND_SRC_CTL_COMMANDS_H_

#include <ostream>
#include <string>
#include <vector>

#include "ctl/control_client.h"
#include "ctl/options.h"

namespace sycamorebend {

enum class CtlExit : int {
  kOk = 0,
  kRefused = 1,
  kUsage = 2,
  kUnreachable = 3,
  kConflict = 4,
  kTimedOut = 5,
};

// @return the exit code for `error`.
CtlExit ExitCodeFor(const Error& error);

// Parses `arguments`, runs the subcommand and writes its output.
// @param out receives results.
// @param err receives errors and progress.
// @return the exit code.
CtlExit RunCtl(const std::vector<std::string>& arguments,
               RpcClient& rpc,
               const Clock& clock,
               std::ostream& out,
               std::ostream& err);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_COMMANDS_H_
