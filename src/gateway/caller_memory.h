// Applies the decisions of the memory account to the connections of callers.
#ifndef SYCAMOREBEND_SRC_GATEWAY_CALLER_MEMORY_H_
#define SYCAMOREBEND_SRC_GATEWAY_CALLER_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "gateway/memory_account.h"
#include "net/event_loop.h"
#include "sycamorebend/metrics.h"

namespace sycamorebend::gateway {

// A connection whose memory is counted.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  virtual void ResumeReading() = 0;
  // The account no longer counts the holder.
  virtual void GiveWay(ShedReason reason) = 0;
};

// @param memory_mb memory of the machine.
// @return the bytes that may be held for callers: half of what a gateway
// without callers leaves. The other half is for the copy of a body that is sent
// to a server, what is read from servers, and unused parts of buffers.
std::size_t MemoryCeiling(std::size_t memory_mb);

// Memory of the machine if the settings do not name it. 119 bodies of 4 MiB at
// the same time stay below its ceiling.
inline constexpr std::size_t kDefaultMemoryMb = 1024;

class CallerMemory {
 public:
  CallerMemory(net::EventLoop& loop, std::size_t ceiling);
  ~CallerMemory();
  CallerMemory(const CallerMemory&) = delete;
  CallerMemory& operator=(const CallerMemory&) = delete;

  MemoryAccount& Account() { return this->account; }
  MemoryAccount::Holder Add(MemoryHolder& holder);
  void Remove(MemoryAccount::Holder holder);
  // Counts received bytes of large requests.
  void CountTurn(std::size_t bytes);
  // @return true if those of this turn of the event loop use up the time that
  // they may take from other work.
  bool TurnUsedUp() const { return this->turn_bytes >= kTurnBytes; }
  void Publish(Metrics& metrics) const;

 private:
  // Received bytes of large requests that are parsed in one turn, which are 4
  // reads.
  static constexpr std::size_t kTurnBytes = 256 << 10;

  void Relieve();
  void LogShed();
  std::uint64_t Total(ShedReason reason) const {
    return this->shed[static_cast<std::size_t>(reason)];
  }

  net::EventLoop& loop;
  MemoryAccount account;
  TimerId timer;
  std::unordered_map<MemoryAccount::Holder, MemoryHolder*> holders;
  std::size_t turn_bytes = 0;
  std::array<std::uint64_t, kShedReasons> shed{};
  std::uint64_t shed_total = 0;
  std::uint64_t shed_logged = 0;
  TimePoint logged_at;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_CALLER_MEMORY_H_
