#define BOOST_TEST_MODULE consensus_storage
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>

#include "cluster.h"
#include "consensus/encoding.h"
#include "consensus/file_storage.h"

namespace sycamorebend {

namespace {

namespace fs = std::filesystem;
using internal::Entry;
using internal::EntryPtr;
using internal::Storage;
using internal::StoredState;
using internal::Write;

// Simulates a full or failing disk on demand.
class FaultyCalls : public internal::FileCalls {
 public:
  int Write(int file, std::string_view data) override {
    if (this->full) {
      // A full disk can still accept part of the data.
      FileCalls::Write(file, data.substr(0, data.size() / 2));
      return ENOSPC;
    }
    return FileCalls::Write(file, data);
  }
  int Create(const std::string& path) override {
    errno = ENOSPC;
    return this->full ? -1 : FileCalls::Create(path);
  }
  int Rename(const std::string& from, const std::string& to) override {
    return this->full || this->full_for_names ? ENOSPC
                                              : FileCalls::Rename(from, to);
  }
  int Truncate(int file, std::uint64_t size) override {
    return this->full_for_names ? ENOSPC : FileCalls::Truncate(file, size);
  }
  int Sync(int file) override {
    return this->sync_error != 0 ? this->sync_error.load()
                                 : FileCalls::Sync(file);
  }

  std::atomic<bool> full = false;
  // Names and sizes of files cannot be changed.
  std::atomic<bool> full_for_names = false;
  std::atomic<int> sync_error = 0;
};

struct Fixture {
  Result<StoredState> Open(ReplicaId id = 1) {
    this->storage.reset();
    internal::FileStorageOptions options;
    options.directory = this->directory.path.string();
    options.replica_id = id;
    options.segment_bytes = this->segment_bytes;
    options.full_retry_interval = milliseconds(5);
    options.calls = &this->calls;
    options.on_failure = [this](const std::string& message) {
      std::lock_guard lock(this->mutex);
      this->failure = message;
      this->changed.notify_all();
    };
    options.on_durable = [this](std::uint64_t write_id) {
      std::lock_guard lock(this->mutex);
      this->completed_id = write_id;
      this->changed.notify_all();
    };
    this->storage = internal::CreateFileStorage(options);
    return this->storage->Load();
  }

  void Submit(Write write) {
    write.id = ++this->last_id;
    this->storage->Submit(std::move(write));
  }

  void WaitDone() {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock,
                       [this] { return this->completed_id == this->last_id; });
  }

  // Appends entries with one group commit each.
  void AppendEntries(LogIndex first, LogIndex last) {
    for (LogIndex index = first; index <= last; ++index) {
      Write write;
      write.entries = {MakeEntry(index, 1)};
      this->Submit(std::move(write));
      this->WaitDone();
    }
  }

  static EntryPtr MakeEntry(LogIndex index, Term term) {
    return std::make_shared<const Entry>(
        Entry{index, term, static_cast<std::int64_t>(index),
              internal::EntryKind::kCommand, "entry " + std::to_string(index)});
  }

  fs::path Newest(const std::string& prefix) const {
    fs::path newest;
    for (const auto& item : fs::directory_iterator(this->directory.path)) {
      if (item.path().filename().string().rfind(prefix, 0) == 0) {
        newest = std::max(newest, item.path());
      }
    }
    return newest;
  }

  static void WriteAll(const fs::path& path, const std::string& content) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
  }

  TemporaryDirectory directory;
  FaultyCalls calls;
  std::uint64_t segment_bytes = 4 << 20;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t completed_id = 0;
  std::uint64_t last_id = 0;
  std::string failure;
  std::unique_ptr<Storage> storage;
};

}  // namespace

// Guards against lost or reordered records and a lost term or vote.
BOOST_FIXTURE_TEST_CASE(StateSurvivesReopening, Fixture) {
  this->segment_bytes = 200;
  Open().value();
  Write vote;
  vote.hard_state = internal::HardState{7, 2};
  Submit(vote);
  AppendEntries(1, 20);
  Write conflict;
  conflict.truncate_from = 15;
  conflict.entries = {MakeEntry(15, 3), MakeEntry(16, 3)};
  Submit(conflict);
  WaitDone();
  const StoredState state = Open().value();
  BOOST_TEST(state.hard_state.term == 7u);
  BOOST_TEST(state.hard_state.vote == 2u);
  BOOST_TEST_REQUIRE(state.entries.size() == 16u);
  BOOST_TEST(state.entries[13]->term == 1u);
  BOOST_TEST(state.entries[15]->term == 3u);
  BOOST_TEST(state.entries[15]->payload == "entry 16");
}

// Guards against losing the term or vote when old segments are deleted, and
// against segments that are never deleted.
BOOST_FIXTURE_TEST_CASE(SnapshotReplacesOldSegments, Fixture) {
  this->segment_bytes = 200;
  Open().value();
  Write vote;
  vote.hard_state = internal::HardState{7, 2};
  Submit(vote);
  AppendEntries(1, 50);
  auto snapshot = std::make_shared<internal::SnapshotData>();
  snapshot->index = 45;
  snapshot->term = 1;
  snapshot->replicas.members = {{1, "127.0.0.1:1", true}};
  snapshot->state = std::string("a\0b", 3);
  Write write;
  write.snapshot = snapshot;
  Submit(write);
  WaitDone();
  const auto files = static_cast<std::size_t>(
      std::distance(fs::directory_iterator(directory.path), {}));
  BOOST_TEST(files <= 6u);
  const StoredState state = Open().value();
  BOOST_TEST(state.hard_state.vote == 2u);
  BOOST_TEST(state.snapshot->state == snapshot->state);
  BOOST_TEST(state.snapshot->replicas.members.size() == 1u);
  BOOST_TEST_REQUIRE(state.entries.size() == 5u);
  BOOST_TEST(state.entries[0]->index == 46u);
}

// Guards against a replica that cannot start after a crash during a write.
// Tries every length of the torn record.
BOOST_FIXTURE_TEST_CASE(TornTailIsTruncated, Fixture) {
  Open().value();
  AppendEntries(1, 2);
  storage.reset();
  const fs::path path = Newest("log-");
  const std::size_t two = ReadAll(path).size();
  Open().value();
  storage.reset();
  const std::string whole = ReadAll(path);
  Open().value();
  AppendEntries(3, 3);
  storage.reset();
  const fs::path last = Newest("log-");
  const std::string content = ReadAll(last);
  BOOST_TEST(whole.size() == two);
  for (std::size_t size = 0; size < content.size(); ++size) {
    WriteAll(last, content.substr(0, size));
    const Result<StoredState> state = Open();
    BOOST_TEST_REQUIRE(state.has_value(), "size " << size);
    BOOST_TEST(state.value().entries.size() == 2u);
    // The directory remains usable, and no other entry is lost.
    AppendEntries(3, 3);
    BOOST_TEST(Open().value().entries.size() == 3u);
    storage.reset();
    for (fs::path added = Newest("log-"); added != last;
         added = Newest("log-")) {
      fs::remove(added);
    }
  }
}

// Guards against truncating the log at a corrupt record that valid records
// follow, which would silently lose entries.
BOOST_FIXTURE_TEST_CASE(CorruptRecordBeforeTheLastFrameIsRejected, Fixture) {
  Open().value();
  AppendEntries(1, 10);
  storage.reset();
  const fs::path path = Newest("log-");
  const std::string content = ReadAll(path);
  const std::size_t entry = content.find("entry 5");
  for (std::size_t at = entry - 40; at < entry + 7; ++at) {
    std::string flipped = content;
    flipped[at] = static_cast<char>(flipped[at] ^ 0x10);
    WriteAll(path, flipped);
    const Result<StoredState> state = Open();
    BOOST_TEST_REQUIRE(!state.has_value(), "byte " << at);
    BOOST_TEST((state.error().code == ResultCode::kLogCorrupt));
    BOOST_TEST(state.error().message.find(path.string()) == 0u);
    BOOST_TEST(state.error().message.find("offset") != std::string::npos);
    // The file is not modified, so that the operator can examine it.
    BOOST_TEST(ReadAll(path) == flipped);
  }
}

// Guards against starting from an older state after a corrupt snapshot, a
// missing segment or a corrupt record in an older segment.
BOOST_FIXTURE_TEST_CASE(DamagedFilesAreRejected, Fixture) {
  this->segment_bytes = 100;
  Open().value();
  AppendEntries(1, 12);
  storage.reset();
  std::vector<fs::path> paths;
  for (const auto& item : fs::directory_iterator(directory.path)) {
    if (item.path().filename().string().rfind("log-", 0) == 0) {
      paths.push_back(item.path());
    }
  }
  std::sort(paths.begin(), paths.end());
  BOOST_TEST_REQUIRE(paths.size() >= 3u);
  const std::string content = ReadAll(paths[1]);
  WriteAll(paths[1], content.substr(0, content.size() - 1));
  BOOST_TEST((Open().error().code == ResultCode::kLogCorrupt));
  fs::remove(paths[1]);
  BOOST_TEST((Open().error().code == ResultCode::kLogCorrupt));
  WriteAll(paths[1], content);
  BOOST_TEST(Open().has_value());

  auto snapshot = std::make_shared<internal::SnapshotData>();
  snapshot->index = 3;
  snapshot->state = "state";
  Write write;
  write.snapshot = snapshot;
  Submit(write);
  WaitDone();
  storage.reset();
  const fs::path path = Newest("snapshot-");
  std::string damaged = ReadAll(path);
  damaged.back() = '!';
  WriteAll(path, damaged);
  BOOST_TEST((Open().error().code == ResultCode::kLogCorrupt));
}

// Guards against two replicas that use the same directory, and against a
// directory that is opened under another replica ID.
BOOST_FIXTURE_TEST_CASE(DirectoryOfAnotherReplicaIsRejected, Fixture) {
  Open(1).value();
  {
    internal::FileStorageOptions options;
    options.directory = directory.path.string();
    options.replica_id = 1;
    const auto second = internal::CreateFileStorage(options);
    BOOST_TEST((second->Load().error().code == ResultCode::kStorageFailed));
  }
  const Result<StoredState> other = Open(2);
  BOOST_TEST((other.error().code == ResultCode::kReplicaIdReused));
  BOOST_TEST(Open(1).has_value());
}

// Guards against a full disk that loses old entries, acknowledges new ones or
// needs a restart.
BOOST_FIXTURE_TEST_CASE(FullDiskKeepsOldEntriesAndRecovers, Fixture) {
  Open().value();
  AppendEntries(1, 5);
  calls.full = true;
  Write write;
  write.entries = {MakeEntry(6, 1)};
  Submit(write);
  while (!storage->Full()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  {
    std::lock_guard lock(mutex);
    BOOST_TEST(completed_id == 5u);
  }
  // The process terminates while the disk is full.
  storage->Stop();
  calls.full = false;
  BOOST_TEST(Open().value().entries.size() == 5u);
  calls.full = true;
  last_id = 5;
  Submit(write);
  while (!storage->Full()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  calls.full = false;
  WaitDone();
  BOOST_TEST(!storage->Full());
  BOOST_TEST(Open().value().entries.size() == 6u);
  BOOST_TEST(failure.empty());
}

// Guards against a full disk that ends the process while a snapshot or a new
// segment is written, and against a partial frame that stays in the log.
BOOST_FIXTURE_TEST_CASE(FullDiskDelaysSnapshotsAndSegments, Fixture) {
  this->segment_bytes = 100;
  Open().value();
  const auto wait_until_full = [this] {
    while (!storage->Full()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  };
  const auto submit_while_full = [&](const Write& write, bool data,
                                     bool names) {
    calls.full = data;
    calls.full_for_names = names;
    Submit(write);
    wait_until_full();
    calls.full = false;
    std::this_thread::sleep_for(milliseconds(20));
    calls.full_for_names = false;
    WaitDone();
    BOOST_TEST(!storage->Full());
  };
  const std::vector<std::pair<bool, bool>> kinds = {
      {true, false}, {false, true}, {true, true}};
  LogIndex last = 0;
  for (const auto& [data, names] : kinds) {
    AppendEntries(last + 1, last + 4);
    last += 5;
    Write entry;
    entry.entries = {MakeEntry(last, 1)};
    submit_while_full(entry, true, names);
    auto snapshot = std::make_shared<internal::SnapshotData>();
    snapshot->index = last;
    snapshot->term = 1;
    snapshot->state = "state";
    Write write;
    write.snapshot = snapshot;
    submit_while_full(write, data, names);
  }
  BOOST_TEST(failure.empty(), failure);
  AppendEntries(16, 20);
  const StoredState state = Open().value();
  BOOST_TEST_REQUIRE((state.snapshot != nullptr));
  BOOST_TEST(state.snapshot->index == 15u);
  BOOST_TEST(state.entries.size() == 5u);
}

// Guards against acknowledging a write after a failed sync, whether at once or
// after a retry.
BOOST_FIXTURE_TEST_CASE(FailedSyncIsFatal, Fixture) {
  Open().value();
  AppendEntries(1, 1);
  calls.sync_error = EIO;
  Write write;
  write.entries = {MakeEntry(2, 1)};
  Submit(write);
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return !this->failure.empty(); });
    BOOST_TEST(failure.find("cannot sync") == 0u);
  }
  calls.sync_error = 0;
  Submit(write);
  storage->Stop();
  std::lock_guard lock(mutex);
  BOOST_TEST(completed_id == 1u);
}

// Guards against a log with many entries that cannot be loaded or loses
// entries.
BOOST_FIXTURE_TEST_CASE(TenThousandEntriesReload, Fixture) {
  Open().value();
  for (LogIndex index = 1; index <= 10000; ++index) {
    Write write;
    write.entries = {MakeEntry(index, 1)};
    Submit(std::move(write));
  }
  WaitDone();
  const StoredState state = Open().value();
  BOOST_TEST_REQUIRE(state.entries.size() == 10000u);
  BOOST_TEST(state.entries.back()->payload == "entry 10000");
}

// Guards against a message between replicas, or a snapshot, that was broken off
// and is taken for a complete one.
BOOST_AUTO_TEST_CASE(TruncatedMessagesAreRejected) {
  internal::Message message;
  message.type = internal::MessageType::kPreVote;
  message.data = "part of a snapshot";
  message.entries.push_back(Fixture::MakeEntry(1, 1));
  const std::string encoded = internal::EncodeMessage(message);
  BOOST_REQUIRE(internal::DecodeMessage(encoded).has_value());
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    BOOST_TEST(!internal::DecodeMessage(encoded.substr(0, size)), size);
  }
  internal::SnapshotData snapshot;
  snapshot.state = "state";
  const std::string stored = internal::EncodeSnapshot(snapshot);
  BOOST_REQUIRE(internal::DecodeSnapshot(stored).has_value());
  for (std::size_t size = 0; size < stored.size(); ++size) {
    BOOST_TEST(!internal::DecodeSnapshot(stored.substr(0, size)), size);
  }
}

// Checks CRC-32C and base64 against published test vectors.
BOOST_AUTO_TEST_CASE(EncodingsMatchPublishedVectors) {
  BOOST_TEST(internal::Crc32c("123456789") == 0xE3069283u);
  BOOST_TEST(internal::Crc32c(std::string(32, '\0')) == 0x8A9136AAu);
  BOOST_TEST(internal::Crc32c("56789", internal::Crc32c("1234")) ==
             0xE3069283u);
  BOOST_TEST(internal::Base64Encode("foobar!") == "Zm9vYmFyIQ==");
  for (std::size_t size = 0; size < 10; ++size) {
    std::string bytes;
    for (std::size_t i = 0; i < size; ++i) {
      bytes.push_back(static_cast<char>(250 + i));
    }
    BOOST_TEST(internal::Base64Decode(internal::Base64Encode(bytes)).value() ==
               bytes);
  }
  BOOST_TEST(!internal::Base64Decode("ab!=").has_value());
}

}  // namespace sycamorebend
