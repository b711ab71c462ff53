#include "http/incoming_bodies.h"

namespace sycamorebend::internal {

namespace {

constexpr Duration kStallTime = seconds(1);

}  // namespace

void IncomingBodies::Set(const void* id,
                         int fd,
                         std::size_t bytes,
                         TimePoint now) {
  std::lock_guard lock(this->mutex);
  Body& body = this->bodies[id];
  this->total += bytes - body.bytes;
  body = {fd, bytes, now};
  while (this->total > this->ceiling && this->bodies.size() > 1) {
    const auto victim = this->bodies.find(this->Victim(now));
    LogEvent(Severity::kWarning, Event::kCallersShed,
             {{"count", 1},
              {"reason", "bodies in progress take too much memory"},
              {"bytes", victim->second.bytes},
              {"held_bytes", this->total},
              {"ceiling_bytes", this->ceiling}});
    this->shut(victim->second.fd);
    this->total -= victim->second.bytes;
    this->bodies.erase(victim);
  }
}

void IncomingBodies::Remove(const void* id) {
  std::lock_guard lock(this->mutex);
  const auto found = this->bodies.find(id);
  if (found != this->bodies.end()) {
    this->total -= found->second.bytes;
    this->bodies.erase(found);
  }
}

std::size_t IncomingBodies::Bytes() const {
  std::lock_guard lock(this->mutex);
  return this->total;
}

const void* IncomingBodies::Victim(TimePoint now) const {
  const void* found = nullptr;
  TimePoint oldest = now - kStallTime;
  for (const auto& [id, body] : this->bodies) {
    if (body.progress_at <= oldest) {
      oldest = body.progress_at;
      found = id;
    }
  }
  if (found != nullptr) {
    return found;
  }
  std::size_t largest = 0;
  for (const auto& [id, body] : this->bodies) {
    if (body.bytes >= largest) {
      largest = body.bytes;
      found = id;
    }
  }
  return found;
}

}  // namespace sycamorebend::internal
