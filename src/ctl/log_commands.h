// Subcommands of sycamorebend-ctl that read log files instead of calling
// processes.
#ifndef SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_
#define SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_

#include <ostream>

#include "ctl/commands.h"
#include "ctl/options.h"

namespace sycamorebend {

// Explains how the request with the given ID ended; without an ID, counts the
// causes of all requests that were not served.
// @return kOk, or kRefused if no log names the request.
Result<CtlExit> ExplainFromLogs(const CtlOptions& options, std::ostream& out);

// Prints attainment over time and by route; also writes a chart if --svg names
// a file.
Result<CtlExit> ReportFromLogs(const CtlOptions& options, std::ostream& out);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_LOG_COMMANDS_H_
