#include "control/lost_member_table.h"

#include <algorithm>
#include <utility>

namespace sycamorebend {
namespace internal {

namespace {

template <typename Member, typename Predicate>
void RemoveIf(std::deque<Member>& members, Predicate predicate) {
  members.erase(std::remove_if(members.begin(), members.end(), predicate),
                members.end());
}

template <typename Member>
void LimitSize(std::deque<Member>& members, std::size_t limit) {
  while (members.size() > limit) {
    members.pop_front();
  }
}

}  // namespace

void LostMemberTable::AddEntry(const EntryInfo& entry, std::int64_t now_ms) {
  if (entry.notice_address.empty()) {
    return;
  }
  this->RemoveEntry(entry);
  this->entries.push_back({entry.entry_id, entry.notice_address, now_ms});
  LimitSize(this->entries, this->limits.lost_entries);
}

void LostMemberTable::RemoveEntry(const EntryInfo& joined) {
  RemoveIf(this->entries, [&joined](const LostEntry& lost) {
    return lost.entry_id == joined.entry_id ||
           lost.notice_address == joined.notice_address;
  });
}

void LostMemberTable::AddReplica(const std::string& address,
                                 std::int64_t now_ms) {
  this->RemoveReplica(address);
  this->replicas.push_back({address, now_ms});
  LimitSize(this->replicas, this->limits.former_replicas);
}

void LostMemberTable::RemoveReplica(const std::string& address) {
  RemoveIf(this->replicas, [&address](const FormerReplica& former) {
    return former.address == address;
  });
}

void LostMemberTable::Expire(std::int64_t now_ms) {
  while (!this->entries.empty() &&
         this->IsExpired(this->entries.front().expired_ms, now_ms)) {
    this->entries.pop_front();
  }
  while (!this->replicas.empty() &&
         this->IsExpired(this->replicas.front().removed_ms, now_ms)) {
    this->replicas.pop_front();
  }
}

bool LostMemberTable::HasExpired(std::int64_t now_ms) const {
  return (!this->entries.empty() &&
          this->IsExpired(this->entries.front().expired_ms, now_ms)) ||
         (!this->replicas.empty() &&
          this->IsExpired(this->replicas.front().removed_ms, now_ms));
}

LostMembers LostMemberTable::All() const {
  return {{this->entries.begin(), this->entries.end()},
          {this->replicas.begin(), this->replicas.end()}};
}

Json::Value LostMemberTable::Save() const {
  Json::Value value;
  Json::Value& saved_entries = value["entries"] = Json::Value(Json::arrayValue);
  for (const LostEntry& lost : this->entries) {
    Json::Value item;
    item["entry_id"] = lost.entry_id;
    item["notice_address"] = lost.notice_address;
    item["expired_ms"] = Json::Int64(lost.expired_ms);
    saved_entries.append(std::move(item));
  }
  Json::Value& saved_replicas = value["replicas"] =
      Json::Value(Json::arrayValue);
  for (const FormerReplica& former : this->replicas) {
    Json::Value item;
    item["address"] = former.address;
    item["removed_ms"] = Json::Int64(former.removed_ms);
    saved_replicas.append(std::move(item));
  }
  return value;
}

void LostMemberTable::Load(const Json::Value& value) {
  // Null in a snapshot of an earlier release.
  for (const Json::Value& item : value["entries"]) {
    this->entries.push_back({item["entry_id"].asString(),
                             item["notice_address"].asString(),
                             item["expired_ms"].asInt64()});
  }
  for (const Json::Value& item : value["replicas"]) {
    this->replicas.push_back(
        {item["address"].asString(), item["removed_ms"].asInt64()});
  }
}

}  // namespace internal
}  // namespace sycamorebend
