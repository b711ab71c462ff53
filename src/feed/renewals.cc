#include "feed/renewals.h"

#include <algorithm>
#include <utility>

#include "control/field_reader.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// Maximum time that a poll waits for a newer state.
constexpr milliseconds kMaxPollWait{500};
// A follower that has not polled for this long no longer counts towards the
// limit.
constexpr Duration kFollowerIdleTimeout = seconds(2);

// Interval at which such followers are looked for.
constexpr Duration kFollowerExpiryInterval = milliseconds(100);
constexpr const char* kAddressFormat = "\"IP:port\" with an IPv4 address";
// Relays that one response names. A follower tries them before the other
// sources that it knows.
constexpr Json::ArrayIndex kMaxNamedRelays = 4;

Result<Renewal> ReadRenewal(const Json::Value& value, TimePoint now) {
  FieldReader reader(value);
  Renewal renewal;
  renewal.entry.entry_id = reader.Name("entry_id");
  renewal.entry.address = reader.Name("address");
  renewal.entry.failure_domain = reader.OptionalString("failure_domain");
  renewal.entry.incarnation = reader.Name("incarnation");
  renewal.entry.draining = reader.OptionalBool("draining");
  renewal.entry.feed_address = reader.OptionalString("feed_address");
  const std::uint64_t age_ms = reader.OptionalUnsigned("age_ms").value_or(0);
  if (reader.Finish() && !IsAddress(renewal.entry.address)) {
    reader.Reject("address", kAddressFormat);
  }
  renewal.entry.notice_address = reader.OptionalString("notice_address");
  if (reader.Finish() && !renewal.entry.feed_address.empty() &&
      !IsAddress(renewal.entry.feed_address)) {
    reader.Reject("feed_address", kAddressFormat);
  }
  if (reader.Finish() && !renewal.entry.notice_address.empty() &&
      !IsAddress(renewal.entry.notice_address)) {
    reader.Reject("notice_address", kAddressFormat);
  }
  constexpr std::uint64_t kMaxAgeMs = 3600ULL * 1000;
  renewal.sent = now - milliseconds(std::min(age_ms, kMaxAgeMs));
  BOOST_OUTCOME_TRY(reader.Finish());
  return renewal;
}

}  // namespace

Result<FeedPoll> ReadFeedPoll(const Json::Value& params, TimePoint now) {
  FieldReader reader(params);
  FeedPoll poll;
  poll.have_epoch = reader.OptionalString("have_epoch");
  poll.have_version = reader.OptionalUnsigned("have_version").value_or(0);
  const std::uint64_t wait_ms =
      reader.OptionalUnsigned("wait_ms").value_or(kMaxPollWait.count());
  poll.wait = std::min(
      milliseconds(std::min<std::uint64_t>(wait_ms, kMaxPollWait.count())),
      kMaxPollWait);
  poll.renewals_only = reader.OptionalBool("renewals_only");
  poll.entry_id = reader.OptionalString("entry_id");
  BOOST_OUTCOME_TRY(reader.Finish());
  if (!poll.entry_id.empty()) {
    BOOST_OUTCOME_TRY(own, ReadRenewal(params, now));
    poll.renewals.push_back(std::move(own));
  }
  const Json::Value& relayed = params["relayed_renewals"];
  if (!relayed.isNull() && !relayed.isArray()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "\"relayed_renewals\" must be a list of renewals");
  }
  for (const Json::Value& value : relayed) {
    BOOST_OUTCOME_TRY(renewal, ReadRenewal(value, now));
    poll.renewals.push_back(std::move(renewal));
  }
  return poll;
}

void AddReport(FeedReporter& reporter, Json::Value& params) {
  Json::Value report = reporter.NextReport();
  if (!report.isNull()) {
    params[kReportKey] = std::move(report);
  }
}

void PassReceipt(FeedReporter& reporter, const Json::Value& response) {
  if (response.isObject() && response.isMember(kReceiptKey)) {
    reporter.OnReceipt(response[kReceiptKey]);
  }
}

Json::Value RenewalToJson(const Renewal& renewal, TimePoint now) {
  Json::Value value;
  value["entry_id"] = renewal.entry.entry_id;
  value["address"] = renewal.entry.address;
  value["failure_domain"] = renewal.entry.failure_domain;
  value["incarnation"] = renewal.entry.incarnation;
  value["draining"] = renewal.entry.draining;
  if (!renewal.entry.feed_address.empty()) {
    value["feed_address"] = renewal.entry.feed_address;
  }
  if (!renewal.entry.notice_address.empty()) {
    value["notice_address"] = renewal.entry.notice_address;
  }
  // Rounded up, so that rounding never makes a renewal appear newer.
  value["age_ms"] = Json::Int64(ToMilliseconds(now - renewal.sent) + 1);
  return value;
}

void RenewalTable::Add(const Renewal& renewal) {
  const auto [known, added] =
      this->renewals.try_emplace(renewal.entry.entry_id, renewal);
  // A renewal of an earlier incarnation can arrive late through a relay.
  if (!added && renewal.sent >= known->second.sent) {
    known->second = renewal;
  }
}

void RenewalTable::DropBefore(TimePoint limit) {
  for (auto entry = this->renewals.begin(); entry != this->renewals.end();) {
    entry = entry->second.sent < limit ? this->renewals.erase(entry)
                                       : std::next(entry);
  }
}

Json::Value RenewalTable::ToJson(TimePoint now) const {
  Json::Value list(Json::arrayValue);
  for (const auto& [id, renewal] : this->renewals) {
    list.append(RenewalToJson(renewal, now));
  }
  return list;
}

bool FollowerTable::Admit(const FeedPoll& poll, TimePoint now) {
  if (poll.entry_id.empty()) {
    return true;
  }
  if (now >= this->next_expiry) {
    this->next_expiry = now + kFollowerExpiryInterval;
    for (auto entry = this->followers.begin();
         entry != this->followers.end();) {
      entry = now - entry->second.last_poll > kFollowerIdleTimeout
                  ? this->followers.erase(entry)
                  : std::next(entry);
    }
  }
  const auto known = this->followers.find(poll.entry_id);
  if (known == this->followers.end() && this->followers.size() >= this->limit) {
    return false;
  }
  this->followers[poll.entry_id] = {poll.renewals.front().entry.feed_address,
                                    now};
  return true;
}

void FollowerTable::Remove(const std::string& entry_id) {
  this->followers.erase(entry_id);
}

Json::Value FollowerTable::NameRelays() {
  Json::Value relays(Json::arrayValue);
  // Starts behind the last one named, so that followers are spread over all.
  auto next = this->followers.upper_bound(this->last_named);
  for (std::size_t i = 0;
       i < this->followers.size() && relays.size() < kMaxNamedRelays; ++i) {
    if (next == this->followers.end()) {
      next = this->followers.begin();
    }
    if (!next->second.feed_address.empty()) {
      relays.append(next->second.feed_address);
      this->last_named = next->first;
    }
    ++next;
  }
  return relays;
}

}  // namespace internal
}  // namespace sycamorebend
