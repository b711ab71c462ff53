// Subcommands of sycamorebend-ctl that read logs and call no process.
#ifndef SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_
#define SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_

#include <ostream>

#include "ctl/commands.h"
#include "ctl/options.h"

namespace sycamorebend {

// Tells the story of the request that the arguments name; without one, counts
// the causes of all requests that were not served.
// @return kOk, or kRefused if no log names the request.
Result<CtlExit> ExplainFromLogs(const CtlOptions& options, std::ostream& out);

// Prints attainment over time and by route; draws it if a file is named.
Result<CtlExit> ReportFromLogs(const CtlOptions& options, std::ostream& out);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_
