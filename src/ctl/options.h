// Command line of sycamorebend-ctl.
#ifndef SYCAMOREBEND_SRC_CTL_OPTIONS_H_
#define SYCAMOREBEND_SRC_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

struct CtlOptions {
  std::string command;
  std::vector<std::string> arguments;
  bool help = false;
  std::vector<std::string> control;
  std::string entry;
  bool json = false;
  std::string change_id;
  std::string operator_name;
  std::optional<std::uint64_t> expected_version;
  std::optional<std::uint64_t> version;
  std::uint64_t limit = 20;
  bool wait = false;
  Duration timeout = seconds(10);
  Duration wait_timeout = seconds(30);
  std::string labels;
  std::string class_name;
  std::string customer;
  std::string model;
  // Log files to read instead of calling processes.
  std::vector<std::string> logs;
  std::string svg;  // Output file for a report's chart.
  std::int64_t interval_ms = 1000;
};

// Parses the arguments after the program name. Flags are defined with
// ABSL_FLAG; their names may be written with hyphens.
// @return the options, or kMalformedRequest with a message for the operator.
Result<CtlOptions> ParseCtlOptions(const std::vector<std::string>& arguments);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_OPTIONS_H_
