// Help texts of sycamorebend-ctl.
#ifndef SYCAMOREBEND_SRC_CTL_HELP_H_
#define SYCAMOREBEND_SRC_CTL_HELP_H_

#include <string>

namespace sycamorebend {

// @return the help of a subcommand; the overview for an empty or unknown one.
std::string CtlHelp(const std::string& command);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_HELP_H_
