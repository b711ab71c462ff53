#include "consensus/types.h"

#include <algorithm>

namespace sycamorebend::internal {

const Member* ReplicaSet::Find(ReplicaId id) const {
  const auto found =
      std::find_if(this->members.begin(), this->members.end(),
                   [id](const Member& member) { return member.id == id; });
  return found == this->members.end() ? nullptr : &*found;
}

Member* ReplicaSet::Find(ReplicaId id) {
  return const_cast<Member*>(std::as_const(*this).Find(id));
}

bool ReplicaSet::IsVoter(ReplicaId id) const {
  const Member* member = this->Find(id);
  return member != nullptr && member->voter;
}

std::size_t ReplicaSet::VoterCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->members.begin(), this->members.end(),
                    [](const Member& member) { return member.voter; }));
}

}  // namespace sycamorebend::internal
