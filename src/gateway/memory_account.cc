#include "gateway/memory_account.h"

#include <algorithm>

namespace sycamorebend::gateway {

namespace {

constexpr std::array<std::string_view, kHeldKinds> kHeldNames = {
    "incomplete", "unparsed", "complete", "unread_response"};
constexpr std::array<std::string_view, kShedReasons> kReasonNames = {
    "stalled", "largest", "unread_response"};

// A request without progress for this long gives way to others. Callers within
// the limits send their bodies without a pause.
constexpr Duration kStallTime = seconds(1);
// Bytes that count as progress of a large request. It has 15 s for 4 MiB, which
// is 280 KB/s.
constexpr std::size_t kProgressBytes = 16 << 10;
// Small requests wait this long before the largest of others is refused: a
// twentieth of the idle timeout, below the usual targets of requests.
constexpr Duration kSmallWait = milliseconds(250);
// Fraction of the ceiling that reservations leave to small requests.
constexpr std::size_t kSmallShare = 4;

}  // namespace

std::string_view HeldKindName(HeldKind kind) {
  return kHeldNames[static_cast<std::size_t>(kind)];
}

std::string_view ShedReasonName(ShedReason reason) {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::size_t MemoryAccount::Entry::Incoming() const {
  return this->held[static_cast<std::size_t>(HeldKind::kIncomplete)] +
         this->held[static_cast<std::size_t>(HeldKind::kUnparsed)];
}

std::size_t MemoryAccount::Entry::Charge() const {
  return std::max(this->reserved, this->Incoming()) +
         this->held[static_cast<std::size_t>(HeldKind::kComplete)] +
         this->held[static_cast<std::size_t>(HeldKind::kUnreadResponse)];
}

template <typename Change>
void MemoryAccount::Update(Holder holder, Change change) {
  Entry* const entry = this->Find(holder);
  if (entry == nullptr) {
    return;
  }
  this->charged -= entry->Charge();
  change(*entry);
  this->charged += entry->Charge();
}

MemoryAccount::Entry* MemoryAccount::Find(Holder holder) {
  const auto found = this->entries.find(holder);
  return found == this->entries.end() ? nullptr : &found->second;
}

MemoryAccount::Holder MemoryAccount::Add(TimePoint now) {
  const Holder holder = this->next++;
  this->entries[holder].progress_at = now;
  return holder;
}

void MemoryAccount::Remove(Holder holder) {
  const auto found = this->entries.find(holder);
  if (found == this->entries.end()) {
    return;
  }
  this->charged -= found->second.Charge();
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    this->held[i] -= found->second.held[i];
  }
  if (found->second.waiting) {
    for (auto* const queue : {&this->small_queue, &this->large_queue}) {
      queue->erase(std::remove(queue->begin(), queue->end(), holder),
                   queue->end());
    }
  }
  this->entries.erase(found);
}

void MemoryAccount::SetHeld(Holder holder, HeldKind kind, std::size_t bytes) {
  const auto index = static_cast<std::size_t>(kind);
  this->Update(holder, [&](Entry& entry) {
    this->held[index] += bytes - entry.held[index];
    entry.held[index] = bytes;
  });
}

void MemoryAccount::SetExpected(Holder holder, std::size_t bytes) {
  this->Update(holder, [bytes](Entry& entry) { entry.expected = bytes; });
}

void MemoryAccount::OnReceived(Holder holder,
                               std::size_t bytes,
                               TimePoint now) {
  this->Update(holder, [bytes, now](Entry& entry) {
    entry.received += bytes;
    if (entry.Incoming() < kSmallBytes || entry.received >= kProgressBytes) {
      entry.progress_at = now;
      entry.received = 0;
    }
  });
}

void MemoryAccount::OnComplete(Holder holder, std::size_t bytes) {
  this->SetHeld(holder, HeldKind::kIncomplete, 0);
  this->SetHeld(holder, HeldKind::kComplete, bytes);
  this->Update(holder, [](Entry& entry) {
    entry.reserved = 0;
    entry.expected = 0;
    entry.in_work = true;
  });
}

void MemoryAccount::OnEnd(Holder holder, TimePoint now) {
  this->SetHeld(holder, HeldKind::kComplete, 0);
  this->Update(holder, [now](Entry& entry) {
    entry.in_work = false;
    entry.progress_at = now;
  });
}

bool MemoryAccount::Reserve(Holder holder) {
  const Entry& entry = this->At(holder);
  const std::size_t others = this->charged - entry.Charge();
  const std::size_t size = std::max(entry.expected, entry.Incoming());
  // A single large request fits, whatever its size.
  if (others > this->ceiling / kSmallShare &&
      others + size > this->ceiling - this->ceiling / kSmallShare) {
    return false;
  }
  this->Update(holder, [&](Entry& changed) { changed.reserved = size; });
  return true;
}

bool MemoryAccount::MayRead(Holder holder, TimePoint now) {
  Entry* const entry = this->Find(holder);
  if (entry == nullptr || entry->waiting) {
    return false;
  }
  if (entry->reserved > 0) {
    return true;
  }
  const bool large = entry->Incoming() >= kSmallBytes;
  const bool fits = large ? this->large_queue.empty() && this->Reserve(holder)
                          : this->charged + kReadBytes <= this->ceiling;
  if (!fits) {
    ++this->held_back;
    entry->waiting = true;
    entry->waiting_since = now;
    (large ? this->large_queue : this->small_queue).push_back(holder);
  }
  return fits;
}

void MemoryAccount::Resume(std::deque<Holder>& queue,
                           Relief& relief,
                           TimePoint now) {
  const bool large = &queue == &this->large_queue;
  std::size_t granted = 0;
  while (!queue.empty()) {
    const Holder holder = queue.front();
    const bool fits =
        large ? this->Reserve(holder)
              : this->charged + granted + kReadBytes <= this->ceiling;
    if (!fits) {
      return;
    }
    granted += kReadBytes;
    queue.pop_front();
    Entry& entry = this->At(holder);
    entry.waiting = false;
    entry.progress_at = now;
    relief.resumed.push_back(holder);
  }
}

MemoryAccount::Holder MemoryAccount::FindStalled(bool large,
                                                 TimePoint now) const {
  Holder found = 0;
  TimePoint oldest = now - kStallTime;
  for (const auto& [holder, entry] : this->entries) {
    const bool candidate = !entry.in_work && !entry.waiting &&
                           entry.Incoming() > 0 &&
                           (!large || entry.reserved > 0);
    if (candidate && entry.progress_at <= oldest) {
      oldest = entry.progress_at;
      found = holder;
    }
  }
  return found;
}

MemoryAccount::Holder MemoryAccount::FindLargest(HeldKind kind) const {
  const bool incomplete = kind == HeldKind::kIncomplete;
  Holder found = 0;
  std::size_t largest = 0;
  for (const auto& [holder, entry] : this->entries) {
    const std::size_t size =
        !incomplete     ? entry.held[static_cast<std::size_t>(kind)]
        : entry.in_work ? 0
                        : std::max(entry.reserved, entry.Incoming());
    if (size > largest) {
      largest = size;
      found = holder;
    }
  }
  return found;
}

void MemoryAccount::Drop(Holder holder, ShedReason reason, Relief& relief) {
  relief.shed.push_back({holder, reason});
  this->Remove(holder);
}

void MemoryAccount::ShedIncomplete(Relief& relief, TimePoint now) {
  while (this->Waiting() > 0) {
    const bool small = !this->small_queue.empty();
    if (const Holder stalled = this->FindStalled(!small, now); stalled != 0) {
      this->Drop(stalled, ShedReason::kStalled, relief);
    } else if (small &&
               now - this->At(this->small_queue.front()).waiting_since >=
                   kSmallWait) {
      const Holder largest = this->FindLargest(HeldKind::kIncomplete);
      const Holder unread = this->FindLargest(HeldKind::kUnreadResponse);
      if (largest == 0 && unread == 0) {
        return;
      }
      this->Drop(
          largest != 0 ? largest : unread,
          largest != 0 ? ShedReason::kLargest : ShedReason::kUnreadResponse,
          relief);
    } else {
      return;
    }
    this->Resume(this->small_queue, relief, now);
    this->Resume(this->large_queue, relief, now);
  }
}

void MemoryAccount::ShedUnread(Relief& relief) {
  while (this->charged > this->ceiling &&
         this->FindLargest(HeldKind::kIncomplete) == 0) {
    const Holder largest = this->FindLargest(HeldKind::kUnreadResponse);
    if (largest == 0) {
      return;
    }
    this->Drop(largest, ShedReason::kUnreadResponse, relief);
  }
}

MemoryAccount::Relief MemoryAccount::Relieve(TimePoint now) {
  Relief relief;
  this->Resume(this->small_queue, relief, now);
  this->Resume(this->large_queue, relief, now);
  this->ShedIncomplete(relief, now);
  this->ShedUnread(relief);
  return relief;
}

}  // namespace sycamorebend::gateway
