// Account of the memory that a gateway holds for its callers, and the decision
// who gives way when it is used up. No threads, no I/O.
#ifndef SYCAMOREBEND_SRC_GATEWAY_MEMORY_ACCOUNT_H_
#define SYCAMOREBEND_SRC_GATEWAY_MEMORY_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

enum class HeldKind {
  kIncomplete = 0,      // Bodies that have not been received completely.
  kUnparsed = 1,        // Heads without end and pipelined requests.
  kComplete = 2,        // Bodies of requests in work.
  kUnreadResponse = 3,  // Responses that callers have not read.
};
inline constexpr std::size_t kHeldKinds = 4;

// @return the name of `kind` in metrics.
std::string_view HeldKindName(HeldKind kind);

// Why a connection gives way.
enum class ShedReason {
  kStalled = 0,         // Its request makes no progress.
  kLargest = 1,         // It holds the most of all incomplete requests.
  kUnreadResponse = 2,  // Its caller does not read the response.
};
inline constexpr std::size_t kShedReasons = 3;

// @return the name of `reason` in metrics and logs.
std::string_view ShedReasonName(ShedReason reason);

// A connection asks before each read. Requests of less than kSmallBytes may use
// the whole ceiling. A larger one needs a reservation of its expected size, and
// all reservations together leave a quarter of the ceiling to small requests.
// What does not fit waits. Incomplete requests give way if others wait; a
// request that was received completely never does. Methods do nothing for a
// holder that was removed.
class MemoryAccount {
 public:
  using Holder = std::uint64_t;

  struct Shed {
    Holder holder;
    ShedReason reason;
  };
  struct Relief {
    // Connections that waited and may read now.
    std::vector<Holder> resumed;
    // Connections that have to be closed.
    std::vector<Shed> shed;
  };

  // Bytes that one read adds at most.
  static constexpr std::size_t kReadBytes = 64 << 10;
  static constexpr std::size_t kSmallBytes = 64 << 10;

  explicit MemoryAccount(std::size_t ceiling) : ceiling(ceiling) {}

  Holder Add(TimePoint now);
  void Remove(Holder holder);
  void SetHeld(Holder holder, HeldKind kind, std::size_t bytes);
  // @param bytes largest size that the request being received may reach.
  void SetExpected(Holder holder, std::size_t bytes);
  // Counts received bytes of an incomplete request.
  void OnReceived(Holder holder, std::size_t bytes, TimePoint now);
  // The request was received completely; its body has `bytes`.
  void OnComplete(Holder holder, std::size_t bytes);
  // The response to the request has ended.
  void OnEnd(Holder holder, TimePoint now);

  // @return true if the connection may read up to kReadBytes. Otherwise it
  // waits until a Relief names it.
  bool MayRead(Holder holder, TimePoint now);
  // Must be called regularly.
  Relief Relieve(TimePoint now);

  std::size_t Ceiling() const { return this->ceiling; }
  std::size_t Held(HeldKind kind) const {
    return this->held[static_cast<std::size_t>(kind)];
  }
  // @return the bytes that count: what is held, or reserved if that is more.
  std::size_t Charged() const { return this->charged; }
  std::size_t Waiting() const {
    return this->small_queue.size() + this->large_queue.size();
  }
  // @return how often a connection had to wait.
  std::uint64_t HeldBack() const { return this->held_back; }

 private:
  struct Entry {
    std::array<std::size_t, kHeldKinds> held{};
    std::size_t expected = 0;
    std::size_t reserved = 0;
    bool in_work = false;
    bool waiting = false;
    TimePoint waiting_since;
    // When the request last made progress, and what has been received since.
    TimePoint progress_at;
    std::size_t received = 0;

    std::size_t Incoming() const;
    std::size_t Charge() const;
  };

  Entry& At(Holder holder) { return this->entries.at(holder); }
  // @return nullptr for a holder that was removed.
  Entry* Find(Holder holder);
  template <typename Change>
  void Update(Holder holder, Change change);
  // Reserves the expected size of a large request.
  // @return false if it does not fit.
  bool Reserve(Holder holder);
  void Resume(std::deque<Holder>& queue, Relief& relief, TimePoint now);
  // @return the incomplete request that gives way first, or 0.
  Holder FindStalled(bool large, TimePoint now) const;
  Holder FindLargest(HeldKind kind) const;
  void ShedIncomplete(Relief& relief, TimePoint now);
  void ShedUnread(Relief& relief);
  void Drop(Holder holder, ShedReason reason, Relief& relief);

  const std::size_t ceiling;
  Holder next = 1;
  std::unordered_map<Holder, Entry> entries;
  std::array<std::size_t, kHeldKinds> held{};
  std::size_t charged = 0;
  // Waiting connections in order of arrival: those with small requests, and
  // those that need a reservation.
  std::deque<Holder> small_queue;
  std::deque<Holder> large_queue;
  std::uint64_t held_back = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_MEMORY_ACCOUNT_H_
