// Decides when this control replica takes a duty and when it may act on it.
// Without threads or I/O; the caller passes what it observes.
#ifndef SYCAMOREBEND_SRC_DUTIES_DUTY_LEASE_H_
#define SYCAMOREBEND_SRC_DUTIES_DUTY_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"
#include "sycamorebend/duties.h"

namespace sycamorebend {

struct DutyLeaseOptions {
  // Name of this VM.
  std::string self;
  // Holders must not alternate within this time.
  Duration lease = seconds(3);
  // A longer time without an observation is a suspension of the process.
  Duration suspension = milliseconds(300);
  // Time after a quorum's confirmation during which no other replica can be
  // the leader.
  Duration leader_lease = milliseconds(500);
};

// What a replica observes at one moment.
struct DutyObservation {
  TimePoint now;
  Term term = 0;
  bool is_leader = false;
  // Duration::max() if a quorum never confirmed the state.
  Duration confirmation_age = Duration::max();
  // The newest grant that this replica has applied.
  std::optional<DutyGrantRecord> grant;
};

// A command `duty.grant`.
struct DutyProposal {
  Duty duty = Duty::kUsage;
  std::string session;
  std::uint64_t previous_token = 0;
};

// The lease of one duty. Not thread-safe.
class DutyLease {
 public:
  // @param process identifies this process; unique.
  DutyLease(Duty duty, DutyLeaseOptions options, std::string process);

  // To be called periodically, more often than `suspension`.
  // @return the command to propose now, if there is one. A command that is no
  // longer due when it is applied is refused by the control state.
  std::optional<DutyProposal> Advance(const DutyObservation& observation);

  // @return the grant if this replica may act on it now.
  std::optional<DutyGrant> Current(const DutyObservation& observation);

  // Requests a higher token than the newest one of this replica. Current
  // returns nothing until it is granted.
  void Renew() { this->renew_above = this->own_token; }

 private:
  // Notes changes of the leadership and suspensions.
  void Observe(const DutyObservation& observation);
  // A grant is used in the term of office in which it was taken only: after
  // another leader, the state of this replica can lack a newer grant.
  std::string Session(const DutyObservation& observation) const;
  // @return true if the last holder, another VM, can no longer act and may be
  // followed by this one.
  bool MayFollow(const DutyGrantRecord& grant, TimePoint now) const;

  const Duty duty;
  const DutyLeaseOptions options;
  const std::string process;
  Term leader_term = 0;
  TimePoint leader_since;
  std::optional<TimePoint> last_observation;
  // A confirmation counts if it was requested after this time.
  TimePoint resumed_at;
  std::uint64_t own_token = 0;
  // Own tokens up to this one are not used any more.
  std::uint64_t renew_above = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_DUTIES_DUTY_LEASE_H_
