// Storage in the files of one directory:
//   replica           ID of the replica that owns the directory
//   log-N             log segments with consecutive numbers
//   snapshot-INDEX    the latest snapshot
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

// Changes files. Tests override this to simulate a full or failing disk, kills
// and losses of power.
class FileCalls {
 public:
  virtual ~FileCalls() = default;
  // Opens an empty file for appending.
  // @return the descriptor, or -1 with errno set.
  virtual int Create(const std::string& path);
  // Opens an existing file for writing.
  // @return the descriptor, or -1 with errno set.
  virtual int Open(const std::string& path);
  // @return 0 or an errno value.
  virtual int Remove(const std::string& path);
  // @return 0 or an errno value.
  virtual int Rename(const std::string& from, const std::string& to);
  // @return 0 or an errno value.
  virtual int Truncate(int file, std::uint64_t size);
  // Writes all of `data` at the end of the file.
  // @return 0, or an errno value if the write failed; part of the data may have
  // been written then.
  virtual int Write(int file, std::string_view data);
  // @return 0 or an errno value.
  virtual int Sync(int file);
};

struct FileStorageOptions {
  std::string directory;
  ReplicaId replica_id = 0;
  // A new segment starts after this many bytes. Only whole segments are
  // deleted, so this bounds how much obsolete data is read at startup.
  std::uint64_t segment_bytes = 4 << 20;
  Duration full_retry_interval = milliseconds(100);
  // Called when a file operation fails for a reason other than a full disk. The
  // default terminates the process: a retried fsync may report success for data
  // that the kernel has already dropped.
  std::function<void(const std::string& message)> on_failure;
  // Null for the system calls themselves.
  FileCalls* calls = nullptr;
  // Called on the sync thread when this write and all earlier ones are durable.
  std::function<void(std::uint64_t write_id)> on_durable;
};

std::unique_ptr<Storage> CreateFileStorage(FileStorageOptions options);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_FILE_STORAGE_H_
