// Feeds random events to the scheduler and checks invariants after each event.
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

#include "fixture.h"

namespace sycamorebend {

namespace {

constexpr int kSeeds = 20;
constexpr int kSteps = 3000;
constexpr int kCustomerLimit = 40;

// Drives a scheduler and models the expected state of requests and servers.
class RandomRun : private Fixture {
 public:
  explicit RandomRun(unsigned seed) : Fixture(LimitedPolicy()), random(seed) {}

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      this->RunRandomEvent();
      this->CheckInvariants();
    }
    // All deadlines have passed, so no request may remain.
    this->Step(std::chrono::hours(1));
    this->CheckInvariants();
    BOOST_TEST(this->open.empty());
  }

 private:
  struct OpenRequest {
    std::string customer;
    bool order = false;
    int attempt = 0;  // 0: not dispatched.
    int delivered = 0;
    bool current = false;
  };

  static Policy LimitedPolicy() {
    Policy policy = MakePolicy();
    for (CustomerPolicy& customer : policy.customers) {
      customer.max_in_flight = kCustomerLimit;
    }
    return policy;
  }

  unsigned RandomBelow(unsigned limit) { return this->random() % limit; }

  void RunRandomEvent() {
    switch (this->RandomBelow(9)) {
      case 0:
      case 1:
      case 2:
        this->SubmitRandom();
        break;
      case 3:
        this->UpdateRandomServer();
        break;
      case 4:
        this->Step(milliseconds(this->RandomBelow(2000)));
        break;
      case 5:
        this->RemoveRandomServer();
        break;
      default:
        this->AttemptEvent();
    }
  }

  void SubmitRandom() {
    static const char* const kClasses[] = {"urgent", "standard", "batch",
                                           "order"};
    const std::string class_name = kClasses[this->RandomBelow(4)];
    const std::string id = "r" + std::to_string(this->next++);
    OpenRequest request;
    request.customer = this->RandomBelow(3) == 0 ? "b" : "a";
    request.order = class_name == "order";
    this->open[id] = request;
    this->Submit(id, class_name, request.customer);
  }

  void UpdateRandomServer() {
    const std::string id = "s" + std::to_string(this->RandomBelow(5));
    const bool accepting = this->RandomBelow(4) != 0;
    this->accepting[id] = accepting;
    this->Server(id, 4,
                 {static_cast<int>(this->RandomBelow(3)),
                  static_cast<int>(this->RandomBelow(3))},
                 accepting);
  }

  void RemoveRandomServer() {
    const std::string id = "s" + std::to_string(this->RandomBelow(5));
    this->accepting.erase(id);
    this->scheduler->RemoveServer(
        id, static_cast<RemovalReason>(this->RandomBelow(3)), this->now);
  }

  void AttemptEvent() {
    if (this->open.empty()) {
      return;
    }
    auto it = this->open.begin();
    std::advance(it,
                 this->RandomBelow(static_cast<unsigned>(this->open.size())));
    const std::string id = it->first;
    OpenRequest& request = it->second;
    if (this->RandomBelow(10) == 0) {
      this->open.erase(it);
      this->scheduler->Cancel(id, this->now);
      return;
    }
    if (!request.current) {
      return;
    }
    if (this->RandomBelow(4) == 0) {
      this->SendStaleEvent(id, request.attempt - 1);
    } else if (this->RandomBelow(2) == 0) {
      request.delivered += static_cast<int>(this->RandomBelow(20));
      this->scheduler->OnProgress(id, request.attempt, request.delivered,
                                  this->now);
    } else {
      this->EndAttempt(id, request);
    }
  }

  // Events of an attempt that is not current must have no effect.
  void SendStaleEvent(const std::string& id, int attempt) {
    const auto before = this->scheduler->GetStats().classes;
    this->scheduler->OnFirstToken(id, attempt, this->now);
    this->scheduler->OnProgress(id, attempt, 1000, this->now);
    this->Done(id, attempt);
    this->Done(id, attempt, ResultCode::kServerCrashed);
    const auto after = this->scheduler->GetStats().classes;
    BOOST_TEST(this->scheduler->TakeActions().empty());
    for (std::size_t i = 0; i < before.size(); ++i) {
      BOOST_TEST(before[i].finished == after[i].finished);
      BOOST_TEST(before[i].in_flight == after[i].in_flight);
    }
  }

  void EndAttempt(const std::string& id, OpenRequest& request) {
    static const ResultCode kCodes[] = {ResultCode::kOk,
                                        ResultCode::kServerCrashed,
                                        ResultCode::kServerError,
                                        ResultCode::kServerStalled,
                                        ResultCode::kStreamTruncated,
                                        ResultCode::kServerConnectFailed,
                                        ResultCode::kServerFirstByteTimeout};
    const ResultCode code = kCodes[this->RandomBelow(7)];
    const int attempt = request.attempt;
    const int delivered = request.delivered;
    request.current = false;
    if (code == ResultCode::kOk) {
      this->open.erase(id);
    }
    this->Done(id, attempt, code, delivered,
               code == ResultCode::kServerConnectFailed);
  }

  void CheckInvariants() {
    for (const RoutingAction& action : this->scheduler->TakeActions()) {
      std::visit([this](const auto& item) { this->CheckAction(item); }, action);
    }
    std::map<std::string, int> by_customer;
    for (const auto& [id, request] : this->open) {
      ++by_customer[request.customer];
    }
    for (const auto& [customer, count] : by_customer) {
      BOOST_TEST(count <= kCustomerLimit);
    }
    int tracked = 0;
    for (const auto& class_stats : this->scheduler->GetStats().classes) {
      tracked += class_stats.queued + class_stats.in_flight;
    }
    // The scheduler tracks each request until it ends, and no longer.
    BOOST_TEST(tracked == static_cast<int>(this->open.size()));
  }

  void CheckAction(const DispatchAction& action) {
    const auto found = this->open.find(action.request_id);
    BOOST_REQUIRE(found != this->open.end());
    OpenRequest& request = found->second;
    if (action.resume_offset) {
      BOOST_TEST(action.attempt == request.attempt);
      BOOST_TEST(*action.resume_offset == request.delivered);
      BOOST_TEST(!request.order);
    } else {
      BOOST_TEST(action.attempt == request.attempt + 1);
      BOOST_TEST(!request.current);
      BOOST_TEST((!request.order || action.attempt == 1));
      // No new attempt after tokens were delivered: the caller must not get a
      // mix of two outputs.
      BOOST_TEST(request.delivered == 0);
      BOOST_TEST(this->accepting[action.server_id]);
      request.attempt = action.attempt;
    }
    request.current = true;
  }

  void CheckAction(const RefuseAction& action) {
    const auto found = this->open.find(action.request_id);
    BOOST_REQUIRE(found != this->open.end());
    BOOST_TEST(!found->second.current);
    this->open.erase(found);
  }

  void CheckAction(const CancelAction& action) {
    const auto found = this->open.find(action.request_id);
    if (found != this->open.end()) {
      BOOST_TEST(action.attempt == found->second.attempt);
      found->second.current = false;
    }
  }

  void CheckAction(const QueueAction& action) {
    BOOST_TEST(this->open.count(action.request_id) == 1U);
  }

  std::mt19937 random;
  int next = 0;
  std::map<std::string, OpenRequest> open;
  std::map<std::string, bool> accepting;
};

}  // namespace

// Guards against requests that end twice or never, dispatches to servers that
// do not accept requests, responses mixed from two attempts, second dispatches
// of orders, and exceeded customer limits.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderRandomEvents) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomRun(seed).Run();
    }
  }
}

}  // namespace sycamorebend
