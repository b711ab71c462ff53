#include "system/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>

#include <fmt/format.h>

namespace sycamorebend {

namespace {

constexpr Duration kPollPeriod = milliseconds(10);
// The ports are below the system's ephemeral port range, which starts at 32768.
constexpr int kFirstPort = 12000;
constexpr int kPortCount = 20000;
constexpr int kSignalStatusBase = 128;
constexpr mode_t kLogMode = 0644;

bool CanBind(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  target.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0;
  close(fd);
  return bound;
}

}  // namespace

TemporaryDirectory::TemporaryDirectory() {
  std::string name = "/tmp/sycamorebend-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  this->path = name;
}

TemporaryDirectory::~TemporaryDirectory() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::string BinDirectory() {
  const char* const directory = std::getenv("SB_BIN_DIR");
  return directory != nullptr ? directory : "build/bin";
}

std::string FreeAddress() {
  // Test programs can run at the same time, so each starts at a different port.
  static std::atomic<int> next{static_cast<int>(getpid()) * 131};
  for (int attempts = 0; attempts < kPortCount; ++attempts) {
    const int port =
        kFirstPort + static_cast<int>(static_cast<unsigned>(next++) %
                                      static_cast<unsigned>(kPortCount));
    if (CanBind(port)) {
      return fmt::format("127.0.0.1:{}", port);
    }
  }
  throw std::runtime_error("no free port");
}

void SleepBriefly() {
  std::this_thread::sleep_for(kPollPeriod);
}

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_path)
    : log_path(log_path) {
  const std::string path = BinDirectory() + "/" + program;
  std::vector<std::string> command = {path};
  command.insert(command.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (std::string& argument : command) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->pid, path.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

ChildProcess::~ChildProcess() {
  this->Kill();
}

void ChildProcess::Signal(int signal) {
  if (this->Running()) {
    kill(this->pid, signal);
  }
}

void ChildProcess::Kill() {
  this->Signal(SIGKILL);
  this->WaitForExit(seconds(30));
}

bool ChildProcess::Running() {
  if (this->ended) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->ended = true;
    this->exit_status = WIFEXITED(status)
                            ? WEXITSTATUS(status)
                            : kSignalStatusBase + WTERMSIG(status);
  }
  return !this->ended;
}

std::size_t ChildProcess::PeakMemory() const {
  constexpr std::string_view kField = "VmHWM:";
  constexpr std::size_t kBytesPerKb = 1024;
  const std::string status =
      ReadFile("/proc/" + std::to_string(this->pid) + "/status");
  const std::size_t at = status.find(kField);
  return at == std::string::npos
             ? 0
             : std::strtoul(status.c_str() + at + kField.size(), nullptr, 10) *
                   kBytesPerKb;
}

std::size_t ChildProcess::OpenFiles() const {
  std::error_code error;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(this->pid) + "/fd", error);
  return error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(files), end(files)));
}

int ChildProcess::WaitForExit(Duration limit) {
  WaitFor([this] { return !this->Running(); }, limit);
  return this->ended ? this->exit_status : -1;
}

CommandResult RunCommand(const std::string& program,
                         const std::vector<std::string>& arguments,
                         Duration limit) {
  const TemporaryDirectory directory;
  const std::string log = directory.Path() + "/output";
  ChildProcess process(program, arguments, log);
  CommandResult result;
  result.exit_status = process.WaitForExit(limit);
  process.Kill();
  result.output = ReadFile(log);
  return result;
}

}  // namespace sycamorebend
