#include "duties/duty_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace sycamorebend {

DutyLease::DutyLease(Duty duty, DutyLeaseOptions options, std::string process)
    : duty(duty), options(std::move(options)), process(std::move(process)) {}

void DutyLease::Observe(const DutyObservation& observation) {
  const TimePoint now = observation.now;
  if (this->last_observation &&
      now - *this->last_observation > this->options.suspension) {
    this->resumed_at = now;
  }
  this->last_observation = now;
  if (!observation.is_leader) {
    this->leader_term = 0;
  } else if (this->leader_term != observation.term) {
    this->leader_term = observation.term;
    this->leader_since = now;
  }
  if (observation.is_leader && observation.grant &&
      observation.grant->session == this->Session(observation)) {
    this->own_token = observation.grant->token;
  }
}

std::string DutyLease::Session(const DutyObservation& observation) const {
  return fmt::format("{}-{}", this->process, observation.term);
}

bool DutyLease::MayFollow(const DutyGrantRecord& grant, TimePoint now) const {
  // The last holder acted as the leader, and so before this replica was
  // elected.
  if (now - this->leader_since >= this->options.lease) {
    return true;
  }
  return grant.released && grant.earlier_holders.count(this->options.self) == 0;
}

std::optional<DutyProposal> DutyLease::Advance(
    const DutyObservation& observation) {
  this->Observe(observation);
  if (!observation.is_leader) {
    return std::nullopt;
  }
  DutyProposal proposal;
  proposal.duty = this->duty;
  proposal.session = this->Session(observation);
  if (!observation.grant) {
    return proposal;
  }
  const DutyGrantRecord& grant = *observation.grant;
  proposal.previous_token = grant.token;
  if (grant.holder != this->options.self) {
    return this->MayFollow(grant, observation.now)
               ? std::make_optional(proposal)
               : std::nullopt;
  }
  const bool usable = grant.session == proposal.session && !grant.released &&
                      grant.token > this->renew_above;
  return usable ? std::nullopt : std::make_optional(proposal);
}

std::optional<DutyGrant> DutyLease::Current(
    const DutyObservation& observation) {
  this->Observe(observation);
  if (!observation.is_leader || !observation.grant ||
      observation.confirmation_age == Duration::max()) {
    return std::nullopt;
  }
  const DutyGrantRecord& grant = *observation.grant;
  const TimePoint confirmed = observation.now - observation.confirmation_age;
  const TimePoint valid_until = confirmed + this->options.leader_lease;
  const bool usable = grant.session == this->Session(observation) &&
                      !grant.released && grant.token > this->renew_above;
  if (!usable || observation.now >= valid_until ||
      confirmed < this->resumed_at) {
    return std::nullopt;
  }
  return DutyGrant{this->duty, grant.holder, grant.token, valid_until};
}

}  // namespace sycamorebend
