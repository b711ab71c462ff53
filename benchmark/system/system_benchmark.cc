// Runs the measurements of docs/design.md, section 1.7, that need processes.
#include <csignal>
#include <exception>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include "system/measurements.h"

ABSL_FLAG(std::string,
          only,
          "",
          "one of first_byte, throughput, memory, interleaved, in_force, "
          "new_leader, feed; empty runs all");

namespace sycamorebend {

namespace {

struct Measurement {
  const char* name;
  void (*run)(BoundChecker& checker);
};

constexpr Measurement kMeasurements[] = {{"first_byte", MeasureFirstByte},
                                         {"throughput", MeasureThroughput},
                                         {"memory", MeasureMemory},
                                         {"interleaved", MeasureInterleaved},
                                         {"in_force", MeasureChangeInForce},
                                         {"new_leader", MeasureNewLeader},
                                         {"feed", MeasureFeed}};

int RunAll() {
  const std::string only = absl::GetFlag(FLAGS_only);
  BoundChecker checker;
  bool failed = false;
  bool found = false;
  for (const Measurement& measurement : kMeasurements) {
    if (!only.empty() && only != measurement.name) {
      continue;
    }
    found = true;
    try {
      measurement.run(checker);
    } catch (const std::exception& error) {
      fmt::print("{} 0 - - fail\n", measurement.name);
      fmt::print(stderr, "{}: {}\n", measurement.name, error.what());
      failed = true;
    }
  }
  if (!found) {
    fmt::print(stderr, "--only={} names no measurement\n", only);
  }
  return found && !failed && checker.Failures() == 0 ? 0 : 1;
}

}  // namespace

}  // namespace sycamorebend

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  absl::ParseCommandLine(argc, argv);
  return sycamorebend::RunAll();
}
