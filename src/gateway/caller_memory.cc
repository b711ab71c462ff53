#include "gateway/caller_memory.h"

#include <algorithm>
#include <string>

namespace sycamorebend::gateway {

namespace {

constexpr std::size_t kBytesPerMb = 1 << 20;
// Memory of a gateway without callers (15 MB measured) and its connections.
constexpr std::size_t kBaseMb = 24;
// The smallest ceiling: two bodies of 4 MiB.
constexpr std::size_t kMinCeilingMb = 8;
constexpr Duration kRelieveInterval = milliseconds(50);
constexpr Duration kLogInterval = seconds(1);

}  // namespace

std::size_t MemoryCeiling(std::size_t memory_mb) {
  const std::size_t left = memory_mb > kBaseMb ? memory_mb - kBaseMb : 0;
  return std::max(kMinCeilingMb, left / 2) * kBytesPerMb;
}

CallerMemory::CallerMemory(net::EventLoop& loop, std::size_t ceiling)
    : loop(loop),
      account(ceiling),
      timer(loop.SubscribePeriodic(kRelieveInterval,
                                   [this] { this->Relieve(); })) {}

CallerMemory::~CallerMemory() {
  this->loop.Cancel(this->timer);
}

MemoryAccount::Holder CallerMemory::Add(MemoryHolder& holder) {
  const MemoryAccount::Holder id = this->account.Add(this->loop.Now());
  this->holders[id] = &holder;
  return id;
}

void CallerMemory::Remove(MemoryAccount::Holder holder) {
  this->account.Remove(holder);
  this->holders.erase(holder);
}

void CallerMemory::CountTurn(std::size_t bytes) {
  if (this->turn_bytes == 0) {
    // Runs in the next turn.
    this->loop.Post([this] { this->turn_bytes = 0; });
  }
  this->turn_bytes += bytes;
}

void CallerMemory::Relieve() {
  const MemoryAccount::Relief relief = this->account.Relieve(this->loop.Now());
  for (const MemoryAccount::Shed& shed_one : relief.shed) {
    ++this->shed[static_cast<std::size_t>(shed_one.reason)];
    ++this->shed_total;
    const auto found = this->holders.find(shed_one.holder);
    if (found != this->holders.end()) {
      MemoryHolder* const holder = found->second;
      this->holders.erase(found);
      holder->GiveWay(shed_one.reason);
    }
  }
  for (const MemoryAccount::Holder resumed : relief.resumed) {
    // It may have ended because of another one.
    const auto found = this->holders.find(resumed);
    if (found != this->holders.end()) {
      found->second->ResumeReading();
    }
  }
  this->LogShed();
}

void CallerMemory::LogShed() {
  const TimePoint now = this->loop.Now();
  if (this->shed_total == this->shed_logged ||
      now - this->logged_at < kLogInterval) {
    return;
  }
  LogEvent(Severity::kWarning, Event::kCallersShed,
           {{"count", this->shed_total - this->shed_logged},
            {"stalled_total", this->Total(ShedReason::kStalled)},
            {"largest_total", this->Total(ShedReason::kLargest)},
            {"unread_response_total", this->Total(ShedReason::kUnreadResponse)},
            {"charged_bytes", this->account.Charged()},
            {"ceiling_bytes", this->account.Ceiling()},
            {"waiting", this->account.Waiting()}});
  this->shed_logged = this->shed_total;
  this->logged_at = now;
}

void CallerMemory::Publish(Metrics& metrics) const {
  for (std::size_t i = 0; i < kHeldKinds; ++i) {
    const auto kind = static_cast<HeldKind>(i);
    metrics.SetGauge("sycamorebend_gateway_caller_bytes",
                     "Bytes that are held for callers.",
                     {{"kind", std::string(HeldKindName(kind))}},
                     static_cast<double>(this->account.Held(kind)));
  }
  metrics.SetGauge("sycamorebend_gateway_caller_bytes_charged",
                   "Bytes held or reserved for callers.", {},
                   static_cast<double>(this->account.Charged()));
  metrics.SetGauge("sycamorebend_gateway_caller_bytes_ceiling",
                   "Upper bound of the bytes held or reserved.", {},
                   static_cast<double>(this->account.Ceiling()));
  metrics.SetGauge("sycamorebend_gateway_connections_waiting",
                   "Connections that are not read for lack of memory.", {},
                   static_cast<double>(this->account.Waiting()));
  metrics.SetTotal("sycamorebend_gateway_connections_held_back_total",
                   "How often a connection was not read for lack of memory.",
                   {}, static_cast<double>(this->account.HeldBack()));
  for (std::size_t i = 0; i < kShedReasons; ++i) {
    const auto reason = static_cast<ShedReason>(i);
    metrics.SetTotal("sycamorebend_gateway_connections_shed_total",
                     "Connections closed for lack of memory.",
                     {{"reason", std::string(ShedReasonName(reason))}},
                     static_cast<double>(this->shed[i]));
  }
}

}  // namespace sycamorebend::gateway
