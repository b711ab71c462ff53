#include "consensus/file_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "consensus/encoding.h"

namespace sycamorebend::internal {

namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kFrameMagic = 0x53426C67;
constexpr std::uint32_t kSnapshotMagic = 0x53427370;
// Magic, payload size, checksum, sequence number.
constexpr std::size_t kFrameHeaderBytes = 4 + 4 + 4 + 8;
// A group commit takes no further write after this size, so that a frame stays
// far below the limit of its 32-bit size field.
constexpr std::size_t kMaxFrameBytes = 16 << 20;
constexpr std::uint32_t kFormatVersion = 1;
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kReplicaFile = "replica";

enum class RecordType : std::uint8_t {
  kSegmentHeader = 0,
  kHardState = 1,
  kTruncate = 2,
  kEntry = 3,
};

class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int value) : value(value) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : value(std::exchange(other.value, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(this->value, other.value);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (this->value >= 0) {
      ::close(this->value);
    }
  }
  int Get() const { return this->value; }

 private:
  int value = -1;
};

struct Segment {
  std::uint64_t number = 0;
  LogIndex last_index = 0;  // Largest entry index in the segment.
};

// @return the last index that the snapshot covers.
LogIndex Covered(const StoredState& state) {
  return state.snapshot == nullptr ? 0 : state.snapshot->index;
}

std::string EncodeFrame(std::uint64_t sequence, std::string_view payload) {
  std::string sequence_bytes;
  PutU64(sequence_bytes, sequence);
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  PutU32(frame, kFrameMagic);
  PutU32(frame, static_cast<std::uint32_t>(payload.size()));
  PutU32(frame, Crc32c(payload, Crc32c(sequence_bytes)));
  frame.append(sequence_bytes);
  frame.append(payload);
  return frame;
}

struct Frame {
  std::uint64_t sequence = 0;
  std::string_view payload;
};

// @return the frame at the start of `data` if it is complete and its checksum
// matches.
std::optional<Frame> DecodeFrame(std::string_view data) {
  ByteReader reader(data.substr(0, kFrameHeaderBytes));
  const std::uint32_t magic = reader.U32();
  const std::uint32_t size = reader.U32();
  const std::uint32_t checksum = reader.U32();
  Frame frame;
  frame.sequence = reader.U64();
  if (!reader.Ok() || magic != kFrameMagic ||
      data.size() - kFrameHeaderBytes < size) {
    return std::nullopt;
  }
  frame.payload = data.substr(kFrameHeaderBytes, size);
  std::string sequence_bytes;
  PutU64(sequence_bytes, frame.sequence);
  if (Crc32c(frame.payload, Crc32c(sequence_bytes)) != checksum) {
    return std::nullopt;
  }
  return frame;
}

// @return true if `data` contains a valid frame at any offset.
bool ContainsFrame(std::string_view data) {
  std::string magic;
  PutU32(magic, kFrameMagic);
  for (std::size_t at = data.find(magic); at != std::string_view::npos;
       at = data.find(magic, at + 1)) {
    if (DecodeFrame(data.substr(at))) {
      return true;
    }
  }
  return false;
}

std::optional<std::uint64_t> ParseFileNumber(std::string_view prefix,
                                             const std::string& name) {
  if (name.rfind(prefix, 0) != 0) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(name.data() + prefix.size(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

Error ReportCorruption(const fs::path& path,
                       std::size_t offset,
                       std::string_view what) {
  const std::string message =
      fmt::format("{} at offset {}: {}", path.string(), offset, what);
  LogEvent(Severity::kError, Event::kLogCorrupt,
           {{"file", path.string()},
            {"offset", static_cast<std::uint64_t>(offset)},
            {"reason", what}});
  return MakeError(ResultCode::kLogCorrupt, message);
}

void LogAndExit(const std::string& message) {
  LogEvent(Severity::kError, Event::kStorageFailed, {{"message", message}});
  std::_Exit(EXIT_FAILURE);
}

class FileStorage : public Storage {
 public:
  explicit FileStorage(FileStorageOptions given)
      : options(std::move(given)), directory(this->options.directory) {
    if (this->options.calls == nullptr) {
      this->options.calls = &this->system_calls;
    }
    if (!this->options.on_failure) {
      this->options.on_failure = LogAndExit;
    }
  }

  ~FileStorage() override { this->Stop(); }

  Result<StoredState> Load() override;

  void Submit(Write write) override {
    {
      std::lock_guard lock(this->mutex);
      if (this->stopping) {
        return;
      }
      this->queue.push_back(std::move(write));
    }
    this->work_available.notify_one();
  }

  bool Full() const override { return this->full; }

  void Stop() override {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->work_available.notify_one();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

 private:
  Status Open();
  Status CheckOwner();
  Status ListFiles();
  Status ReportMissingSegment();
  Status CheckGap();
  Result<SnapshotPtr> LoadSnapshot();
  Status LoadSegment(Segment& segment, bool last, StoredState& state);
  Status ApplyFrame(std::string_view payload,
                    const fs::path& path,
                    std::size_t offset,
                    Segment& segment,
                    StoredState& state);
  Status AddEntry(Entry entry, StoredState& state);
  Status TruncateTornTail(const fs::path& path, std::size_t offset);
  Status SyncLoaded();

  void RunSyncThread();
  bool StoreBatch(std::vector<Write>& batch);
  bool StoreRecords(std::string records, LogIndex last_index);
  bool StoreSnapshot(const SnapshotData& snapshot);
  bool StartSegment();
  bool WriteFileAtomically(const fs::path& path, std::string_view content);
  // Calls `call`, which returns 0 or an errno value, until it succeeds or fails
  // for another reason than a full disk.
  // @return true if it succeeded.
  bool RetryWhileFull(std::string_view action,
                      const fs::path& path,
                      const std::function<int()>& call);
  // @return an empty file opened for appending, or no file after a failure.
  FileDescriptor Create(const fs::path& path);
  bool Append(int file, std::uint64_t& size, std::string_view data);
  bool SyncFile(int file, const fs::path& path);
  bool SyncDirectory();
  bool HandleFailure(std::string_view action, const fs::path& path, int error);
  bool WaitForSpace(const fs::path& path);
  void DeleteSegments(LogIndex upto);
  // @return true if `first` or a segment after it has an entry.
  bool HasEntries(std::vector<Segment>::const_iterator first) const {
    return std::any_of(first, this->segments.end(), [](const Segment& segment) {
      return segment.last_index > 0;
    });
  }
  void DeleteFile(const fs::path& path);

  fs::path SegmentPath(std::uint64_t number) const {
    return this->directory / fmt::format("{}{:020}", kSegmentPrefix, number);
  }
  fs::path SnapshotPath(LogIndex index) const {
    return this->directory / fmt::format("{}{:020}", kSnapshotPrefix, index);
  }

  FileStorageOptions options;
  const fs::path directory;
  FileCalls system_calls;
  FileDescriptor directory_file;

  // Used by Load, afterwards only by the sync thread.
  std::vector<Segment> segments;
  // Segments before the last gap in the numbers.
  std::vector<Segment> removed_segments;
  std::vector<LogIndex> snapshots;
  FileDescriptor segment_file;
  std::uint64_t segment_size = 0;
  std::uint64_t next_segment = 1;
  std::uint64_t sequence = 0;
  HardState hard_state;
  bool last_segment_empty = false;

  std::mutex mutex;
  std::condition_variable work_available;
  std::deque<Write> queue;
  bool stopping = false;
  std::atomic<bool> full = false;
  std::thread thread;
};

// ---------------------------------------------------------------------------
// Load

Result<StoredState> FileStorage::Load() {
  BOOST_OUTCOME_TRYV(this->Open());
  BOOST_OUTCOME_TRYV(this->CheckOwner());
  BOOST_OUTCOME_TRYV(this->ListFiles());
  StoredState state;
  BOOST_OUTCOME_TRY(snapshot, this->LoadSnapshot());
  state.snapshot = std::move(snapshot);
  for (std::size_t i = 0; i < this->segments.size(); ++i) {
    BOOST_OUTCOME_TRYV(this->LoadSegment(
        this->segments[i], i + 1 == this->segments.size(), state));
  }
  BOOST_OUTCOME_TRYV(this->CheckGap());
  for (const Segment& segment : this->removed_segments) {
    this->DeleteFile(this->SegmentPath(segment.number));
  }
  this->removed_segments.clear();
  if (!this->segments.empty() && this->last_segment_empty) {
    // The process terminated between creating the segment and syncing its
    // header.
    this->DeleteFile(this->SegmentPath(this->segments.back().number));
    this->next_segment = this->segments.back().number;
    this->segments.pop_back();
  }
  BOOST_OUTCOME_TRYV(this->SyncLoaded());
  this->hard_state = state.hard_state;
  this->thread = std::thread([this] { this->RunSyncThread(); });
  return state;
}

Status FileStorage::Open() {
  std::error_code error;
  fs::create_directories(this->directory, error);
  this->directory_file =
      FileDescriptor(::open(this->directory.c_str(), O_RDONLY | O_DIRECTORY));
  if (this->directory_file.Get() < 0) {
    return MakeError(
        ResultCode::kStorageFailed,
        fmt::format("cannot open directory {}: {}", this->directory.string(),
                    std::generic_category().message(errno)));
  }
  if (::flock(this->directory_file.Get(), LOCK_EX | LOCK_NB) != 0) {
    return MakeError(ResultCode::kStorageFailed,
                     fmt::format("directory {} is in use by another process",
                                 this->directory.string()));
  }
  return Success();
}

Status FileStorage::CheckOwner() {
  const fs::path path = this->directory / kReplicaFile;
  const std::string own = fmt::format("{}\n", this->options.replica_id);
  std::error_code error;
  if (fs::exists(path, error)) {
    const std::string owner = ReadFile(path);
    if (owner != own) {
      return MakeError(
          ResultCode::kReplicaIdReused,
          fmt::format("directory {} belongs to replica {}, not to replica {}",
                      this->directory.string(),
                      owner.substr(0, owner.find('\n')),
                      this->options.replica_id));
    }
    return Success();
  }
  if (!this->WriteFileAtomically(path, own)) {
    return MakeError(ResultCode::kStorageFailed,
                     "cannot write " + path.string());
  }
  return Success();
}

Status FileStorage::ListFiles() {
  std::error_code error;
  for (const auto& item : fs::directory_iterator(this->directory, error)) {
    const std::string name = item.path().filename().string();
    if (item.path().extension() == kTemporarySuffix) {
      this->DeleteFile(item.path());
    } else if (const auto segment = ParseFileNumber(kSegmentPrefix, name)) {
      this->segments.push_back({*segment, 0});
    } else if (const auto index = ParseFileNumber(kSnapshotPrefix, name)) {
      this->snapshots.push_back(*index);
    }
  }
  std::sort(this->snapshots.begin(), this->snapshots.end());
  std::sort(this->segments.begin(), this->segments.end(),
            [](const Segment& left, const Segment& right) {
              return left.number < right.number;
            });
  if (!this->segments.empty()) {
    this->next_segment = this->segments.back().number + 1;
  }
  auto first = this->segments.end();
  while (first != this->segments.begin() &&
         (first == this->segments.end() ||
          std::prev(first)->number + 1 == first->number)) {
    --first;
  }
  this->removed_segments.assign(this->segments.begin(), first);
  this->segments.erase(this->segments.begin(), first);
  return Success();
}

Status FileStorage::ReportMissingSegment() {
  return ReportCorruption(this->SegmentPath(this->segments.front().number - 1),
                          0, "the segment is missing");
}

// After a loss of power, each of the segments that were removed without a later
// sync of the directory may be back. A gap in the numbers is therefore not an
// error if nothing in the missing segment is needed: the first entry after the
// gap, which ApplyFrame compares with the snapshot, follows one that the
// snapshot covers, and entries from there on were replaced. Term and vote are
// repeated after the gap.
Status FileStorage::CheckGap() {
  return this->removed_segments.empty() ||
                 this->HasEntries(this->segments.begin())
             ? Status(Success())
             : this->ReportMissingSegment();
}

Result<SnapshotPtr> FileStorage::LoadSnapshot() {
  if (this->snapshots.empty()) {
    return SnapshotPtr();
  }
  const fs::path path = this->SnapshotPath(this->snapshots.back());
  const std::string content = ReadFile(path);
  ByteReader reader(content);
  const std::uint32_t magic = reader.U32();
  const std::uint32_t checksum = reader.U32();
  if (!reader.Ok() || magic != kSnapshotMagic) {
    return ReportCorruption(path, 0, "not a snapshot");
  }
  const std::string_view body =
      std::string_view(content).substr(sizeof(magic) + sizeof(checksum));
  std::optional<SnapshotData> snapshot;
  if (Crc32c(body) == checksum) {
    snapshot = DecodeSnapshot(body);
  }
  if (!snapshot) {
    return ReportCorruption(path, sizeof(magic) + sizeof(checksum),
                            "the checksum does not match");
  }
  return SnapshotPtr(
      std::make_shared<const SnapshotData>(std::move(*snapshot)));
}

Status FileStorage::LoadSegment(Segment& segment,
                                bool last,
                                StoredState& state) {
  const fs::path path = this->SegmentPath(segment.number);
  const std::string content = ReadFile(path);
  const std::string_view data = content;
  std::size_t offset = 0;
  while (offset < data.size()) {
    const std::optional<Frame> frame = DecodeFrame(data.substr(offset));
    const bool valid =
        frame && (this->sequence == 0 || frame->sequence == this->sequence + 1);
    if (!valid) {
      if (frame || !last || ContainsFrame(data.substr(offset + 1))) {
        return ReportCorruption(
            path, offset,
            frame ? "a record is missing"
                  : "the checksum does not match and valid records "
                    "follow");
      }
      BOOST_OUTCOME_TRYV(this->CheckGap());
      BOOST_OUTCOME_TRYV(this->TruncateTornTail(path, offset));
      break;
    }
    this->sequence = frame->sequence;
    BOOST_OUTCOME_TRYV(
        this->ApplyFrame(frame->payload, path, offset, segment, state));
    offset += kFrameHeaderBytes + frame->payload.size();
  }
  if (!last && offset == 0) {
    return ReportCorruption(path, 0, "the segment is empty");
  }
  this->last_segment_empty = offset == 0;
  return Success();
}

Status FileStorage::TruncateTornTail(const fs::path& path, std::size_t offset) {
  LogEvent(Severity::kWarning, Event::kLogTailCut,
           {{"file", path.string()},
            {"offset", static_cast<std::uint64_t>(offset)}});
  FileCalls& calls = *this->options.calls;
  const FileDescriptor file(calls.Open(path.string()));
  if (file.Get() < 0 || calls.Truncate(file.Get(), offset) != 0 ||
      calls.Sync(file.Get()) != 0) {
    return MakeError(ResultCode::kStorageFailed,
                     "cannot truncate " + path.string());
  }
  return Success();
}

// A process that was killed may have left records that it did not sync in the
// last segment, and names that it did not sync. They are relied on after Load,
// so a later loss of power must not take them away. Older segments and the
// content of renamed files are synced before the next name is changed.
Status FileStorage::SyncLoaded() {
  FileCalls& calls = *this->options.calls;
  int error = 0;
  if (!this->segments.empty()) {
    const FileDescriptor file(
        calls.Open(this->SegmentPath(this->segments.back().number).string()));
    error = file.Get() < 0 ? errno : calls.Sync(file.Get());
  }
  if (error == 0) {
    error = calls.Sync(this->directory_file.Get());
  }
  if (error != 0) {
    return MakeError(
        ResultCode::kStorageFailed,
        fmt::format("cannot sync the files in {}: {}", this->directory.string(),
                    std::generic_category().message(error)));
  }
  return Success();
}

Status FileStorage::ApplyFrame(std::string_view payload,
                               const fs::path& path,
                               std::size_t offset,
                               Segment& segment,
                               StoredState& state) {
  ByteReader reader(payload);
  while (reader.Ok() && !reader.AtEnd()) {
    switch (static_cast<RecordType>(reader.U8())) {
      case RecordType::kSegmentHeader: {
        const std::uint32_t version = reader.U32();
        const ReplicaId owner = reader.U64();
        if (version != kFormatVersion || owner != this->options.replica_id) {
          return ReportCorruption(
              path, offset,
              "the segment has another format version or belongs to "
              "another replica");
        }
        break;
      }
      case RecordType::kHardState:
        state.hard_state.term = reader.U64();
        state.hard_state.vote = reader.U64();
        break;
      case RecordType::kTruncate: {
        const LogIndex from = reader.U64();
        while (!state.entries.empty() && state.entries.back()->index >= from) {
          state.entries.pop_back();
        }
        break;
      }
      case RecordType::kEntry: {
        Entry entry = ReadEntry(reader);
        if (entry.index > Covered(state) + 1) {
          BOOST_OUTCOME_TRYV(this->CheckGap());
        }
        segment.last_index = std::max(segment.last_index, entry.index);
        if (!reader.Ok() || !this->AddEntry(std::move(entry), state)) {
          return ReportCorruption(
              path, offset,
              "the index of an entry is not its predecessor's + 1");
        }
        break;
      }
      default:
        return ReportCorruption(path, offset, "unknown record type");
    }
  }
  return reader.Ok() ? Status(Success())
                     : ReportCorruption(path, offset, "a record is too short");
}

Status FileStorage::AddEntry(Entry entry, StoredState& state) {
  const LogIndex covered = Covered(state);
  if (entry.index <= covered) {
    return Success();
  }
  const LogIndex expected =
      state.entries.empty() ? covered + 1 : state.entries.back()->index + 1;
  if (entry.index != expected) {
    return MakeError(ResultCode::kLogCorrupt);
  }
  state.entries.push_back(std::make_shared<const Entry>(std::move(entry)));
  return Success();
}

// ---------------------------------------------------------------------------
// Sync thread

void FileStorage::RunSyncThread() {
  for (;;) {
    std::vector<Write> batch;
    {
      std::unique_lock lock(this->mutex);
      this->work_available.wait(
          lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->queue.empty()) {
        return;
      }
      std::size_t bytes = 0;
      while (!this->queue.empty() && bytes < kMaxFrameBytes) {
        for (const EntryPtr& entry : this->queue.front().entries) {
          bytes += entry->payload.size();
        }
        batch.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
      }
    }
    if (!this->StoreBatch(batch)) {
      return;
    }
    if (this->options.on_durable) {
      this->options.on_durable(batch.back().id);
    }
  }
}

bool FileStorage::StoreBatch(std::vector<Write>& batch) {
  std::string records;
  LogIndex last_index = 0;
  for (const Write& write : batch) {
    if (write.hard_state) {
      PutU8(records, static_cast<std::uint8_t>(RecordType::kHardState));
      PutU64(records, write.hard_state->term);
      PutU64(records, write.hard_state->vote);
      this->hard_state = *write.hard_state;
    }
    if (write.truncate_from) {
      PutU8(records, static_cast<std::uint8_t>(RecordType::kTruncate));
      PutU64(records, *write.truncate_from);
    }
    if (write.snapshot != nullptr) {
      if (!this->StoreRecords(std::exchange(records, {}), last_index) ||
          !this->StoreSnapshot(*write.snapshot)) {
        return false;
      }
      last_index = 0;
    }
    for (const EntryPtr& entry : write.entries) {
      PutU8(records, static_cast<std::uint8_t>(RecordType::kEntry));
      PutEntry(records, *entry);
      last_index = std::max(last_index, entry->index);
    }
  }
  return this->StoreRecords(std::move(records), last_index);
}

bool FileStorage::StoreRecords(std::string records, LogIndex last_index) {
  if (records.empty()) {
    return true;
  }
  if ((this->segment_file.Get() < 0 ||
       this->segment_size >= this->options.segment_bytes) &&
      !this->StartSegment()) {
    return false;
  }
  const fs::path path = this->SegmentPath(this->segments.back().number);
  if (!this->Append(this->segment_file.Get(), this->segment_size,
                    EncodeFrame(this->sequence + 1, records)) ||
      !this->SyncFile(this->segment_file.Get(), path)) {
    return false;
  }
  ++this->sequence;
  Segment& segment = this->segments.back();
  segment.last_index = std::max(segment.last_index, last_index);
  return true;
}

bool FileStorage::StartSegment() {
  const fs::path path = this->SegmentPath(this->next_segment);
  std::string header;
  PutU8(header, static_cast<std::uint8_t>(RecordType::kSegmentHeader));
  PutU32(header, kFormatVersion);
  PutU64(header, this->options.replica_id);
  // Repeat the term and vote: the older segment that holds them may be deleted.
  PutU8(header, static_cast<std::uint8_t>(RecordType::kHardState));
  PutU64(header, this->hard_state.term);
  PutU64(header, this->hard_state.vote);
  FileDescriptor file = this->Create(path);
  if (file.Get() < 0) {
    return false;
  }
  std::uint64_t size = 0;
  // The header is synced before the first frame of records, so after a crash a
  // segment is intact up to its last frame or has no frame at all.
  if (!this->Append(file.Get(), size,
                    EncodeFrame(this->sequence + 1, header)) ||
      !this->SyncFile(file.Get(), path) || !this->SyncDirectory()) {
    return false;
  }
  ++this->sequence;
  this->segments.push_back({this->next_segment, 0});
  ++this->next_segment;
  this->segment_file = std::move(file);
  this->segment_size = size;
  return true;
}

bool FileStorage::StoreSnapshot(const SnapshotData& snapshot) {
  const std::string body = EncodeSnapshot(snapshot);
  std::string content;
  content.reserve(body.size() + 8);
  PutU32(content, kSnapshotMagic);
  PutU32(content, Crc32c(body));
  content.append(body);
  if (!this->WriteFileAtomically(this->SnapshotPath(snapshot.index), content)) {
    return false;
  }
  for (const LogIndex old : this->snapshots) {
    if (old != snapshot.index) {
      this->DeleteFile(this->SnapshotPath(old));
    }
  }
  this->snapshots = {snapshot.index};
  LogEvent(Severity::kInfo, Event::kSnapshotWritten,
           {{"index", snapshot.index},
            {"bytes", static_cast<std::uint64_t>(content.size())}});
  this->DeleteSegments(snapshot.index);
  return true;
}

void FileStorage::DeleteSegments(LogIndex upto) {
  // The rest must have an entry, by which Load recognises that nothing before
  // it is needed.
  while (this->segments.size() > 1 &&
         this->segments.front().last_index <= upto &&
         this->HasEntries(std::next(this->segments.begin()))) {
    this->DeleteFile(this->SegmentPath(this->segments.front().number));
    this->segments.erase(this->segments.begin());
  }
}

void FileStorage::DeleteFile(const fs::path& path) {
  // If this fails, a later snapshot removes the file or Load ignores it.
  this->options.calls->Remove(path.string());
}

bool FileStorage::WriteFileAtomically(const fs::path& path,
                                      std::string_view content) {
  const fs::path temporary = path.string() + std::string(kTemporarySuffix);
  const FileDescriptor file = this->Create(temporary);
  if (file.Get() < 0) {
    return false;
  }
  std::uint64_t size = 0;
  if (!this->Append(file.Get(), size, content) ||
      !this->SyncFile(file.Get(), temporary)) {
    return false;
  }
  return this->RetryWhileFull("rename", temporary, [&] {
    return this->options.calls->Rename(temporary.string(), path.string());
  }) && this->SyncDirectory();
}

bool FileStorage::RetryWhileFull(std::string_view action,
                                 const fs::path& path,
                                 const std::function<int()>& call) {
  for (;;) {
    const int error = call();
    if (error == 0) {
      this->full = false;
      return true;
    }
    if (error != ENOSPC && error != EDQUOT) {
      return this->HandleFailure(action, path, error);
    }
    if (!this->WaitForSpace(path)) {
      return false;
    }
  }
}

FileDescriptor FileStorage::Create(const fs::path& path) {
  FileDescriptor file;
  this->RetryWhileFull("open", path, [&] {
    file = FileDescriptor(this->options.calls->Create(path.string()));
    return file.Get() < 0 ? errno : 0;
  });
  return file;
}

bool FileStorage::Append(int file, std::uint64_t& size, std::string_view data) {
  bool partial = false;
  const auto append = [&] {
    // The retry must append after the last complete frame.
    if (partial) {
      const int error = this->options.calls->Truncate(file, size);
      if (error != 0) {
        return error;
      }
    }
    partial = true;
    return this->options.calls->Write(file, data);
  };
  if (!this->RetryWhileFull("write", this->directory, append)) {
    return false;
  }
  size += data.size();
  return true;
}

bool FileStorage::WaitForSpace(const fs::path& path) {
  if (!this->thread.joinable()) {
    return false;
  }
  if (!this->full.exchange(true)) {
    LogEvent(Severity::kError, Event::kStorageFailed,
             {{"message", "the disk is full; proposals are refused"},
              {"file", path.string()}});
  }
  std::unique_lock lock(this->mutex);
  return !this->work_available.wait_for(lock, this->options.full_retry_interval,
                                        [this] { return this->stopping; });
}

bool FileStorage::SyncFile(int file, const fs::path& path) {
  const int error = this->options.calls->Sync(file);
  return error == 0 || this->HandleFailure("sync", path, error);
}

bool FileStorage::SyncDirectory() {
  return this->SyncFile(this->directory_file.Get(), this->directory);
}

bool FileStorage::HandleFailure(std::string_view action,
                                const fs::path& path,
                                int error) {
  // Before the sync thread runs, Load returns the error instead.
  if (this->thread.joinable()) {
    this->options.on_failure(
        fmt::format("cannot {} {}: {}", action, path.string(),
                    std::generic_category().message(error)));
  }
  return false;
}

}  // namespace

int FileCalls::Create(const std::string& path) {
  return ::open(path.c_str(),
                O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
}

int FileCalls::Open(const std::string& path) {
  return ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
}

int FileCalls::Remove(const std::string& path) {
  return ::unlink(path.c_str()) == 0 ? 0 : errno;
}

int FileCalls::Rename(const std::string& from, const std::string& to) {
  return ::rename(from.c_str(), to.c_str()) == 0 ? 0 : errno;
}

int FileCalls::Truncate(int file, std::uint64_t size) {
  return ::ftruncate(file, static_cast<off_t>(size)) == 0 ? 0 : errno;
}

int FileCalls::Write(int file, std::string_view data) {
  while (!data.empty()) {
    const ssize_t written = ::write(file, data.data(), data.size());
    if (written < 0 && errno != EINTR) {
      return errno;
    }
    data.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
  }
  return 0;
}

int FileCalls::Sync(int file) {
  return ::fsync(file) == 0 ? 0 : errno;
}

std::unique_ptr<Storage> CreateFileStorage(FileStorageOptions options) {
  return std::make_unique<FileStorage>(std::move(options));
}

}  // namespace sycamorebend::internal
