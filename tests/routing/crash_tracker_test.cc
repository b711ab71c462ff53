// Finding the cause of crashes: repeated requests and shared parts of prompts.
#include <boost/test/unit_test.hpp>

#include "routing/crash_tracker.h"

namespace sycamorebend::internal {

namespace {

constexpr std::uint64_t kShared = 1;
constexpr std::uint64_t kBad = 66;

struct Fixture {
  // Records that requests were running on a server that crashed, and others
  // whose responses had begun.
  void Crash(std::initializer_list<RequestContent> candidates,
             std::initializer_list<RequestContent> begun = {}) {
    ++this->server;
    for (const RequestContent& content : candidates) {
      this->tracker.RecordCrash({this->server, content}, NewsSource::kOwn,
                                this->now);
    }
    for (const RequestContent& content : begun) {
      this->tracker.RecordCrash({this->server, content, true}, NewsSource::kOwn,
                                this->now);
    }
    this->now += seconds(1);
    this->found = this->tracker.Evaluate(this->now);
  }
  bool Refused(const RequestContent& content) const {
    return this->tracker.FindCause(content, this->now).has_value();
  }

  CrashTracker tracker{{milliseconds(150)}};
  TimePoint now{seconds(100)};
  std::uint32_t server = 0;
  std::vector<CrashCause> found;
};

}  // namespace

// Guards against prompt parts that crash servers in requests of which no two
// are alike.
BOOST_FIXTURE_TEST_CASE(PartOfDifferentRequestsIsFound, Fixture) {
  this->Crash({{100, {kShared, kBad}}});
  BOOST_TEST(this->found.empty());
  this->tracker.RecordServed({200, {kShared}}, this->now);
  this->Crash({{101, {kShared, kBad}}});
  BOOST_REQUIRE(this->found.size() == 1U);
  BOOST_TEST(this->found[0].parts == std::vector<std::uint64_t>{kBad},
             boost::test_tools::per_element());
  BOOST_TEST(this->Refused({102, {kShared, kBad}}));
  BOOST_TEST(!this->Refused({201, {kShared}}));
}

// Guards against blaming a part that all requests have for the crash of one.
BOOST_FIXTURE_TEST_CASE(RepeatedRequestDoesNotBlameItsParts, Fixture) {
  this->tracker.RecordServed({200, {kShared, 7}}, this->now);
  this->Crash({{100, {kShared, 7}}, {201, {kShared}}});
  this->Crash({{100, {kShared, 7}}});
  BOOST_REQUIRE(this->found.size() == 1U);
  BOOST_TEST(this->found[0].request == 100U);
  BOOST_TEST(this->Refused({100, {kShared, 7}}));
  BOOST_TEST(!this->Refused({202, {kShared, 7}}));
}

// Guards against blaming shared parts for servers of a rack that fail together.
BOOST_FIXTURE_TEST_CASE(ServersThatFailTogetherBlameNothing, Fixture) {
  for (std::uint32_t i = 0; i < 10; ++i) {
    this->tracker.RecordCrash({i, {100 + i, {kShared, 7}}}, NewsSource::kOwn,
                              this->now);
    this->now += milliseconds(10);
  }
  this->now += seconds(1);
  BOOST_TEST(this->tracker.Evaluate(this->now).empty());
  BOOST_TEST(!this->Refused({300, {kShared, 7}}));
}

// Guards against blaming a request that was taken along by another one twice.
BOOST_FIXTURE_TEST_CASE(CompanionOfABadPartIsNotBlamed, Fixture) {
  const RequestContent sound{200, {5}};
  this->Crash({{100, {kBad}}, sound});
  this->Crash({{101, {kBad}}, sound});
  BOOST_TEST(this->found.empty());
  this->Crash({{102, {kBad}}});
  BOOST_REQUIRE(this->found.size() == 1U);
  BOOST_TEST(this->found[0].parts == std::vector<std::uint64_t>{kBad},
             boost::test_tools::per_element());
  BOOST_TEST(!this->Refused(sound));
}

// Guards against refusing a sound request that was lost with two servers, each
// of which another request crashed.
BOOST_FIXTURE_TEST_CASE(CompanionOfTwoBadRequestsIsReleased, Fixture) {
  const RequestContent sound{200, {}};
  const RequestContent bad{100, {}};
  this->Crash({sound, bad});
  this->Crash({sound, {101, {}}});
  BOOST_TEST(this->Refused(sound));
  this->Crash({{102, {}}});
  BOOST_TEST(this->Refused(sound));
  // Explains the first crash.
  this->Crash({bad});
  BOOST_TEST(this->Refused(bad));
  BOOST_TEST(!this->Refused(sound));
}

// Guards against releasing a request that crashes servers because others were
// running there, which have run elsewhere since, or when it crashes a third
// one.
BOOST_FIXTURE_TEST_CASE(SuspectedRequestIsConvictedByNewEvidence, Fixture) {
  for (const bool cleared : {true, false}) {
    const RequestContent bad{cleared ? 100U : 300U, {}};
    const RequestContent sound{cleared ? 200U : 400U, {}};
    this->Crash({bad, sound});
    this->Crash({bad, {sound.request + 1, {}}});
    BOOST_REQUIRE(this->found.size() == 1U);
    BOOST_TEST(this->found[0].suspected);
    if (cleared) {
      this->tracker.RecordServed(sound, this->now);
      this->found = this->tracker.Evaluate(this->now);
    } else {
      this->Crash({bad, {sound.request + 2, {}}});
    }
    BOOST_REQUIRE(this->found.size() == 1U);
    BOOST_TEST(!this->found[0].suspected);
    BOOST_TEST(this->found[0].request == bad.request);
  }
}

// Guards against a request that crashes servers after it has begun to stream,
// beside streams that are cut by its crashes.
BOOST_FIXTURE_TEST_CASE(BegunRequestIsRefusedAfterThreeCrashes, Fixture) {
  const RequestContent bad{100, {kShared}};
  this->Crash({}, {bad, {201, {}}});
  this->Crash({}, {bad, {202, {}}});
  BOOST_TEST(!this->Refused(bad));
  this->Crash({}, {bad, {203, {}}});
  BOOST_TEST(this->Refused(bad));
  BOOST_TEST(!this->Refused({300, {kShared}}));
  for (const std::uint64_t sound : {201, 202, 203}) {
    BOOST_TEST(!this->Refused({sound, {}}));
  }
}

// Guards against refusing a stream that was cut by two servers of a rack and,
// right after it was resumed, by a third one.
BOOST_FIXTURE_TEST_CASE(BegunRequestAtOneMomentIsNotRefused, Fixture) {
  const RequestContent sound{100, {}};
  for (std::uint32_t i = 0; i < 3; ++i) {
    this->tracker.RecordCrash({i, sound, true}, NewsSource::kOwn, this->now);
    this->now += milliseconds(80);
  }
  this->now += seconds(1);
  this->tracker.Evaluate(this->now);
  BOOST_TEST(!this->Refused(sound));
}

// Guards against refusing a stream that ran to its end between the crashes that
// cut it.
BOOST_FIXTURE_TEST_CASE(EndOfAStreamClearsIt, Fixture) {
  const RequestContent sound{100, {kShared}};
  this->Crash({}, {sound});
  this->Crash({}, {sound});
  this->tracker.RecordServed(sound, this->now);
  this->now += seconds(60);
  this->Crash({}, {sound});
  BOOST_TEST(!this->Refused(sound));
}

// Guards against a stream that was cut by the same crashes as the cause, which
// hides a request that crashes servers before its response, or is blamed for
// it.
BOOST_FIXTURE_TEST_CASE(BegunCompanionDoesNotHideTheCause, Fixture) {
  const RequestContent bad{100, {}};
  const RequestContent sound{200, {}};
  this->Crash({bad}, {sound});
  this->Crash({bad}, {sound});
  BOOST_TEST(this->Refused(bad));
  BOOST_TEST(!this->Refused(sound));
  // The companion was the cause after all.
  this->Crash({}, {sound});
  BOOST_TEST(this->Refused(sound));
  BOOST_TEST(!this->Refused(bad));
}

// Guards against blaming a part that was present at each crash of a stream.
BOOST_FIXTURE_TEST_CASE(PartBesideABegunRequestIsNotBlamed, Fixture) {
  for (std::uint64_t i = 0; i < 3; ++i) {
    this->Crash({{200 + i, {kShared}}}, {{100, {}}});
  }
  BOOST_TEST(!this->Refused({300, {kShared}}));
  this->tracker.RecordServed({300, {kShared}}, this->now);
  this->found = this->tracker.Evaluate(this->now);
  this->Crash({}, {{100, {}}});
  BOOST_TEST(this->Refused({100, {}}));
}

// Guards against suspicions that gateways confirm to each other for good.
BOOST_FIXTURE_TEST_CASE(ReportedSuspicionEndsWithItsReports, Fixture) {
  CrashCause cause;
  cause.request = 100;
  cause.suspected = true;
  cause.quarantined_until = this->now + std::chrono::minutes(10);
  BOOST_TEST(this->tracker.AddCause(cause, this->now));
  this->Crash({{200, {}}});
  this->Crash({{201, {}}});
  BOOST_TEST(this->Refused({100, {}}));
  BOOST_REQUIRE(this->tracker.Causes(this->now).size() == 1U);
  BOOST_TEST(this->tracker.Causes(this->now)[0].reported);
  this->now += seconds(6);
  BOOST_TEST(!this->Refused({100, {}}));
}

// Guards against refusing sound requests with a part that has so far only been
// seen together with the cause.
BOOST_FIXTURE_TEST_CASE(PartsSeenTogetherAreRefusedTogether, Fixture) {
  this->Crash({{100, {7, kBad}}});
  this->Crash({{101, {7, kBad}}});
  BOOST_TEST(this->Refused({102, {7, kBad}}));
  BOOST_TEST(!this->Refused({200, {7}}));
  this->tracker.RecordServed({200, {7}}, this->now);
  BOOST_TEST(this->Refused({103, {8, kBad}}));
}

// Guards against a second bad part that hides behind the first.
BOOST_FIXTURE_TEST_CASE(TwoBadPartsAreBothFound, Fixture) {
  constexpr std::uint64_t kOther = 77;
  this->Crash({{100, {kBad}}, {200, {kOther}}});
  this->Crash({{101, {kBad}}});
  this->Crash({{201, {kOther}}});
  this->Crash({{102, {kBad}}});
  this->Crash({{202, {kOther}}});
  this->Crash({{203, {kOther}}});
  BOOST_TEST(this->Refused({300, {kBad}}));
  BOOST_TEST(this->Refused({300, {kOther}}));
}

// Guards against a cause that is forgotten, and against one that is kept for
// good after the servers were repaired.
BOOST_FIXTURE_TEST_CASE(QuarantineEndsAndIsDoubledByARelapse, Fixture) {
  this->Crash({{100, {kBad}}});
  this->Crash({{101, {kBad}}});
  const Duration first = this->found[0].quarantined_until - this->now;
  this->now += first + seconds(1);
  BOOST_TEST(!this->Refused({102, {kBad}}));
  this->Crash({{102, {kBad}}});
  BOOST_REQUIRE(this->found.size() == 1U);
  BOOST_TEST((this->found[0].quarantined_until - this->now == 2 * first));
  this->now += 2 * first + seconds(1);
  this->tracker.RecordServed({103, {kBad}}, this->now);
  this->now += seconds(60);
  this->Crash({{104, {kBad}}});
  BOOST_TEST(this->found.empty());
}

// Guards against findings of other daemons that were refuted here, and against
// hashes without an end of their quarantine.
BOOST_FIXTURE_TEST_CASE(RefutedFindingOfAnotherDaemonIsNotAdded, Fixture) {
  this->tracker.RecordServed({200, {kShared}}, this->now);
  CrashCause cause;
  cause.parts = {kShared};
  BOOST_TEST(!this->tracker.AddCause(cause, this->now));
  cause.quarantined_until = this->now + seconds(60);
  BOOST_TEST(!this->tracker.AddCause(cause, this->now));
  cause.parts = {kBad};
  BOOST_TEST(this->tracker.AddCause(cause, this->now));
  BOOST_TEST(!this->tracker.AddCause(cause, this->now));
  BOOST_TEST(this->Refused({300, {kShared, kBad}}));
}

// Guards against memory that grows with the number of requests and crashes.
BOOST_FIXTURE_TEST_CASE(CrashesAndCausesAreBounded, Fixture) {
  for (std::uint64_t i = 0; i < 2000; ++i) {
    this->Crash({{10000 + i, {20000 + i / 2}}});
  }
  BOOST_TEST(this->tracker.CrashCount() <= 257U);
  BOOST_TEST(this->tracker.Causes(this->now).size() <= 64U);
}

// Guards against memory that grows with the streams that are cut by crashes.
BOOST_FIXTURE_TEST_CASE(CandidatesAreBounded, Fixture) {
  for (std::uint32_t server = 0; server < 200; ++server) {
    for (std::uint64_t i = 0; i < 300; ++i) {
      this->tracker.RecordCrash({server, {1 + server * 1000 + i, {}}, true},
                                NewsSource::kPeer, this->now);
    }
    this->now += milliseconds(10);
  }
  this->tracker.Evaluate(this->now + seconds(1));
  BOOST_TEST(this->tracker.CandidateCount() <= 16640U);
  BOOST_TEST(this->tracker.Causes(this->now).empty());
}

}  // namespace sycamorebend::internal
