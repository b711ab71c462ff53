#include "simulated_disk.h"

#include <sys/stat.h>

#include <cerrno>
#include <fstream>
#include <utility>

namespace sycamorebend {

namespace {

namespace fs = std::filesystem;

bool IsDirectory(int file) {
  struct stat status = {};
  return ::fstat(file, &status) == 0 && S_ISDIR(status.st_mode);
}

}  // namespace

SimulatedDisk::SimulatedDisk(fs::path directory,
                             std::uint64_t seed,
                             bool sync_keeps_name)
    : directory(std::move(directory)),
      random(seed),
      sync_keeps_name(sync_keeps_name) {}

int SimulatedDisk::Create(const std::string& path) {
  const Outcome outcome = this->BeginCall(true);
  if (outcome == Outcome::kFull || outcome == Outcome::kKilledBefore) {
    errno = outcome == Outcome::kFull ? ENOSPC : EIO;
    return -1;
  }
  const std::string name = this->NameOf(path);
  const int file = FileCalls::Create(path);
  const auto found = this->names.find(name);
  if (found != this->names.end()) {
    found->second->unsynced.push_back({0, {}, 0});
  } else {
    this->SetName(name, std::make_shared<File>());
  }
  this->open_files[file] = name;
  // A descriptor that a killed process does not get is closed by its caller.
  return file;
}

int SimulatedDisk::Open(const std::string& path) {
  if (this->BeginCall(false) != Outcome::kDone) {
    errno = EIO;
    return -1;
  }
  const int file = FileCalls::Open(path);
  this->open_files[file] = this->NameOf(path);
  return file;
}

int SimulatedDisk::Remove(const std::string& path) {
  const Outcome outcome = this->BeginCall(false);
  if (outcome == Outcome::kKilledBefore) {
    return EIO;
  }
  const int error = FileCalls::Remove(path);
  if (error == 0) {
    this->SetName(this->NameOf(path), nullptr);
  }
  return outcome == Outcome::kDone ? error : EIO;
}

int SimulatedDisk::Rename(const std::string& from, const std::string& to) {
  const Outcome outcome = this->BeginCall(true);
  if (outcome == Outcome::kFull || outcome == Outcome::kKilledBefore) {
    return outcome == Outcome::kFull ? ENOSPC : EIO;
  }
  const int error = FileCalls::Rename(from, to);
  if (error == 0) {
    const FilePtr file = this->names.at(this->NameOf(from));
    this->SetName(this->NameOf(from), nullptr);
    this->SetName(this->NameOf(to), file);
  }
  return outcome == Outcome::kDone ? error : EIO;
}

int SimulatedDisk::Truncate(int file, std::uint64_t size) {
  const Outcome outcome = this->BeginCall(false);
  if (outcome == Outcome::kKilledBefore) {
    return EIO;
  }
  const int error = FileCalls::Truncate(file, size);
  this->names.at(this->open_files.at(file))->unsynced.push_back({0, {}, size});
  return outcome == Outcome::kDone ? error : EIO;
}

int SimulatedDisk::Write(int file, std::string_view data) {
  const Outcome outcome = this->BeginCall(true);
  if (outcome == Outcome::kKilledBefore) {
    return EIO;
  }
  if (outcome != Outcome::kDone) {
    data = data.substr(0, this->Draw(data.size() + 1));
  }
  const std::string& name = this->open_files.at(file);
  const auto offset =
      static_cast<std::uint64_t>(fs::file_size(this->directory / name));
  const int error = FileCalls::Write(file, data);
  this->names.at(name)->unsynced.push_back(
      {offset, std::string(data), std::nullopt});
  if (outcome != Outcome::kDone) {
    return outcome == Outcome::kFull ? ENOSPC : EIO;
  }
  return error;
}

int SimulatedDisk::Sync(int file) {
  const Outcome outcome = this->BeginCall(false);
  if (outcome == Outcome::kKilledBefore) {
    return EIO;
  }
  if (IsDirectory(file)) {
    this->unsynced_names.clear();
  } else {
    const std::string& name = this->open_files.at(file);
    File& synced = *this->names.at(name);
    synced.durable = this->SurvivingContent(synced, Unsynced::kKept);
    synced.unsynced.clear();
    if (this->sync_keeps_name) {
      this->SyncName(name);
    }
  }
  return outcome == Outcome::kDone ? 0 : EIO;
}

void SimulatedDisk::KillAfter(int calls) {
  this->calls_until_kill = calls;
}

void SimulatedDisk::Restart() {
  this->calls_until_kill.reset();
  this->killed = false;
  this->refusals = 0;
  this->open_files.clear();
}

void SimulatedDisk::Hold() {
  std::lock_guard lock(this->mutex);
  this->hold = true;
}

void SimulatedDisk::WaitUntilHeld() {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [this] { return this->held; });
}

void SimulatedDisk::Release() {
  std::lock_guard lock(this->mutex);
  this->hold = false;
  this->changed.notify_all();
}

void SimulatedDisk::LosePower(Unsynced unsynced) {
  for (const auto& [name, candidates] : this->unsynced_names) {
    const std::size_t kept = unsynced == Unsynced::kLost ? 0
                             : unsynced == Unsynced::kKept
                                 ? candidates.size() - 1
                                 : this->Draw(candidates.size());
    if (candidates[kept] == nullptr) {
      this->names.erase(name);
    } else {
      this->names[name] = candidates[kept];
    }
  }
  this->unsynced_names.clear();
  // Two names can be left of a file that was renamed.
  std::map<File*, std::string> contents;
  for (auto& [name, file] : this->names) {
    const auto [content, added] = contents.try_emplace(file.get());
    if (added) {
      content->second = this->SurvivingContent(*file, unsynced);
    }
    file = std::make_shared<File>(File{content->second, {}});
  }
  for (const auto& item : fs::directory_iterator(this->directory)) {
    fs::remove(item.path());
  }
  for (const auto& [name, file] : this->names) {
    std::ofstream(this->directory / name, std::ios::binary) << file->durable;
  }
}

SimulatedDisk::Outcome SimulatedDisk::BeginCall(bool needs_space) {
  {
    std::unique_lock lock(this->mutex);
    if (this->hold) {
      this->held = true;
      this->changed.notify_all();
      this->changed.wait(lock, [this] { return !this->hold; });
      this->held = false;
    }
  }
  if (this->killed) {
    return Outcome::kKilledBefore;
  }
  if (this->calls_until_kill && (*this->calls_until_kill)-- == 0) {
    this->killed = true;
    return this->Draw(2) == 0 ? Outcome::kKilledBefore : Outcome::kKilledAfter;
  }
  if (needs_space && this->refusals > 0) {
    --this->refusals;
    return Outcome::kFull;
  }
  return Outcome::kDone;
}

std::string SimulatedDisk::NameOf(const std::string& path) const {
  return fs::path(path).filename().string();
}

void SimulatedDisk::SetName(const std::string& name, const FilePtr& file) {
  const auto found = this->names.find(name);
  std::vector<FilePtr>& candidates = this->unsynced_names[name];
  if (candidates.empty()) {
    candidates.push_back(found == this->names.end() ? nullptr : found->second);
  }
  candidates.push_back(file);
  if (file == nullptr) {
    this->names.erase(name);
  } else {
    this->names[name] = file;
  }
}

void SimulatedDisk::SyncName(const std::string& name) {
  this->unsynced_names.erase(name);
}

std::string SimulatedDisk::SurvivingContent(const File& file,
                                            Unsynced unsynced) {
  std::string content = file.durable;
  if (unsynced == Unsynced::kLost) {
    return content;
  }
  constexpr std::uint64_t kOutcomes = 4;
  for (const Change& change : file.unsynced) {
    const std::uint64_t outcome =
        unsynced == Unsynced::kKept ? 0 : this->Draw(kOutcomes);
    if (outcome == 1) {  // Missing.
      continue;
    }
    if (change.new_size) {
      content.resize(*change.new_size);
      continue;
    }
    std::string data = change.data;
    if (outcome == 2) {  // Torn: the end is missing.
      data.resize(this->Draw(data.size() + 1));
    }
    const std::uint64_t end = change.offset + data.size();
    if (content.size() < end) {
      content.resize(end);
    }
    if (outcome == 3 && !data.empty()) {  // Torn: the start is missing.
      const std::uint64_t from = this->Draw(data.size());
      content.replace(change.offset + from, data.size() - from, data, from);
    } else {
      content.replace(change.offset, data.size(), data);
    }
  }
  return content;
}

}  // namespace sycamorebend
