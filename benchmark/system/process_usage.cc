#include <unistd.h>

#include <sstream>

#include <fmt/format.h>

#include "system/measurements.h"
#include "system/process.h"

namespace sycamorebend {

namespace {

constexpr double kKilobytesPerMegabyte = 1024;
// Fields of /proc/PID/stat after the command name: utime and stime are the
// 12th and 13th.
constexpr int kFieldsBeforeTimes = 11;

}  // namespace

ProcessUsage ReadUsage(pid_t pid) {
  ProcessUsage usage;
  const std::string directory = "/proc/" + std::to_string(pid);
  const std::string stat = ReadFile(directory + "/stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  usage.cpu = Duration(seconds(user + system)) / sysconf(_SC_CLK_TCK);
  std::istringstream status(ReadFile(directory + "/status"));
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      double kilobytes = 0;
      status >> kilobytes;
      usage.resident_megabytes = kilobytes / kKilobytesPerMegabyte;
    }
  }
  return usage;
}

void BoundChecker::AtMost(const std::string& name,
                          double value,
                          const std::string& unit,
                          double bound) {
  this->Print(name, value, unit, fmt::format("<={:g}", bound), value <= bound);
}

void BoundChecker::AtLeast(const std::string& name,
                           double value,
                           const std::string& unit,
                           double bound) {
  this->Print(name, value, unit, fmt::format(">={:g}", bound), value >= bound);
}

void BoundChecker::Report(const std::string& name,
                          double value,
                          const std::string& unit) {
  this->Print(name, value, unit, "-", true);
}

void BoundChecker::Print(const std::string& name,
                         double value,
                         const std::string& unit,
                         const std::string& bound,
                         bool pass) {
  fmt::print("{} {:.4g} {} {} {}\n", name, value, unit, bound,
             pass ? "pass" : "fail");
  std::fflush(stdout);
  this->failures += pass ? 0 : 1;
}

}  // namespace sycamorebend
