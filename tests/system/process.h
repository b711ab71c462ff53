// Child processes of the system tests.
#ifndef SYCAMOREBEND_TESTS_SYSTEM_PROCESS_H_
#define SYCAMOREBEND_TESTS_SYSTEM_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

// A directory below /tmp that is removed with its content.
class TemporaryDirectory {
 public:
  TemporaryDirectory();
  ~TemporaryDirectory();
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

void WriteFile(const std::string& path, const std::string& text);
std::string ReadFile(const std::string& path);

// @return the directory of the programs under test: $SB_BIN_DIR, or build/bin.
std::string BinDirectory();

// @return an unused loopback address. Its port is below the system's ephemeral
// port range, so that no outgoing connection uses it before the daemon binds
// it.
std::string FreeAddress();

// Polls `condition` until it returns true.
// @return false if it did not within `limit`.
template <typename Condition>
bool WaitFor(Condition condition, Duration limit = seconds(30));

// Program started by a test. Killed on destruction.
class ChildProcess {
 public:
  // Starts `program` from BinDirectory(); its output is appended to `log_path`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Pid() const { return this->pid; }
  const std::string& LogPath() const { return this->log_path; }

  // Sends a signal; does nothing once the process has ended.
  void Signal(int signal);
  // Kills the process and waits for its end.
  void Kill();
  // @return true if the process has not ended.
  bool Running();
  // @return the largest number of bytes of memory that the process has used
  // (VmHWM); 0 once it has ended.
  std::size_t PeakMemory() const;
  // @return its number of open descriptors; 0 once it has ended.
  std::size_t OpenFiles() const;
  // Waits for the end of the process.
  // @return the exit status, 128 + signal for a terminated process, or -1 if
  // the process has not ended within `limit`.
  int WaitForExit(Duration limit);

 private:
  pid_t pid = -1;
  bool ended = false;
  int exit_status = -1;
  std::string log_path;
};

struct CommandResult {
  int exit_status = -1;
  std::string output;  // Standard output and standard error.
};
// Runs a program until it exits; kills it after `limit`.
CommandResult RunCommand(const std::string& program,
                         const std::vector<std::string>& arguments,
                         Duration limit = seconds(60));

// Waits between two checks of a condition.
void SleepBriefly();
template <typename Condition>
bool WaitFor(Condition condition, Duration limit) {
  const SystemClock clock;
  const TimePoint end = clock.Now() + limit;
  while (!condition()) {
    if (clock.Now() >= end) {
      return false;
    }
    SleepBriefly();
  }
  return true;
}

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_SYSTEM_PROCESS_H_
