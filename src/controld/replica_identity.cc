#include "controld/replica_identity.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include <fmt/format.h>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

namespace fs = std::filesystem;

constexpr const char* kIdentityFile = "identity";
constexpr const char* kTemporaryFile = "identity.tmp";
// The last identity that was erased. It stays while the replica has a later
// one.
constexpr const char* kErasedFile = "identity.erased";
constexpr int kFileMode = 0644;

Error StorageError(const std::string& action,
                   const fs::path& path,
                   int error = errno) {
  return MakeError(ResultCode::kStorageFailed,
                   fmt::format("cannot {} {}: {}", action, path.string(),
                               std::generic_category().message(error)));
}

// Opens `path`, calls `use` with the descriptor and closes it.
// @return the result of `use`, or false if the file cannot be opened; errno is
// that of the failed call.
template <typename Use>
bool WithFile(const fs::path& path, int flags, Use use) {
  const int file = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return false;
  }
  const bool used = use(file);
  const int error = errno;
  ::close(file);
  errno = error;
  return used;
}

Result<bool> Exists(const fs::path& path) {
  std::error_code error;
  const bool found = fs::exists(path, error);
  if (error) {
    return StorageError("find", path, error.value());
  }
  return found;
}

Status SyncDirectory(const std::string& directory) {
  const bool synced = WithFile(directory, O_RDONLY | O_DIRECTORY,
                               [](int file) { return ::fsync(file) == 0; });
  return synced ? Status(Success()) : StorageError("sync", directory);
}

// Marks the directory with a rename, which needs no space on a full disk.
Status MarkErasure(const std::string& directory) {
  const fs::path identity = fs::path(directory) / kIdentityFile;
  const fs::path mark = fs::path(directory) / kErasedFile;
  if (::rename(identity.c_str(), mark.c_str()) != 0) {
    if (errno != ENOENT) {
      return StorageError("rename", identity);
    }
    // The directory was marked before, or was emptied while the process ran.
    std::error_code ignored;  // Opening the file reports it.
    fs::create_directories(directory, ignored);
    const bool created = WithFile(mark, O_WRONLY | O_CREAT,
                                  [](int file) { return ::fsync(file) == 0; });
    if (!created) {
      return StorageError("write", mark);
    }
  }
  return SyncDirectory(directory);
}

std::string Encode(const ReplicaIdentity& identity) {
  Json::Value value;
  value["id"] = Json::UInt64(identity.id);
  value["founders"] = Json::Value(Json::arrayValue);
  for (const ReplicaAddress& replica : identity.initial_replicas) {
    Json::Value item;
    item["id"] = Json::UInt64(replica.id);
    item["address"] = replica.address;
    value["founders"].append(item);
  }
  if (!identity.epoch.empty()) {
    value["epoch"] = identity.epoch;
  }
  return WriteJson(value);
}

}  // namespace

std::optional<ReplicaIdentity> InitialReplicaIdentity(
    std::vector<std::string> seeds,
    const std::string& own_address) {
  std::sort(seeds.begin(), seeds.end());
  seeds.erase(std::unique(seeds.begin(), seeds.end()), seeds.end());
  ReplicaIdentity identity;
  for (const std::string& seed : seeds) {
    identity.initial_replicas.push_back(
        {identity.initial_replicas.size() + 1, seed});
    if (seed == own_address) {
      identity.id = identity.initial_replicas.back().id;
    }
  }
  if (identity.id == 0) {
    return std::nullopt;
  }
  return identity;
}

Result<std::optional<ReplicaIdentity>> LoadIdentity(
    const std::string& directory,
    const std::function<int(int file)>& sync) {
  const fs::path path = fs::path(directory) / kIdentityFile;
  std::ifstream file(path);
  if (!file) {
    // An identity that is there must not count as missing: another one would
    // be made up.
    BOOST_OUTCOME_TRY(found, Exists(path));
    if (found) {
      return MakeError(ResultCode::kStorageFailed,
                       "cannot open " + path.string());
    }
    return std::optional<ReplicaIdentity>();
  }
  std::ostringstream text;
  text << file.rdbuf();
  const Result<Json::Value> value = ParseJson(text.str());
  if (!value || !value.value()["id"].isUInt64() ||
      value.value()["id"].asUInt64() == 0 ||
      !value.value()["founders"].isArray() ||
      !value.value().get("epoch", "").isString()) {
    return MakeError(ResultCode::kLogCorrupt,
                     path.string() + " is not a valid replica identity");
  }
  // A process that was killed may have renamed the file without this sync.
  const bool synced = WithFile(directory, O_RDONLY | O_DIRECTORY,
                               [&](int opened) { return sync(opened) == 0; });
  if (!synced) {
    return StorageError("sync", directory);
  }
  ReplicaIdentity identity;
  identity.id = value.value()["id"].asUInt64();
  for (const Json::Value& item : value.value()["founders"]) {
    identity.initial_replicas.push_back(
        {item["id"].asUInt64(), item["address"].asString()});
  }
  // Not in a file of an earlier release.
  identity.epoch = value.value()["epoch"].asString();
  return std::optional<ReplicaIdentity>(std::move(identity));
}

Status StoreIdentity(const std::string& directory,
                     const ReplicaIdentity& identity) {
  std::error_code error;
  fs::create_directories(directory, error);
  const fs::path path = fs::path(directory) / kIdentityFile;
  const fs::path temporary = fs::path(directory) / kTemporaryFile;
  const std::string text = Encode(identity);
  const bool written =
      WithFile(temporary, O_WRONLY | O_CREAT | O_TRUNC, [&](int file) {
        const ssize_t size = ::write(file, text.data(), text.size());
        return size == static_cast<ssize_t>(text.size()) && ::fsync(file) == 0;
      });
  if (!written) {
    return StorageError("write", temporary);
  }
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return StorageError("rename", temporary);
  }
  return SyncDirectory(directory);
}

Status EraseReplica(const std::string& directory) {
  BOOST_OUTCOME_TRY(MarkErasure(directory));
  std::error_code error;
  std::vector<fs::path> files;
  for (const auto& item : fs::directory_iterator(directory, error)) {
    std::error_code ignored;  // Removing it then fails.
    // Subdirectories, such as lost+found, are not the replica's.
    if (item.path().filename() != kErasedFile && !item.is_directory(ignored)) {
      files.push_back(item.path());
    }
  }
  if (error) {
    return StorageError("list", directory, error.value());
  }
  for (const fs::path& file : files) {
    if (!fs::remove(file, error) && error) {
      return StorageError("remove", file, error.value());
    }
  }
  return SyncDirectory(directory);
}

Result<bool> WasErased(const std::string& directory) {
  BOOST_OUTCOME_TRY(has_identity, Exists(fs::path(directory) / kIdentityFile));
  BOOST_OUTCOME_TRY(marked, Exists(fs::path(directory) / kErasedFile));
  return marked && !has_identity;
}

}  // namespace sycamorebend
