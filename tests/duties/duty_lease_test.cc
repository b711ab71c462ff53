#include <boost/test/unit_test.hpp>

#include "duties/duty_lease.h"

namespace sycamorebend {

namespace {

constexpr Duration kTick = milliseconds(200);

struct LeaseFixture {
  LeaseFixture() {
    this->observation.now = TimePoint(seconds(1000));
    this->observation.term = 5;
    this->observation.is_leader = true;
    this->observation.confirmation_age = milliseconds(50);
  }

  static DutyLeaseOptions Options() {
    DutyLeaseOptions options;
    options.self = "a";
    return options;
  }

  void HeldBy(const std::string& holder, std::uint64_t token) {
    this->observation.grant = DutyGrantRecord();
    this->observation.grant->holder = holder;
    this->observation.grant->session = "elsewhere-4";
    this->observation.grant->token = token;
  }

  // Applies a proposal as the control state does.
  void Apply(const DutyProposal& proposal, std::uint64_t token) {
    this->HeldBy("a", token);
    this->observation.grant->session = proposal.session;
  }

  // Advances the time in ticks.
  // @return the first proposal.
  std::optional<DutyProposal> Pass(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTick) {
      const auto proposal = this->lease.Advance(this->observation);
      if (proposal) {
        return proposal;
      }
      this->observation.now += kTick;
    }
    return std::nullopt;
  }

  // Takes the duty without an earlier holder.
  void Take(std::uint64_t token) {
    const auto proposal = this->lease.Advance(this->observation);
    BOOST_REQUIRE(proposal.has_value());
    this->Apply(*proposal, token);
    BOOST_TEST(!this->lease.Advance(this->observation).has_value());
    BOOST_REQUIRE(this->lease.Current(this->observation).has_value());
  }

  DutyLease lease{Duty::kUsage, Options(), "process"};
  DutyObservation observation;
};

}  // namespace

// Guards against a replica that acts without being the leader.
BOOST_FIXTURE_TEST_CASE(FollowerTakesNothing, LeaseFixture) {
  this->observation.is_leader = false;
  BOOST_TEST(!this->Pass(seconds(10)).has_value());
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
}

// Guards against two VMs that alternate within the lease time.
BOOST_FIXTURE_TEST_CASE(WaitsOutAnotherHolder, LeaseFixture) {
  this->HeldBy("b", 7);
  BOOST_TEST(!this->Pass(seconds(3)).has_value());
  const auto proposal = this->Pass(seconds(1));
  BOOST_REQUIRE(proposal.has_value());
  BOOST_TEST(proposal->previous_token == 7U);
  // Leadership that was lost and gained again counts from its last start.
  ++this->observation.term;
  BOOST_TEST(!this->Pass(seconds(3)).has_value());
}

// Guards against a planned stop that leaves a duty without a holder, and
// against holders in the order a, b, a.
BOOST_FIXTURE_TEST_CASE(FollowsARelease, LeaseFixture) {
  this->HeldBy("b", 7);
  this->observation.grant->released = true;
  BOOST_TEST(this->lease.Advance(this->observation).has_value());
  this->observation.grant->earlier_holders["a"] = 1;
  BOOST_TEST(!this->Pass(seconds(3)).has_value());
  BOOST_TEST(this->Pass(seconds(1)).has_value());
}

// Guards against the use of a token of an earlier process or term of the same
// VM.
BOOST_FIXTURE_TEST_CASE(NewProcessTakesANewToken, LeaseFixture) {
  this->HeldBy("a", 7);
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
  this->Take(8);
  ++this->observation.term;
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
  this->Take(9);
}

// Guards against a frozen or isolated holder that acts when it continues.
BOOST_FIXTURE_TEST_CASE(ConfirmsAfterSuspension, LeaseFixture) {
  this->Take(1);
  BOOST_TEST((this->lease.Current(this->observation)->valid_until ==
              this->observation.now + milliseconds(450)));
  this->observation.confirmation_age = milliseconds(500);
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
  // Suspended for less than the leader's lease: the confirmation is from
  // before.
  this->observation.now += milliseconds(400);
  this->observation.confirmation_age = milliseconds(410);
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
  this->observation.now += milliseconds(100);
  this->observation.confirmation_age = milliseconds(50);
  BOOST_TEST(this->lease.Current(this->observation).has_value());
}

// Guards against a call with a token of an earlier call without a response.
BOOST_FIXTURE_TEST_CASE(RenewalWaitsForAHigherToken, LeaseFixture) {
  this->Take(1);
  this->lease.Renew();
  BOOST_TEST(!this->lease.Current(this->observation).has_value());
  this->Take(2);
  BOOST_TEST(this->lease.Current(this->observation)->fencing_token == 2U);
}

}  // namespace sycamorebend
