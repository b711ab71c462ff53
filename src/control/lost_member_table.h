// Entry daemons and control replicas that left without having been told, and
// that may therefore know only addresses that are gone. See
// docs/design/finding-replicas.md.
#ifndef SYCAMOREBEND_SRC_CONTROL_LOST_MEMBER_TABLE_H_
#define SYCAMOREBEND_SRC_CONTROL_LOST_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include <json/value.h>

#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class LostMemberTable {
 public:
  explicit LostMemberTable(const ControlLimits& limits) : limits(limits) {}

  // Adds an entry daemon that has expired, unless it receives no notices.
  void AddEntry(const EntryInfo& entry, std::int64_t now_ms);
  // Removes what `joined` replaces: the same entry daemon, or an earlier one at
  // its address.
  void RemoveEntry(const EntryInfo& joined);

  void AddReplica(const std::string& address, std::int64_t now_ms);
  void RemoveReplica(const std::string& address);

  // Drops members that were lost too long ago.
  void Expire(std::int64_t now_ms);
  bool HasExpired(std::int64_t now_ms) const;

  LostMembers All() const;
  std::size_t Entries() const { return this->entries.size(); }
  std::size_t Replicas() const { return this->replicas.size(); }

  Json::Value Save() const;
  void Load(const Json::Value& value);

 private:
  bool IsExpired(std::int64_t lost_ms, std::int64_t now_ms) const {
    return now_ms - lost_ms >= this->limits.lost_retention_ms;
  }

  const ControlLimits& limits;
  // In the order of the commands, oldest first.
  std::deque<LostEntry> entries;
  std::deque<FormerReplica> replicas;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_LOST_MEMBER_TABLE_H_
