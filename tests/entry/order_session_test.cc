#include "entry/order_session.h"

#include <boost/test/unit_test.hpp>

#include "entry/order_recorder.h"
#include "session_fakes.h"

namespace sycamorebend::entry {

namespace {

// Keeps the calls of a session until the test answers them.
class FakeLedger : public OrderLedger {
 public:
  void Begin(const OrderIdentity& /*identity*/,
             TimePoint /*deadline*/,
             Callback<OrderBegun> callback) override {
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

  std::vector<Callback<OrderBegun>> begins;
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
  void Grant() {
    OrderBegun begun;
    begun.granted = true;
    this->ledger.begins.at(0)(begun);
    this->timers.RunDue();
  }
  void Begun(OrderState state, const std::string& body = {}) {
    OrderBegun begun;
    begun.record = Record(state, body);
    this->ledger.begins.at(0)(begun);
    this->timers.RunDue();
  }
  void FailBegin(ResultCode code) {
    this->ledger.begins.at(0)(MakeError(code));
    this->timers.RunDue();
  }
  void EndCall(ResultCode code, bool nothing_sent) {
    this->client.End(code, nothing_sent);
    this->timers.RunDue();
  }
  void Recorded(std::size_t index, OrderState state) {
    this->ledger.finishes.at(index)(Record(state, {}));
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
  FakeLedger ledger;
  FakeClient client;
  FakeHost host;
  std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>();
  std::shared_ptr<OrderContext> context{
      new OrderContext{host, client, ledger, timers, clock, "entry-1"}};
  std::shared_ptr<OrderSession> session;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OrderSessions, Fixture)

BOOST_AUTO_TEST_CASE(AnswerIsRecordedBeforeTheCallerGetsIt) {
  Dispatch();
  BOOST_TEST(client.calls.empty());
  Grant();
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls[0].fresh_connection);
  BOOST_TEST(client.Send());
  client.Answer(201, "done");
  timers.RunDue();
  BOOST_TEST(exchange->status == 0);
  BOOST_TEST((ledger.states.at(0) == OrderState::kRan));
  BOOST_TEST(ledger.stored.body == "done");
  Recorded(0, OrderState::kRan);
  BOOST_TEST(exchange->status == 201);
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(host.closed == 1);
  BOOST_TEST(context->unrecorded.load() == 0);
}

// Guards against an order that a process sends after it was frozen for longer
// than its right lasts (I4, I5).
BOOST_AUTO_TEST_CASE(ExpiredRightIsNotUsed) {
  Dispatch();
  clock.Advance(kOrderRight - milliseconds(1));
  Grant();
  clock.Advance(milliseconds(1));
  BOOST_TEST(!client.Send());
  EndCall(ResultCode::kCancelled, true);
  BOOST_TEST((ledger.states.at(0) == OrderState::kNotRun));
  Recorded(0, OrderState::kNotRun);
  BOOST_TEST(exchange->Has("\"code\":406"));
  BOOST_TEST(exchange->Has("\"ran\":\"not_run\""));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsRecordedNotRun) {
  Dispatch();
  Grant();
  EndCall(ResultCode::kConnectFailed, true);
  BOOST_TEST((ledger.states.at(0) == OrderState::kNotRun));
  Recorded(0, OrderState::kNotRun);
  BOOST_TEST(exchange->Has("\"ran\":\"not_run\""));
  BOOST_TEST(host.results.at(0).nothing_sent);
  // The call cannot be sent any more, whatever its thread still does.
  BOOST_TEST(!client.Send());
}

// Guards against "not_run" after the first byte was sent.
BOOST_AUTO_TEST_CASE(FailureAfterSendingIsUnknown) {
  for (const ResultCode code :
       {ResultCode::kServerCrashed, ResultCode::kTransportTimeout,
        ResultCode::kCancelled, ResultCode::kProtocolError}) {
    Fixture fixture;
    fixture.Dispatch();
    fixture.Grant();
    BOOST_TEST(fixture.client.Send());
    fixture.EndCall(code, false);
    BOOST_TEST(fixture.ledger.states.empty());
    BOOST_TEST(fixture.exchange->Has("\"code\":404"));
    BOOST_TEST(fixture.exchange->Has("\"ran\":\"unknown\""));
    BOOST_TEST(!fixture.host.results.at(0).nothing_sent);
  }
}

// Guards against an outcome that is lost with the quorum, and against a caller
// that waits for the quorum although its answer is there.
BOOST_AUTO_TEST_CASE(OutcomeIsRecordedInTheBackground) {
  Dispatch();
  Grant();
  BOOST_TEST(client.Send());
  client.Answer(200, "done");
  timers.RunDue();
  ledger.finishes.at(0)(MakeError(ResultCode::kNoQuorum));
  timers.RunDue();
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(context->unrecorded.load() == 1);
  Wait(seconds(1));
  BOOST_REQUIRE(ledger.finishes.size() == 2U);
  BOOST_TEST((ledger.states.at(1) == OrderState::kRan));
  Recorded(1, OrderState::kRan);
  BOOST_TEST(context->unrecorded.load() == 0);
  Wait(seconds(5));
  BOOST_TEST(ledger.finishes.size() == 2U);
}

// Guards against sending without a confirmed right, and against a record of
// this attempt that stays started for ever.
BOOST_AUTO_TEST_CASE(LostBeginIsUnknownAndSettled) {
  for (const ResultCode code :
       {ResultCode::kTransportTimeout, ResultCode::kNoQuorum,
        ResultCode::kNotLeader, ResultCode::kConnectFailed}) {
    Fixture fixture;
    fixture.Dispatch();
    fixture.FailBegin(code);
    BOOST_TEST(fixture.client.calls.empty());
    BOOST_TEST(fixture.exchange->Has("\"ran\":\"unknown\""));
    BOOST_TEST(fixture.exchange->Has("\"retry\":true"));
    BOOST_TEST((fixture.ledger.states.at(0) == OrderState::kNotRun));
    // The record may appear after the first try.
    fixture.ledger.finishes.at(0)(MakeError(ResultCode::kNotFound));
    fixture.Wait(seconds(1));
    BOOST_TEST(fixture.ledger.finishes.size() == 2U);
    fixture.Recorded(1, OrderState::kNotRun);
    BOOST_TEST(fixture.context->unrecorded.load() == 0);
  }
}

BOOST_AUTO_TEST_CASE(RefusedKeysAreExplained) {
  Dispatch();
  FailBegin(ResultCode::kOrderKeyReused);
  BOOST_TEST(exchange->Has("\"code\":402"));
  BOOST_TEST(exchange->Has("\"ran\":\"not_run\""));
  BOOST_TEST(ledger.finishes.empty());
  BOOST_TEST(host.withdrawn == 1);
  Fixture old;
  old.Dispatch();
  old.FailBegin(ResultCode::kOrderKeyExpired);
  // Its record is gone, so it may have run.
  BOOST_TEST(old.exchange->Has("\"ran\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(StoredOutcomesAreRepeated) {
  Dispatch();
  Begun(OrderState::kRan, "first answer");
  BOOST_TEST(exchange->body == "first answer");
  BOOST_TEST(client.calls.empty());
  BOOST_TEST(host.withdrawn == 1);
  Fixture other;
  other.Dispatch();
  other.Begun(OrderState::kNotRun);
  BOOST_TEST(other.exchange->Has("\"code\":405"));
  BOOST_TEST(other.exchange->Has("\"ran\":\"not_run\""));
}

// Guards against a second run, or a premature answer, while another daemon
// runs the order.
BOOST_AUTO_TEST_CASE(StartedOrderIsAwaited) {
  Dispatch();
  Begun(OrderState::kStarted);
  BOOST_TEST(exchange->status == 0);
  Wait(milliseconds(200));
  ledger.gets.at(0)(Record(OrderState::kStarted, {}));
  timers.RunDue();
  Wait(milliseconds(200));
  ledger.gets.at(1)(MakeError(ResultCode::kNoQuorum));
  timers.RunDue();
  Wait(milliseconds(200));
  ledger.gets.at(2)(Record(OrderState::kRan, "done"));
  timers.RunDue();
  BOOST_TEST(exchange->body == "done");
  BOOST_TEST(client.calls.empty());
}

BOOST_AUTO_TEST_CASE(StartedOrderIsUnknownAtTheDeadline) {
  Dispatch();
  Begun(OrderState::kStarted);
  for (std::size_t i = 0; exchange->status == 0 && i < 200; ++i) {
    Wait(milliseconds(200));
    if (i < ledger.gets.size()) {
      ledger.gets[i](Record(OrderState::kStarted, {}));
      timers.RunDue();
    }
  }
  BOOST_TEST(exchange->Has("\"code\":404"));
  BOOST_TEST((clock.Now() <= TimePoint() + seconds(20)));
}

// Guards against "not_run" for an order that an earlier sending ran.
BOOST_AUTO_TEST_CASE(RefusalConsultsTheRecord) {
  Refuse(ResultCode::kNoEligibleServer);
  BOOST_TEST(exchange->status == 0);
  Begun(OrderState::kRan, "ran before");
  BOOST_TEST(exchange->body == "ran before");

  Fixture fresh;
  fresh.Refuse(ResultCode::kNoEligibleServer);
  fresh.Grant();
  fresh.Recorded(0, OrderState::kNotRun);
  BOOST_TEST(fresh.exchange->Has("\"code\":301"));
  BOOST_TEST(fresh.exchange->Has("\"ran\":\"not_run\""));
  BOOST_TEST(fresh.client.calls.empty());

  Fixture lost;
  lost.Refuse(ResultCode::kQueueFull);
  lost.FailBegin(ResultCode::kNoQuorum);
  BOOST_TEST(lost.exchange->Has("\"code\":304"));
  BOOST_TEST(lost.exchange->Has("\"ran\":\"unknown\""));
}

BOOST_AUTO_TEST_CASE(DeadlineWhileBeginningPreventsSending) {
  Dispatch();
  Refuse(ResultCode::kDeadlineUnreachable);
  Grant();
  BOOST_TEST(client.calls.empty());
  Recorded(0, OrderState::kNotRun);
  BOOST_TEST(exchange->Has("\"code\":302"));
  BOOST_TEST(exchange->Has("\"ran\":\"not_run\""));
}

// Guards against a deadline that cuts an order whose outcome would still
// become known.
BOOST_AUTO_TEST_CASE(DeadlineAfterSendingRecordsTheLateAnswer) {
  Dispatch();
  Grant();
  BOOST_TEST(client.Send());
  session->CancelAttempt({"r1", 1, "s", "deadline"});
  Refuse(ResultCode::kOrderOutcomeUnknown);
  BOOST_TEST(exchange->Has("\"code\":404"));
  BOOST_TEST(client.cancels == 0);
  BOOST_TEST(host.closed == 0);
  client.Answer(200, "late");
  timers.RunDue();
  BOOST_TEST((ledger.states.at(0) == OrderState::kRan));
  Recorded(0, OrderState::kRan);
  BOOST_TEST(host.closed == 1);
}

// Guards against the race between a cancellation and the first byte.
BOOST_AUTO_TEST_CASE(CancellationBeforeSendingClosesTheGate) {
  Dispatch();
  Grant();
  session->CancelAttempt({"r1", 1, "s", "the server restarted"});
  BOOST_TEST(client.cancels == 1);
  BOOST_TEST(!client.Send());
  EndCall(ResultCode::kCancelled, true);
  Recorded(0, OrderState::kNotRun);
  BOOST_TEST(exchange->Has("\"ran\":\"not_run\""));
}

BOOST_AUTO_TEST_CASE(CallerGoneInEachPhase) {
  // While queued: nothing was recorded and nothing runs.
  session->Abandon();
  timers.RunDue();
  BOOST_TEST(host.closed == 1);
  BOOST_TEST(ledger.begins.empty());
  // While beginning: the right is given back.
  Fixture beginning;
  beginning.Dispatch();
  beginning.session->Abandon();
  beginning.Grant();
  BOOST_TEST(beginning.client.calls.empty());
  BOOST_TEST((beginning.ledger.states.at(0) == OrderState::kNotRun));
  // Before the first byte.
  Fixture sending;
  sending.Dispatch();
  sending.Grant();
  sending.session->Abandon();
  BOOST_TEST(!sending.client.Send());
  sending.EndCall(ResultCode::kCancelled, true);
  BOOST_TEST((sending.ledger.states.at(0) == OrderState::kNotRun));
  // After the first byte the answer is recorded for those who ask again.
  Fixture sent;
  sent.Dispatch();
  sent.Grant();
  BOOST_TEST(sent.client.Send());
  sent.session->Abandon();
  BOOST_TEST(sent.client.cancels == 0);
  sent.client.Answer(200, "done");
  sent.timers.RunDue();
  BOOST_TEST((sent.ledger.states.at(0) == OrderState::kRan));
  sent.Recorded(0, OrderState::kRan);
  BOOST_TEST(sent.host.closed == 1);
  BOOST_TEST(sent.exchange->status == 0);
}

// Guards against two sendings under one right.
BOOST_AUTO_TEST_CASE(SecondDispatchIsIgnored) {
  Dispatch();
  Grant();
  Dispatch();
  BOOST_TEST(ledger.begins.size() == 1U);
  BOOST_TEST(client.calls.size() == 1U);
  BOOST_TEST(host.withdrawn == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
