// Storage in files of one directory:
//   replica           the replica ID the directory belongs to
//   log-N             segments of the log, N counts up
//   snapshot-INDEX    the newest snapshot
// A segment is a sequence of frames. A frame holds the records of one group
// commit and is synced before the next one is written, so only the last frame
// of the last segment can be incomplete after a crash.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_FILE_STORAGE_H_
#define SYCAMOREBEND_SRC_CONSENSUS_FILE_STORAGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "consensus/storage.h"

namespace sycamorebend::internal {

// The system calls that can fail for reasons outside the process.
class FileCalls {
 public:
  virtual ~FileCalls() = default;
  // Writes all of `data` at the end of the file.
  // @return 0 or an errno value; part of the data may have been written.
  virtual int Write(int file, std::string_view data);
  // @return 0 or an errno value.
  virtual int Sync(int file);
};

struct FileStorageOptions {
  std::string directory;
  ReplicaId replica_id = 0;
  // A new segment starts after this many bytes. Whole segments are deleted, so
  // this bounds what a start reads beyond the entries it needs.
  std::uint64_t segment_bytes = 4 << 20;
  Duration full_retry_interval = milliseconds(100);
  // Called when a write or sync has failed for another reason than a full
  // disk. The default ends the process: a retried fsync may report success for
  // data that the kernel has dropped.
  std::function<void(const std::string& message)> on_failure;
  // Null: the calls of the operating system.
  FileCalls* calls = nullptr;
  // Called on the sync thread when the write and all before it are durable.
  std::function<void(std::uint64_t write_id)> on_done;
};

std::unique_ptr<Storage> CreateFileStorage(FileStorageOptions options);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_FILE_STORAGE_H_
