// Storage on a disk that loses what was not synced, after kills and losses of
// power.
#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "cluster.h"
#include "consensus/file_storage.h"
#include "simulated_disk.h"

namespace sycamorebend {

namespace {

namespace fs = std::filesystem;
using internal::Entry;
using internal::EntryPtr;
using internal::HardState;
using internal::SnapshotData;
using internal::SnapshotPtr;
using internal::Storage;
using internal::StoredState;
using internal::Write;
using Unsynced = SimulatedDisk::Unsynced;

constexpr std::uint64_t kDefaultSequences = 200;
constexpr const char* kSequencesVariable = "SB_STORAGE_SEQUENCES";
constexpr const char* kSeedVariable = "SB_SEED";
constexpr ReplicaId kReplica = 1;

LogIndex Covered(const StoredState& state) {
  return state.snapshot == nullptr ? 0 : state.snapshot->index;
}

LogIndex LastIndex(const StoredState& state) {
  return Covered(state) + state.entries.size();
}

EntryPtr MakeEntry(LogIndex index, Term term, std::uint64_t number) {
  return std::make_shared<const Entry>(
      Entry{index, term, static_cast<std::int64_t>(number),
            internal::EntryKind::kCommand, fmt::format("command {}", number)});
}

SnapshotPtr MakeSnapshot(LogIndex index, Term term, std::uint64_t number) {
  auto snapshot = std::make_shared<SnapshotData>();
  snapshot->index = index;
  snapshot->term = term;
  snapshot->replicas.members = {{kReplica, "127.0.0.1:1", true}};
  snapshot->state = fmt::format("state {}", number);
  return snapshot;
}

std::string Describe(const StoredState& state) {
  std::string text = fmt::format("term {} vote {}", state.hard_state.term,
                                 state.hard_state.vote);
  if (state.snapshot != nullptr) {
    text += fmt::format(" snapshot {} '{}'", state.snapshot->index,
                        state.snapshot->state);
  }
  for (const EntryPtr& entry : state.entries) {
    text +=
        fmt::format(" {}:{} '{}'", entry->index, entry->term, entry->payload);
  }
  return text;
}

// One process after the other on one disk.
class ReplicaDisk {
 public:
  ReplicaDisk(std::uint64_t seed, bool sync_keeps_name)
      : disk(this->directory.path, seed, sync_keeps_name) {}

  Result<StoredState> Start() {
    internal::FileStorageOptions options;
    options.directory = this->directory.path.string();
    options.replica_id = kReplica;
    options.segment_bytes = this->segment_bytes;
    options.full_retry_interval = milliseconds(1);
    options.calls = &this->disk;
    options.on_failure = [this](const std::string& /*message*/) {
      std::lock_guard lock(this->mutex);
      this->ended = true;
      this->changed.notify_all();
    };
    options.on_durable = [this](std::uint64_t write_id) {
      std::lock_guard lock(this->mutex);
      this->durable_id = write_id;
      this->changed.notify_all();
    };
    this->ended = false;
    this->durable_id = 0;
    this->last_id = 0;
    this->storage = internal::CreateFileStorage(options);
    return this->storage->Load();
  }

  // @return the number of the write, counted from 1 in each process.
  std::uint64_t Submit(Write write) {
    write.id = ++this->last_id;
    this->storage->Submit(std::move(write));
    return this->last_id;
  }

  // Submits the first write, and the others as one group commit after it.
  void SubmitGrouped(std::vector<Write> writes) {
    this->disk.Hold();
    this->Submit(std::move(writes.front()));
    this->disk.WaitUntilHeld();
    for (std::size_t i = 1; i < writes.size(); ++i) {
      this->Submit(std::move(writes[i]));
    }
    this->disk.Release();
  }

  // Waits until all writes are durable or the process has ended.
  // @return false if it has ended.
  bool Wait() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] {
      return this->ended || this->durable_id == this->last_id;
    });
    return !this->ended;
  }

  // Ends the process.
  // @return the number of the last write that was reported as durable.
  std::uint64_t End() {
    this->storage.reset();
    this->disk.Restart();
    return this->durable_id;
  }

  void Append(LogIndex first, LogIndex last) {
    for (LogIndex index = first; index <= last; ++index) {
      Write write;
      write.entries = {MakeEntry(index, 1, index)};
      this->Submit(std::move(write));
      this->Wait();
    }
  }

  TemporaryDirectory directory;
  SimulatedDisk disk;
  std::uint64_t segment_bytes = 4 << 20;

 private:
  std::unique_ptr<Storage> storage;
  std::mutex mutex;
  std::condition_variable changed;
  bool ended = false;
  std::uint64_t durable_id = 0;
  std::uint64_t last_id = 0;
};

// A state that the disk may hold, because a crash can come after it was
// written.
struct PossibleState {
  std::uint64_t write_id = 0;  // The last write that is complete in it.
  StoredState state;
};

// Draws what a replica stores and when it is killed or loses power, and
// compares what it loads with what was reported as durable.
class Sequence {
 public:
  explicit Sequence(std::uint64_t seed)
      : random(seed), replica(seed, seed % 2 == 0) {
    constexpr std::uint64_t kSegmentBytes[] = {100, 200, 600};
    this->replica.segment_bytes = kSegmentBytes[this->Draw(3)];
  }

  // @return what went wrong, or an empty string.
  std::string Run() {
    this->possible = {{0, {}}};
    const std::uint64_t processes = 2 + this->Draw(6);
    for (std::uint64_t i = 0; i < processes && this->violation.empty(); ++i) {
      if (this->StartReplica()) {
        this->RunProcess();
        this->EndProcess(this->replica.End());
      }
    }
    if (this->violation.empty() && this->StartReplica()) {
      this->replica.End();
    }
    return this->violation;
  }

 private:
  std::uint64_t Draw(std::uint64_t below) { return this->random() % below; }

  // Starts processes until one is not killed while it starts.
  bool StartReplica() {
    while (this->Draw(4) == 0) {
      this->replica.disk.KillAfter(static_cast<int>(this->Draw(8)));
      const Result<StoredState> loaded = this->replica.Start();
      const bool killed = this->replica.disk.Killed();
      if (!killed && !this->Check(loaded)) {
        return false;
      }
      this->replica.End();
      this->MaybeLosePower();
    }
    return this->Check(this->replica.Start());
  }

  bool Check(const Result<StoredState>& loaded) {
    if (!loaded) {
      this->violation = "refused: " + loaded.error().message;
      return false;
    }
    const std::string text = Describe(loaded.value());
    for (auto stored = this->possible.begin(); stored != this->possible.end();
         ++stored) {
      // A new segment begins with the term and vote of the group commit that
      // is written next, so these may be ahead of the other records.
      for (auto later = stored; later != this->possible.end(); ++later) {
        StoredState candidate = stored->state;
        candidate.hard_state = later->state.hard_state;
        if (Describe(candidate) == text) {
          // What was loaded is relied on, so it counts as durable.
          this->state = loaded.value();
          this->possible = {{0, this->state}};
          return true;
        }
      }
    }
    this->violation =
        fmt::format("loaded {}\nreported as durable {}\nlast written {}", text,
                    Describe(this->possible.front().state),
                    Describe(this->possible.back().state));
    return false;
  }

  void RunProcess() {
    const std::uint64_t steps = this->Draw(25);
    const std::uint64_t kill_step = this->Draw(steps + 3);
    std::uint64_t write_id = 0;
    for (std::uint64_t step = 0; step < steps; ++step) {
      if (step == kill_step) {
        this->replica.disk.KillAfter(static_cast<int>(this->Draw(12)));
      }
      if (this->Draw(12) == 0) {
        this->replica.disk.FillFor(static_cast<int>(1 + this->Draw(3)));
      }
      std::vector<Write> writes(this->Draw(4) == 0 ? 3 : 1);
      for (Write& write : writes) {
        write = this->DrawWrite();
        this->ApplyToModel(write, ++write_id);
      }
      this->replica.SubmitGrouped(std::move(writes));
      if (!this->replica.Wait()) {
        return;
      }
    }
  }

  void EndProcess(std::uint64_t durable_id) {
    while (this->possible.front().write_id < durable_id) {
      this->possible.pop_front();
    }
    this->MaybeLosePower();
  }

  void MaybeLosePower() {
    constexpr Unsynced kKinds[] = {Unsynced::kLost, Unsynced::kKept,
                                   Unsynced::kRandom, Unsynced::kRandom};
    if (this->Draw(2) == 0) {
      this->replica.disk.LosePower(kKinds[this->Draw(4)]);
    }
  }

  Write DrawWrite() {
    const LogIndex covered = Covered(this->state);
    const LogIndex last = LastIndex(this->state);
    Write write;
    switch (this->Draw(8)) {
      case 0:  // A vote.
        write.hard_state =
            HardState{this->state.hard_state.term + 1, 1 + this->Draw(3)};
        break;
      case 1:  // Entries of a new leader that replace others.
        write.hard_state = HardState{this->state.hard_state.term + 1, 0};
        if (last > covered) {
          write.truncate_from = covered + 1 + this->Draw(last - covered);
        }
        this->AddEntries(write, write.truncate_from.value_or(last + 1));
        break;
      case 2:  // A snapshot of the replica's own state.
        if (last > covered) {
          write.snapshot =
              this->DrawSnapshot(covered + 1 + this->Draw(last - covered));
          break;
        }
        [[fallthrough]];
      case 3:  // A snapshot of the leader, which replaces the log.
        if (this->Draw(3) == 0) {
          if (last > covered) {
            write.truncate_from = covered + 1;
          }
          write.snapshot = this->DrawSnapshot(last + 1 + this->Draw(5));
          break;
        }
        [[fallthrough]];
      default:
        this->AddEntries(write, last + 1);
        break;
    }
    return write;
  }

  SnapshotPtr DrawSnapshot(LogIndex index) {
    return MakeSnapshot(index, this->state.hard_state.term, ++this->number);
  }

  void AddEntries(Write& write, LogIndex first) {
    const Term term =
        write.hard_state ? write.hard_state->term : this->state.hard_state.term;
    const std::uint64_t count = 1 + this->Draw(3);
    for (std::uint64_t i = 0; i < count; ++i) {
      write.entries.push_back(MakeEntry(first + i, term, ++this->number));
    }
  }

  void ApplyToModel(const Write& write, std::uint64_t write_id) {
    std::vector<EntryPtr>& entries = this->state.entries;
    if (write.hard_state) {
      this->state.hard_state = *write.hard_state;
    }
    if (write.truncate_from) {
      while (!entries.empty() &&
             entries.back()->index >= *write.truncate_from) {
        entries.pop_back();
      }
    }
    if (write.snapshot != nullptr) {
      this->possible.push_back({write_id - 1, this->state});
      this->state.snapshot = write.snapshot;
      while (!entries.empty() &&
             entries.front()->index <= write.snapshot->index) {
        entries.erase(entries.begin());
      }
      this->possible.push_back({write_id - 1, this->state});
    }
    entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    this->possible.push_back({write_id, this->state});
  }

  std::mt19937_64 random;
  ReplicaDisk replica;
  StoredState state;  // After all writes that were submitted.
  // The last state that was reported as durable, and all later ones.
  std::deque<PossibleState> possible;
  std::uint64_t number = 0;  // Distinguishes all entries and snapshots.
  std::string violation;
};

std::uint64_t NumberFromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::map<fs::path, std::string> ReadSegments(const fs::path& directory) {
  std::map<fs::path, std::string> segments;
  for (const auto& item : fs::directory_iterator(directory)) {
    if (item.path().filename().string().rfind("log-", 0) == 0) {
      segments[item.path()] = ReadAll(item.path());
    }
  }
  return segments;
}

}  // namespace

// Guards against records that a killed process had written and not synced: they
// were loaded as durable, and a later loss of power took them away, after which
// the replica refused its log.
BOOST_AUTO_TEST_CASE(RecordsLoadedAfterAKillSurviveALossOfPower) {
  int written = 0;
  for (int calls = 0; calls < 8; ++calls) {
    ReplicaDisk replica(1, true);
    BOOST_TEST_REQUIRE(replica.Start().has_value());
    replica.Append(1, 3);
    replica.disk.KillAfter(calls);
    replica.Append(4, 4);
    replica.End();
    const StoredState loaded = replica.Start().value();
    written += loaded.entries.size() == 4U ? 1 : 0;
    replica.Append(LastIndex(loaded) + 1, LastIndex(loaded) + 1);
    replica.End();
    replica.disk.LosePower(Unsynced::kLost);
    const Result<StoredState> last = replica.Start();
    BOOST_TEST_REQUIRE(last.has_value(), "killed after " << calls << " calls");
    BOOST_TEST(last.value().entries.size() == loaded.entries.size() + 1);
    replica.End();
  }
  BOOST_TEST(written > 0);
}

// Guards against a snapshot that a killed process had renamed into place
// without a sync of the directory: it was loaded, and a later loss of power
// took it away, with or without an entry after it.
BOOST_AUTO_TEST_CASE(SnapshotLoadedAfterAKillSurvivesALossOfPower) {
  constexpr LogIndex kSnapshotIndex = 20;
  constexpr int kMaxCalls = 8;
  int renamed = 0;
  for (int i = 0; i < 2 * kMaxCalls; ++i) {
    const int calls = i / 2;
    const bool entry_after = i % 2 == 1;
    ReplicaDisk replica(1, false);
    BOOST_TEST_REQUIRE(replica.Start().has_value());
    replica.Append(1, 3);
    Write write;
    write.truncate_from = 1;
    write.snapshot = MakeSnapshot(kSnapshotIndex, 1, 1);
    replica.disk.KillAfter(calls);
    replica.Submit(write);
    replica.Wait();
    replica.End();
    const StoredState loaded = replica.Start().value();
    renamed += Covered(loaded) == kSnapshotIndex ? 1 : 0;
    LogIndex last = LastIndex(loaded);
    if (entry_after) {
      ++last;
      replica.Append(last, last);
    }
    replica.End();
    replica.disk.LosePower(Unsynced::kLost);
    const Result<StoredState> again = replica.Start();
    BOOST_TEST_REQUIRE(again.has_value(), "killed after " << calls << " calls");
    BOOST_TEST(Covered(again.value()) == Covered(loaded));
    BOOST_TEST(LastIndex(again.value()) == last);
    replica.End();
  }
  BOOST_TEST(renamed > 0);
}

// Guards against segments that were removed after a snapshot and of which a
// loss of power brings some back: the gaps in their numbers were refused. Tries
// every selection of the removed ones.
BOOST_AUTO_TEST_CASE(RemovedSegmentsThatReturnAreIgnored) {
  ReplicaDisk replica(1, true);
  replica.segment_bytes = 100;
  BOOST_TEST_REQUIRE(replica.Start().has_value());
  replica.Append(1, 8);
  const auto before = ReadSegments(replica.directory.path);
  Write write;
  write.snapshot = MakeSnapshot(8, 1, 1);
  replica.Submit(write);
  BOOST_TEST(replica.Wait());
  const std::string loaded_before = [&] {
    replica.End();
    const StoredState state = replica.Start().value();
    replica.End();
    return Describe(state);
  }();
  const auto after = ReadSegments(replica.directory.path);
  std::vector<fs::path> removed;
  for (const auto& [path, content] : before) {
    if (after.count(path) == 0) {
      removed.push_back(path);
    }
  }
  BOOST_TEST_REQUIRE(removed.size() >= 4U);
  BOOST_TEST_REQUIRE(removed.size() < 10U);
  for (unsigned selection = 0; selection < (1U << removed.size());
       ++selection) {
    for (std::size_t i = 0; i < removed.size(); ++i) {
      if ((selection >> i & 1U) != 0) {
        std::ofstream(removed[i], std::ios::binary) << before.at(removed[i]);
      }
    }
    const Result<StoredState> state = replica.Start();
    BOOST_TEST_REQUIRE(state.has_value(), "selection " << selection);
    BOOST_TEST(Describe(state.value()) == loaded_before);
    replica.End();
    for (const fs::path& path : removed) {
      fs::remove(path);
    }
  }
}

// Guards against taking a lost segment for a removed one: its entries are not
// in the snapshot, and the segments after the gap need not have any entry.
BOOST_AUTO_TEST_CASE(MissingSegmentThatNoSnapshotCoversIsRejected) {
  for (const bool entries_after : {false, true}) {
    ReplicaDisk replica(1, true);
    replica.segment_bytes = 100;
    BOOST_TEST_REQUIRE(replica.Start().has_value());
    replica.Append(1, 6);
    Write snapshot;
    snapshot.snapshot = MakeSnapshot(2, 1, 1);
    replica.Submit(snapshot);
    BOOST_TEST(replica.Wait());
    replica.End();
    const auto segments = ReadSegments(replica.directory.path);
    BOOST_TEST_REQUIRE(segments.size() >= 2U);
    BOOST_TEST_REQUIRE(replica.Start().has_value());
    Write write;
    write.hard_state = HardState{2, 1};
    if (entries_after) {
      write.entries = {MakeEntry(7, 2, 7)};
    }
    replica.Submit(write);
    BOOST_TEST(replica.Wait());
    replica.End();
    const fs::path lost = segments.rbegin()->first;
    fs::remove(lost);
    const auto left = ReadSegments(replica.directory.path);
    const Result<StoredState> state = replica.Start();
    BOOST_TEST_REQUIRE(!state.has_value());
    BOOST_TEST((state.error().code == ResultCode::kLogCorrupt));
    BOOST_TEST(state.error().message.find(lost.string()) == 0U);
    // Nothing is modified, so that the operator can examine it.
    BOOST_TEST((ReadSegments(replica.directory.path) == left));
    replica.End();
  }
}

// Guards against a state that was reported as durable or relied on after a
// start and is lost, and against refusing a log of which only the tail is lost.
// SB_STORAGE_SEQUENCES=n draws n sequences, SB_SEED=n runs one.
BOOST_AUTO_TEST_CASE(RandomLossesKeepDurableWrites) {
  const std::uint64_t only = NumberFromEnvironment(kSeedVariable, 0);
  const std::uint64_t count =
      only != 0 ? only
                : NumberFromEnvironment(kSequencesVariable, kDefaultSequences);
  for (std::uint64_t seed = only != 0 ? only : 1; seed <= count; ++seed) {
    const std::string violation = Sequence(seed).Run();
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
  }
}

}  // namespace sycamorebend
