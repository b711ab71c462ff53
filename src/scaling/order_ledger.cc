#include "scaling/order_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <set>

#include <fmt/format.h>

namespace sycamorebend::internal {

namespace {

// Lateness of announcements in addition to the time of a start.
constexpr Duration kAnnouncementMargin = seconds(2);
constexpr Duration kMaxRepetitionInterval = seconds(60);
// Share of the ordered engines that may be missing before nothing more is
// expected of a group.
constexpr double kMissingShare = 0.2;

constexpr Duration kMinOrderInterval = seconds(1);
constexpr Duration kRetryInterval = seconds(2);
// None available lasts for 8 to 11 s, as observed.
constexpr Duration kMaxRefusedInterval = seconds(4);
constexpr Duration kMaxUnknownInterval = seconds(16);

// Engines that have served for this long are relied on.
constexpr Duration kSettleTime = seconds(5);

Duration Backoff(Duration first, int exponent, Duration longest) {
  constexpr int kMaxExponent = 10;
  return std::min(first * (1 << std::clamp(exponent, 0, kMaxExponent)),
                  longest);
}

}  // namespace

void OrderLedger::Update(const std::map<EngineGroup, EngineCounts>& engines,
                         Duration new_startup,
                         TimePoint new_now) {
  this->startup = new_startup;
  this->now = new_now;
  for (const auto& [group, counts] : engines) {
    this->groups[group];
  }
  for (auto& [group, orders] : this->groups) {
    const auto counts = engines.find(group);
    this->UpdateGroup(
        orders, counts == engines.end() ? EngineCounts{} : counts->second);
  }
}

void OrderLedger::UpdateGroup(Orders& orders, const EngineCounts& counts) {
  orders.counts = counts;
  orders.highest_announced =
      std::max(orders.highest_announced, counts.Staying());
  if (counts.Staying() == orders.Ordered()) {
    orders.different_since.reset();
    orders.same_since = orders.same_since.value_or(this->now);
    // Engines that crash shortly after their start do not end the back-off.
    if (this->now - *orders.same_since > this->startup + kAnnouncementMargin) {
      orders.repetitions = 0;
    }
  } else {
    orders.same_since.reset();
    orders.different_since = orders.different_since.value_or(this->now);
  }
  orders.serving.emplace_back(this->now, counts.serving);
  while (this->now - orders.serving.front().first > kSettleTime) {
    orders.serving.pop_front();
  }
}

const OrderLedger::Orders* OrderLedger::Find(const EngineGroup& group) const {
  const auto found = this->groups.find(group);
  return found == this->groups.end() ? nullptr : &found->second;
}

std::vector<std::string> OrderLedger::Domains() const {
  std::set<std::string> domains;
  for (const auto& [group, orders] : this->groups) {
    domains.insert(group.first);
  }
  return {domains.begin(), domains.end()};
}

int OrderLedger::Ordered(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  return orders == nullptr ? 0 : orders->Ordered();
}

int OrderLedger::Announced(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  return orders == nullptr ? 0 : orders->counts.Staying();
}

int OrderLedger::Settled(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  if (orders == nullptr || orders->serving.empty() ||
      this->now - orders->serving.front().first <
          kSettleTime - kMinOrderInterval) {
    return 0;
  }
  int lowest = orders->serving.front().second;
  for (const auto& [time, count] : orders->serving) {
    lowest = std::min(lowest, count);
  }
  return lowest;
}

bool OrderLedger::IsLeaving(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  return orders != nullptr && orders->counts.leaving > 0;
}

bool OrderLedger::IsRefused(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  return orders != nullptr && orders->refused;
}

bool OrderLedger::IsOverdue(const EngineGroup& group) const {
  const Orders* const orders = this->Find(group);
  if (orders == nullptr || !orders->different_since) {
    return false;
  }
  const int missing = orders->Ordered() - orders->counts.Staying();
  const TimePoint since =
      std::max(*orders->different_since, orders->ordered_at);
  return missing > std::max(1.0, kMissingShare * orders->Ordered()) &&
         this->now - since > this->startup + kAnnouncementMargin;
}

int OrderLedger::Expected(const EngineGroup& group, int target) const {
  const int announced = this->Announced(group);
  return this->IsRefused(group) || this->IsOverdue(group)
             ? announced
             : std::max(announced, target);
}

bool OrderLedger::IsRepetitionDue(const EngineGroup& group,
                                  const Orders& orders) const {
  if (!orders.different_since) {
    return false;
  }
  // Reclaimed engines are ordered again before they have left.
  if (group.second == EngineKind::kReclaimable && orders.counts.leaving > 0 &&
      orders.counts.Staying() < orders.Ordered() && orders.repetitions == 0) {
    return true;
  }
  if (orders.failures > 0) {
    return true;
  }
  const TimePoint since = std::max(*orders.different_since, orders.ordered_at);
  return this->now - since > Backoff(this->startup + kAnnouncementMargin,
                                     orders.repetitions,
                                     kMaxRepetitionInterval);
}

std::optional<std::string> OrderLedger::Due(const EngineGroup& group,
                                            int target,
                                            const std::string& reason,
                                            bool may_reduce) {
  Orders& orders = this->groups[group];
  if (orders.in_flight || this->now < orders.not_before ||
      (target < orders.counts.Staying() && !may_reduce)) {
    return std::nullopt;
  }
  const int ordered = orders.Ordered();
  std::string stated = reason;
  if (target == ordered) {
    if (!this->IsRepetitionDue(group, orders)) {
      if (!orders.different_since) {
        // What was refused is no longer wanted.
        orders.refused = false;
        orders.failures = 0;
      }
      return std::nullopt;
    }
    stated =
        fmt::format("repeated: {} announced, {} ordered, {} leaving",
                    orders.counts.Staying(), ordered, orders.counts.leaving);
  }
  orders.in_flight = true;
  orders.reason = stated;
  orders.not_before = this->now + kMinOrderInterval;
  return stated;
}

void OrderLedger::OnOutcome(const EngineGroup& group,
                            int count,
                            OrderOutcome outcome,
                            TimePoint at) {
  Orders& orders = this->groups[group];
  orders.in_flight = false;
  if (outcome == OrderOutcome::kNotSent) {
    orders.not_before = at + kMinOrderInterval;
    return;
  }
  orders.repetitions = count == orders.Ordered() ? orders.repetitions + 1 : 0;
  if (outcome == OrderOutcome::kAccepted) {
    orders.accepted = count;
    orders.ordered_at = at;
    orders.failures = 0;
    orders.refused = false;
    return;
  }
  orders.refused = outcome == OrderOutcome::kRejected;
  orders.not_before =
      at + Backoff(kRetryInterval, orders.failures,
                   orders.refused ? kMaxRefusedInterval : kMaxUnknownInterval);
  ++orders.failures;
}

std::map<EngineGroup, ScalingStatus::Group> OrderLedger::Status() const {
  std::map<EngineGroup, ScalingStatus::Group> status;
  for (const auto& [group, orders] : this->groups) {
    status[group] = {orders.counts.Staying(), orders.Ordered(), orders.refused,
                     orders.reason};
  }
  return status;
}

}  // namespace sycamorebend::internal
