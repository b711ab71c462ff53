// A disk that keeps or loses what was not synced. Changes go to the files of a
// real directory; what a loss of power may leave is tracked beside them.
#ifndef TESTS_CONSENSUS_SIMULATED_DISK_H_
#define TESTS_CONSENSUS_SIMULATED_DISK_H_

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "consensus/file_storage.h"

namespace sycamorebend {

class SimulatedDisk : public internal::FileCalls {
 public:
  // @param sync_keeps_name whether the first sync of a new file makes its name
  // durable too.
  SimulatedDisk(std::filesystem::path directory,
                std::uint64_t seed,
                bool sync_keeps_name);

  int Create(const std::string& path) override;
  int Open(const std::string& path) override;
  int Remove(const std::string& path) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Truncate(int file, std::uint64_t size) override;
  int Write(int file, std::string_view data) override;
  int Sync(int file) override;

  // The process is killed in the call after the next `calls` ones, which may
  // have taken effect, or part of it. Calls of a killed process fail.
  void KillAfter(int calls);
  bool Killed() const { return this->killed; }
  // A new process starts: no kill is pending, and the disk is not full.
  void Restart();
  // The next `refusals` calls that need space fail with ENOSPC.
  void FillFor(int refusals) { this->refusals = refusals; }

  // Makes the next call wait for Release. WaitUntilHeld returns when it does.
  void Hold();
  void WaitUntilHeld();
  void Release();

  // What is left of the writes and names since the last sync.
  enum class Unsynced {
    kLost,
    kKept,
    kRandom,  // Each is kept, lost or torn independently.
  };
  // Must be called while no process runs.
  void LosePower(Unsynced unsynced);

 private:
  struct Change {
    std::uint64_t offset = 0;
    std::string data;
    std::optional<std::uint64_t> new_size;  // Set for a change of the size.
  };
  struct File {
    std::string durable;
    std::vector<Change> unsynced;
  };
  using FilePtr = std::shared_ptr<File>;

  enum class Outcome { kDone, kFull, kKilledBefore, kKilledAfter };

  // @return what happens to the call that begins.
  Outcome BeginCall(bool needs_space);
  std::uint64_t Draw(std::uint64_t below) { return this->random() % below; }
  std::string NameOf(const std::string& path) const;
  // Notes that `name` now refers to `file`, or to none.
  void SetName(const std::string& name, const FilePtr& file);
  void SyncName(const std::string& name);
  std::string SurvivingContent(const File& file, Unsynced unsynced);

  const std::filesystem::path directory;
  std::mt19937_64 random;
  const bool sync_keeps_name;
  std::map<std::string, FilePtr> names;
  // What each name referred to at the last sync of the directory and after each
  // change since then; names without a change are missing.
  std::map<std::string, std::vector<FilePtr>> unsynced_names;
  std::map<int, std::string> open_files;

  std::optional<int> calls_until_kill;
  bool killed = false;
  int refusals = 0;

  std::mutex mutex;
  std::condition_variable changed;
  bool hold = false;
  bool held = false;
};

}  // namespace sycamorebend

#endif  // TESTS_CONSENSUS_SIMULATED_DISK_H_
