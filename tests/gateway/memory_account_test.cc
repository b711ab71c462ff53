#include "gateway/memory_account.h"

#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "gateway/body_buffer.h"

namespace sycamorebend::gateway {

namespace {

constexpr std::size_t kMb = 1 << 20;
constexpr std::size_t kCeiling = 16 * kMb;
constexpr std::size_t kLargeBody = 4 * kMb;
// As many reservations of kLargeBody as leave a quarter of the ceiling.
constexpr int kReservations = 3;

struct Fixture {
  // Adds a connection that has received the begin of a large request.
  MemoryAccount::Holder AddLarge() {
    const auto holder = this->account.Add(this->now);
    this->account.SetExpected(holder, kLargeBody);
    this->account.SetHeld(holder, HeldKind::kIncomplete,
                          MemoryAccount::kSmallBytes);
    return holder;
  }
  bool MayRead(MemoryAccount::Holder holder) {
    return this->account.MayRead(holder, this->now);
  }
  // @return large requests that are read and leave no room for another.
  std::vector<MemoryAccount::Holder> FillReservations() {
    std::vector<MemoryAccount::Holder> read;
    for (int i = 0; i < kReservations; ++i) {
      read.push_back(this->AddLarge());
      BOOST_TEST(this->MayRead(read.back()));
    }
    return read;
  }
  MemoryAccount::Relief After(Duration time) {
    this->now += time;
    return this->account.Relieve(this->now);
  }
  // Fills the account with requests that were received completely.
  MemoryAccount::Holder Complete(std::size_t bytes) {
    const auto holder = this->account.Add(this->now);
    this->account.OnComplete(holder, bytes);
    return holder;
  }

  TimePoint now = TimePoint() + seconds(100);
  MemoryAccount account{kCeiling};
};

bool Has(const std::vector<MemoryAccount::Holder>& holders,
         MemoryAccount::Holder holder) {
  return std::count(holders.begin(), holders.end(), holder) > 0;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(memory_account, Fixture)

// Load: ordinary requests below the ceiling. Guards against a limit that they
// meet.
BOOST_AUTO_TEST_CASE(OrdinaryRequestsNeverWait) {
  for (int i = 0; i < 200; ++i) {
    const auto holder = this->account.Add(this->now);
    BOOST_TEST(this->MayRead(holder));
    this->account.OnComplete(holder, 40 << 10);
  }
  BOOST_TEST(this->account.HeldBack() == 0U);
}

// Load: one request larger than the ceiling, nothing else. Guards against one
// that waits for itself.
BOOST_AUTO_TEST_CASE(SingleLargeRequestIsRead) {
  const auto holder = this->AddLarge();
  this->account.SetExpected(holder, 2 * kCeiling);
  BOOST_TEST(this->MayRead(holder));
}

// Load: more large bodies than fit, one ends. Guards against refusing before
// waiting, and against bodies that stay paused.
BOOST_AUTO_TEST_CASE(LargeBodiesWaitForEachOther) {
  const auto read = this->FillReservations();
  const auto waiting = this->AddLarge();
  BOOST_TEST(!this->MayRead(waiting));
  const auto none = this->After(milliseconds(900));
  BOOST_TEST(none.shed.empty());
  BOOST_TEST(none.resumed.empty());
  this->account.Remove(read.front());
  BOOST_TEST(Has(this->After(milliseconds(0)).resumed, waiting));
  BOOST_TEST(this->MayRead(waiting));
}

// Load: stalled large bodies beside ordinary requests. Guards against ordinary
// requests that wait for them.
BOOST_AUTO_TEST_CASE(SmallRequestsAreReadBesideStalledBodies) {
  for (int i = 0; i < 300; ++i) {
    this->MayRead(this->AddLarge());
    if (this->account.Charged() > kCeiling / 2) {
      break;
    }
  }
  BOOST_TEST(this->MayRead(this->account.Add(this->now)));
}

// Load: stalled and moving bodies, one more waits. Guards against a refusal of
// one that makes progress.
BOOST_AUTO_TEST_CASE(StalledBodyGivesWayFirst) {
  const auto read = this->FillReservations();
  const auto waiting = this->AddLarge();
  BOOST_TEST(!this->MayRead(waiting));
  this->now += milliseconds(800);
  this->account.OnReceived(read[0], 64 << 10, this->now);
  this->account.OnReceived(read[1], 1, this->now);
  this->account.OnReceived(read[2], 64 << 10, this->now);
  const auto relief = this->After(milliseconds(300));
  BOOST_REQUIRE(relief.shed.size() == 1U);
  // Single bytes are no progress of a large body.
  BOOST_TEST(relief.shed[0].holder == read[1]);
  BOOST_TEST((relief.shed[0].reason == ShedReason::kStalled));
  BOOST_TEST(Has(relief.resumed, waiting));
}

// Load: stalled bodies, nothing waits. Guards against refusals without need.
BOOST_AUTO_TEST_CASE(NothingGivesWayWithoutNeed) {
  this->MayRead(this->AddLarge());
  BOOST_TEST(this->After(seconds(10)).shed.empty());
}

// Load: bodies that all make progress use up the ceiling, an ordinary request
// waits. Guards against refusing small ones instead of the largest.
BOOST_AUTO_TEST_CASE(LargestGivesWayToSmallRequests) {
  this->Complete(kCeiling - 5 * kMb);
  const auto small = this->AddLarge();
  this->account.SetHeld(small, HeldKind::kIncomplete, kMb);
  const auto large = this->AddLarge();
  this->account.SetHeld(large, HeldKind::kIncomplete, kLargeBody);
  const auto waiting = this->account.Add(this->now);
  BOOST_TEST(!this->MayRead(waiting));
  BOOST_TEST(this->After(milliseconds(200)).shed.empty());
  const auto relief = this->After(milliseconds(100));
  BOOST_REQUIRE(relief.shed.size() == 1U);
  BOOST_TEST(relief.shed[0].holder == large);
  BOOST_TEST(Has(relief.resumed, waiting));
}

// Load: requests in work use up the ceiling. Guards against dropping one that
// was received completely.
BOOST_AUTO_TEST_CASE(CompleteRequestsNeverGiveWay) {
  const auto complete = this->Complete(kCeiling);
  const auto waiting = this->account.Add(this->now);
  BOOST_TEST(!this->MayRead(waiting));
  BOOST_TEST(this->After(seconds(60)).shed.empty());
  this->account.OnEnd(complete, this->now);
  BOOST_TEST(Has(this->After(milliseconds(0)).resumed, waiting));
}

// Load: callers that do not read. Guards against responses that hold the
// ceiling while requests wait.
BOOST_AUTO_TEST_CASE(UnreadResponsesGiveWayLast) {
  const auto unread = this->Complete(1);
  this->account.SetHeld(unread, HeldKind::kUnreadResponse, kCeiling);
  const auto waiting = this->account.Add(this->now);
  BOOST_TEST(!this->MayRead(waiting));
  const auto relief = this->After(seconds(1));
  BOOST_REQUIRE(relief.shed.size() == 1U);
  BOOST_TEST((relief.shed[0].reason == ShedReason::kUnreadResponse));
  BOOST_TEST(Has(relief.resumed, waiting));
  BOOST_TEST(this->account.Charged() == 0U);
}

// Guards against a body that is changed by its blocks, and against memory for
// each chunk.
BOOST_AUTO_TEST_CASE(BodyIsJoinedFromItsBlocks) {
  BodyBuffer buffer;
  std::string sent;
  for (std::size_t i = 0; i < 300000; ++i) {
    sent.push_back(static_cast<char>('a' + i % 26));
    buffer.Append({&sent.back(), 1});
  }
  BOOST_TEST(buffer.Capacity() <= sent.size() + 2 * MemoryAccount::kReadBytes);
  BOOST_TEST((buffer.Take() == sent));
  BOOST_TEST(buffer.Size() == 0U);
  BOOST_TEST(buffer.Capacity() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::gateway
