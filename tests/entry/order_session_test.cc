#include "entry/order_session.h"

#include <boost/test/unit_test.hpp>

#include "entry/order_recorder.h"
#include "session_fakes.h"

namespace sycamorebend::entry {

namespace {

// Keeps the calls of a session until the test completes them.
class FakeOrderStore : public OrderStore {
 public:
  void Begin(const OrderIdentity& /*identity*/,
             TimePoint /*deadline*/,
             Callback<BeginOrderResult> callback) override {
    this->begins.push_back(std::move(callback));
  }
  void Finish(const OrderIdentity& /*identity*/,
              OrderState state,
              const HttpResponse& response,
              TimePoint /*deadline*/,
              Callback<OrderRecord> callback) override {
    this->states.push_back(state);
    this->stored = response;
    this->finishes.push_back(std::move(callback));
  }
  void Get(const OrderIdentity& /*identity*/,
           TimePoint /*deadline*/,
           Callback<OrderRecord> callback) override {
    this->gets.push_back(std::move(callback));
  }

  std::vector<Callback<BeginOrderResult>> begins;
  std::vector<Callback<OrderRecord>> finishes;
  std::vector<Callback<OrderRecord>> gets;
  std::vector<OrderState> states;
  HttpResponse stored;
};

struct Fixture {
  Fixture() {
    SetLogThreshold(Severity::kError);
    CallerRequest request;
    request.info.request_id = "r1";
    request.kind = ServerKind::kService;
    request.is_order = true;
    request.idempotency_key = "key-1";
    request.deadline = this->clock.Now() + seconds(20);
    this->session =
        std::make_shared<OrderSession>(request, this->exchange, this->context);
  }

  void Dispatch() {
    DispatchAction action;
    action.request_id = "r1";
    action.address = "10.0.0.1:80";
    this->session->Dispatch(action);
    this->timers.RunDue();
  }
  void Refuse(ResultCode code) {
    this->session->Refuse({"r1", code, "refused", Duration{0}});
    this->timers.RunDue();
  }
  void GrantSend() {
    BeginOrderResult begin_result;
    begin_result.granted = true;
    this->store.begins.at(0)(begin_result);
    this->timers.RunDue();
  }
  void CompleteBegin(OrderState state, const std::string& body = {}) {
    BeginOrderResult begin_result;
    begin_result.record = Record(state, body);
    this->store.begins.at(0)(begin_result);
    this->timers.RunDue();
  }
  void FailBeginCall(ResultCode code) {
    this->store.begins.at(0)(MakeError(code));
    this->timers.RunDue();
  }
  void EndCall(ResultCode code, bool nothing_sent) {
    this->client.FinishCall(code, nothing_sent);
    this->timers.RunDue();
  }
  void CompleteFinish(std::size_t index, OrderState state) {
    this->store.finishes.at(index)(Record(state, {}));
    this->timers.RunDue();
  }
  void Wait(Duration time) {
    this->clock.Advance(time);
    this->timers.RunDue();
  }
  static OrderRecord Record(OrderState state, const std::string& body) {
    OrderRecord record;
    record.state = state;
    record.response = {200, {}, body};
    return record;
  }

  ManualClock clock;
  TimerQueue timers{clock};
  FakeOrderStore store;
  FakeClient client;
  FakeListener listener;
  std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>();
  std::shared_ptr<OrderContext> context{
      new OrderContext{listener, client, store, timers, clock, "entry-1"}};
  std::shared_ptr<OrderSession> session;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OrderSessions, Fixture)

BOOST_AUTO_TEST_CASE(ResponseIsRecordedBeforeTheCallerGetsIt) {
  Dispatch();
  BOOST_TEST(client.calls.empty());
  GrantSend();
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls[0].fresh_connection);
  BOOST_TEST(client.TrySend());
  client.RespondToCall(201, "done");
  timers.RunDue();
  BOOST_TEST(exchange->status == 0);
  BOOST_TEST((store.states.at(0) == OrderState::kRan));
  BOOST_TEST(store.stored.body == "done");
  CompleteFinish(0, OrderState::kRan);
  BOOST_TEST(exchange->status == 201);
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(listener.closed == 1);
  BOOST_TEST(context->unrecorded_outcomes.load() == 0);
}

// Guards against an order that is sent after its send lease has expired, for
// example because the process was suspended. It must be reported as not_run and
// must never run (I4 and I5 in docs/design.md).
BOOST_AUTO_TEST_CASE(ExpiredSendLeaseIsNotUsed) {
  Dispatch();
  clock.Advance(kOrderSendLease - milliseconds(1));
  GrantSend();
  clock.Advance(milliseconds(1));
  BOOST_TEST(!client.TrySend());
  EndCall(ResultCode::kCancelled, true);
  BOOST_TEST((store.states.at(0) == OrderState::kNotRun));
  CompleteFinish(0, OrderState::kNotRun);
  BOOST_TEST(exchange->BodyContains("\"code\":406"));
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsRecordedNotRun) {
  Dispatch();
  GrantSend();
  EndCall(ResultCode::kConnectFailed, true);
  BOOST_TEST((store.states.at(0) == OrderState::kNotRun));
  CompleteFinish(0, OrderState::kNotRun);
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
  BOOST_TEST(listener.results.at(0).nothing_sent);
  // A client thread that is still connecting must not send the call any more.
  BOOST_TEST(!client.TrySend());
}

// Guards against "not_run" for an order whose first byte was sent.
BOOST_AUTO_TEST_CASE(FailureAfterSendingIsUnknown) {
  for (const ResultCode code :
       {ResultCode::kServerCrashed, ResultCode::kTransportTimeout,
        ResultCode::kCancelled, ResultCode::kProtocolError}) {
    Fixture fixture;
    fixture.Dispatch();
    fixture.GrantSend();
    BOOST_TEST(fixture.client.TrySend());
    fixture.EndCall(code, false);
    BOOST_TEST(fixture.store.states.empty());
    BOOST_TEST(fixture.exchange->BodyContains("\"code\":404"));
    BOOST_TEST(fixture.exchange->BodyContains("\"ran\":\"unknown\""));
    BOOST_TEST(!fixture.listener.results.at(0).nothing_sent);
  }
}

// Guards against an outcome that is never recorded because there was no quorum,
// and against delaying the response until there is one.
BOOST_AUTO_TEST_CASE(OutcomeIsRecordedInTheBackground) {
  Dispatch();
  GrantSend();
  BOOST_TEST(client.TrySend());
  client.RespondToCall(200, "done");
  timers.RunDue();
  store.finishes.at(0)(MakeError(ResultCode::kNoQuorum));
  timers.RunDue();
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(context->unrecorded_outcomes.load() == 1);
  Wait(seconds(1));
  BOOST_REQUIRE(store.finishes.size() == 2U);
  BOOST_TEST((store.states.at(1) == OrderState::kRan));
  CompleteFinish(1, OrderState::kRan);
  BOOST_TEST(context->unrecorded_outcomes.load() == 0);
  Wait(seconds(5));
  BOOST_TEST(store.finishes.size() == 2U);
}

// Guards against sending an order whose order.begin was not confirmed, and
// against a record of this attempt that stays "started" forever.
BOOST_AUTO_TEST_CASE(UnansweredBeginIsUnknownAndRecordedNotRun) {
  for (const ResultCode code :
       {ResultCode::kTransportTimeout, ResultCode::kNoQuorum,
        ResultCode::kNotLeader, ResultCode::kConnectFailed}) {
    Fixture fixture;
    fixture.Dispatch();
    fixture.FailBeginCall(code);
    BOOST_TEST(fixture.client.calls.empty());
    BOOST_TEST(fixture.exchange->BodyContains("\"ran\":\"unknown\""));
    BOOST_TEST(fixture.exchange->BodyContains("\"retry\":true"));
    BOOST_TEST((fixture.store.states.at(0) == OrderState::kNotRun));
    // A delayed order.begin may create the record after the first order.finish.
    fixture.store.finishes.at(0)(MakeError(ResultCode::kNotFound));
    fixture.Wait(seconds(1));
    BOOST_TEST(fixture.store.finishes.size() == 2U);
    fixture.CompleteFinish(1, OrderState::kNotRun);
    BOOST_TEST(fixture.context->unrecorded_outcomes.load() == 0);
  }
}

BOOST_AUTO_TEST_CASE(RefusedKeysAreReported) {
  Dispatch();
  FailBeginCall(ResultCode::kOrderKeyReused);
  BOOST_TEST(exchange->BodyContains("\"code\":402"));
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
  BOOST_TEST(store.finishes.empty());
  BOOST_TEST(listener.withdrawn == 1);
  Fixture old;
  old.Dispatch();
  old.FailBeginCall(ResultCode::kOrderKeyExpired);
  // The record was deleted, so the order may have run.
  BOOST_TEST(old.exchange->BodyContains("\"ran\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(StoredOutcomesAreRepeated) {
  Dispatch();
  CompleteBegin(OrderState::kRan, "first answer");
  BOOST_TEST(exchange->body == "first answer");
  BOOST_TEST(client.calls.empty());
  BOOST_TEST(listener.withdrawn == 1);
  Fixture other;
  other.Dispatch();
  other.CompleteBegin(OrderState::kNotRun);
  BOOST_TEST(other.exchange->BodyContains("\"code\":405"));
  BOOST_TEST(other.exchange->BodyContains("\"ran\":\"not_run\""));
}

// Guards against a second run, or a premature response, while another daemon
// runs the order.
BOOST_AUTO_TEST_CASE(StartedOrderIsAwaited) {
  Dispatch();
  CompleteBegin(OrderState::kStarted);
  BOOST_TEST(exchange->status == 0);
  Wait(milliseconds(200));
  store.gets.at(0)(Record(OrderState::kStarted, {}));
  timers.RunDue();
  Wait(milliseconds(200));
  store.gets.at(1)(MakeError(ResultCode::kNoQuorum));
  timers.RunDue();
  Wait(milliseconds(200));
  store.gets.at(2)(Record(OrderState::kRan, "done"));
  timers.RunDue();
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(client.calls.empty());
}

BOOST_AUTO_TEST_CASE(StartedOrderIsUnknownAtTheDeadline) {
  Dispatch();
  CompleteBegin(OrderState::kStarted);
  for (std::size_t i = 0; exchange->status == 0 && i < 200; ++i) {
    Wait(milliseconds(200));
    if (i < store.gets.size()) {
      store.gets[i](Record(OrderState::kStarted, {}));
      timers.RunDue();
    }
  }
  BOOST_TEST(exchange->BodyContains("\"code\":404"));
  BOOST_TEST((clock.Now() <= TimePoint() + seconds(20)));
}

// Guards against "not_run" for an order that ran in an earlier attempt.
BOOST_AUTO_TEST_CASE(RefusalIsDecidedByTheRecord) {
  Refuse(ResultCode::kNoEligibleServer);
  BOOST_TEST(exchange->status == 0);
  CompleteBegin(OrderState::kRan, "ran before");
  BOOST_TEST(exchange->body == "ran before");

  Fixture fresh;
  fresh.Refuse(ResultCode::kNoEligibleServer);
  fresh.GrantSend();
  fresh.CompleteFinish(0, OrderState::kNotRun);
  BOOST_TEST(fresh.exchange->BodyContains("\"code\":301"));
  BOOST_TEST(fresh.exchange->BodyContains("\"ran\":\"not_run\""));
  BOOST_TEST(fresh.client.calls.empty());

  Fixture lost;
  lost.Refuse(ResultCode::kQueueFull);
  lost.FailBeginCall(ResultCode::kNoQuorum);
  BOOST_TEST(lost.exchange->BodyContains("\"code\":304"));
  BOOST_TEST(lost.exchange->BodyContains("\"ran\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(DeadlineWhileBeginningPreventsSending) {
  Dispatch();
  Refuse(ResultCode::kDeadlineUnreachable);
  GrantSend();
  BOOST_TEST(client.calls.empty());
  CompleteFinish(0, OrderState::kNotRun);
  BOOST_TEST(exchange->BodyContains("\"code\":302"));
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
}

// Guards against cancelling an order at its deadline although its outcome can
// still become known.
BOOST_AUTO_TEST_CASE(LateResponseIsRecordedAfterTheDeadline) {
  Dispatch();
  GrantSend();
  BOOST_TEST(client.TrySend());
  session->CancelAttempt({"r1", 1, "s", "deadline"});
  Refuse(ResultCode::kOrderOutcomeUnknown);
  BOOST_TEST(exchange->BodyContains("\"code\":404"));
  BOOST_TEST(client.cancels == 0);
  BOOST_TEST(listener.closed == 0);
  client.RespondToCall(200, "late");
  timers.RunDue();
  BOOST_TEST((store.states.at(0) == OrderState::kRan));
  CompleteFinish(0, OrderState::kRan);
  BOOST_TEST(listener.closed == 1);
}

// Guards against a race between a cancellation and the first byte: an order
// that was cancelled before it must not be sent.
BOOST_AUTO_TEST_CASE(CancellationBeforeSendingPreventsIt) {
  Dispatch();
  GrantSend();
  session->CancelAttempt({"r1", 1, "s", "the server restarted"});
  BOOST_TEST(client.cancels == 1);
  BOOST_TEST(!client.TrySend());
  EndCall(ResultCode::kCancelled, true);
  CompleteFinish(0, OrderState::kNotRun);
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
}

BOOST_AUTO_TEST_CASE(CallerDisconnectInEachPhase) {
  // While queued: nothing has been recorded or sent.
  session->Abandon();
  timers.RunDue();
  BOOST_TEST(listener.closed == 1);
  BOOST_TEST(store.begins.empty());
  // While beginning: the order is recorded as not run.
  Fixture beginning;
  beginning.Dispatch();
  beginning.session->Abandon();
  beginning.GrantSend();
  BOOST_TEST(beginning.client.calls.empty());
  BOOST_TEST((beginning.store.states.at(0) == OrderState::kNotRun));
  // Before the first byte.
  Fixture sending;
  sending.Dispatch();
  sending.GrantSend();
  sending.session->Abandon();
  BOOST_TEST(!sending.client.TrySend());
  sending.EndCall(ResultCode::kCancelled, true);
  BOOST_TEST((sending.store.states.at(0) == OrderState::kNotRun));
  // After the first byte: the response is recorded for repeated requests.
  Fixture sent;
  sent.Dispatch();
  sent.GrantSend();
  BOOST_TEST(sent.client.TrySend());
  sent.session->Abandon();
  BOOST_TEST(sent.client.cancels == 0);
  sent.client.RespondToCall(200, "done");
  sent.timers.RunDue();
  BOOST_TEST((sent.store.states.at(0) == OrderState::kRan));
  sent.CompleteFinish(0, OrderState::kRan);
  BOOST_TEST(sent.listener.closed == 1);
  BOOST_TEST(sent.exchange->status == 0);
}

// Guards against sending an order twice for one order.begin.
BOOST_AUTO_TEST_CASE(SecondDispatchIsIgnored) {
  Dispatch();
  GrantSend();
  Dispatch();
  BOOST_TEST(store.begins.size() == 1U);
  BOOST_TEST(client.calls.size() == 1U);
  BOOST_TEST(listener.withdrawn == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
