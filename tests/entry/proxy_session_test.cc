#include "entry/proxy_session.h"

#include <boost/test/unit_test.hpp>

#include "fake_engine.h"
#include "session_fakes.h"

namespace sycamorebend::entry {

namespace {

struct Fixture {
  Fixture() {
    SetLogThreshold(Severity::kError);
    this->exchange->request.method = "POST";
    this->session = this->MakeSession(true);
  }

  std::shared_ptr<ProxySession> MakeSession(bool stream) {
    CallerRequest request;
    request.info.request_id = "r1";
    request.stream = stream;
    request.deadline = this->clock.Now() + seconds(20);
    ProxyOptions options;
    options.limits.max_unread_bytes = 100;
    options.limits.max_answer_bytes = 1000;
    return std::make_shared<ProxySession>(request, this->exchange,
                                          this->listener, this->client,
                                          this->clock, options);
  }

  void Dispatch(int attempt, const std::string& address) {
    DispatchAction action;
    action.request_id = "r1";
    action.attempt = attempt;
    action.address = address;
    action.first_byte_timeout = seconds(3);
    this->session->Dispatch(action);
  }
  static void Begin(HttpObserver& observer) {
    observer.OnHeaders(200, {{"Content-Type", "text/event-stream"}});
  }
  void Fail(ResultCode code) {
    HttpOutcome outcome;
    outcome.code = code;
    this->client.observer->OnDone(outcome);
  }

  ManualClock clock;
  FakeClient client;
  FakeListener listener;
  std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>();
  std::shared_ptr<ProxySession> session;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ProxySessions, Fixture)

// Guards against data of an old attempt in the response of a new one.
BOOST_AUTO_TEST_CASE(LateDataOfAnOldAttemptIsDropped) {
  Dispatch(1, "10.0.0.1:1");
  const auto old = client.observer;
  session->CancelAttempt({"r1", 1, "a", "no first token in time"});
  Dispatch(2, "10.0.0.2:1");
  Begin(*old);
  old->OnData("id: 1\ndata: old\n\ndata: [DONE]\n\n");
  HttpOutcome done;
  old->OnDone(done);
  BOOST_TEST(exchange->status == 0);
  BOOST_TEST(listener.results.empty());
  Begin(*client.observer);
  client.observer->OnData(TokenEvents(1, 2));
  BOOST_TEST(exchange->body == TokenEvents(1, 2));
  BOOST_TEST(exchange->finished);
  BOOST_TEST(listener.attempts.at(0) == 2);
}

// Guards against a second copy of an earlier response, which a server sends
// late on a connection that is in use again, as the response to this request.
BOOST_AUTO_TEST_CASE(AttemptsDoNotShareConnections) {
  Dispatch(1, "10.0.0.1:1");
  BOOST_REQUIRE(client.calls.size() == 1U);
  BOOST_TEST(client.calls[0].fresh_connection);
}

// Guards against a truncated response when the scheduler moves a request at the
// moment when its first token arrives.
BOOST_AUTO_TEST_CASE(MoveAfterTheFirstTokenKeepsTheResponse) {
  Dispatch(1, "10.0.0.1:1");
  Begin(*client.observer);
  client.observer->OnData(TokenEvent(1));
  session->CancelAttempt({"r1", 1, "a", "no first token in time"});
  Dispatch(2, "10.0.0.2:1");
  BOOST_TEST(client.calls.size() == 1U);
  BOOST_TEST(client.cancels == 0);
  BOOST_TEST(listener.first_tokens == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
  // A resume still goes to the server that runs the stream.
  Fail(ResultCode::kServerStalled);
  BOOST_TEST(listener.attempts.at(0) == 2);
  DispatchAction resume;
  resume.request_id = "r1";
  resume.attempt = 2;
  resume.address = "10.0.0.2:1";
  resume.resume_offset = 1;
  session->Dispatch(resume);
  BOOST_TEST(client.calls.back().url ==
             "http://10.0.0.1:1/v1/streams/r1?offset=1");
  Begin(*client.observer);
  client.observer->OnData(TokenEvents(2, 3));
  BOOST_TEST(exchange->body == TokenEvents(1, 3));
}

// Guards against a task on the control thread for every token.
BOOST_AUTO_TEST_CASE(ProgressIsReportedInBatches) {
  Dispatch(1, "10.0.0.1:1");
  Begin(*client.observer);
  for (int id = 1; id <= 40; ++id) {
    client.observer->OnData(TokenEvent(id));
  }
  BOOST_TEST(listener.progress == (std::vector<int>{16, 32}),
             boost::test_tools::per_element());
  clock.Advance(milliseconds(100));
  client.observer->OnData(TokenEvent(41));
  BOOST_TEST(listener.progress.back() == 41);
}

BOOST_AUTO_TEST_CASE(SlowCallerEndsTheAttempt) {
  Dispatch(1, "10.0.0.1:1");
  Begin(*client.observer);
  exchange->pending = 101;
  client.observer->OnData(TokenEvent(1));
  BOOST_TEST(exchange->aborted);
  BOOST_TEST(client.cancels == 1);
  BOOST_TEST(client.calls.back().method == "DELETE");
  BOOST_TEST(listener.disconnected == 1);
  BOOST_TEST(listener.wasted_tokens == 1);
}

// Guards against unbounded memory use for a response.
BOOST_AUTO_TEST_CASE(OversizedResponsesFail) {
  session = MakeSession(false);
  Dispatch(1, "10.0.0.1:1");
  client.observer->OnHeaders(200, {});
  client.observer->OnData(std::string(1001, 'x'));
  BOOST_TEST((listener.results.at(0).code == ResultCode::kServerError));
  session = MakeSession(true);
  Dispatch(1, "10.0.0.1:1");
  Begin(*client.observer);
  client.observer->OnData("data: " + std::string((1 << 20) + 1, 'x'));
  BOOST_TEST((listener.results.at(1).code == ResultCode::kServerError));
}

// Guards against passing errors such as "model not loaded" on to the caller
// although another engine may be able to run the request.
BOOST_AUTO_TEST_CASE(EngineFailuresGoToTheScheduler) {
  for (const int status : {404, 429, 500, 503}) {
    Fixture fixture;
    fixture.Dispatch(1, "10.0.0.1:1");
    fixture.client.observer->OnHeaders(status, {});
    fixture.client.observer->OnData("error");
    fixture.Fail(ResultCode::kOk);
    BOOST_TEST(
        (fixture.listener.results.at(0).code == ResultCode::kServerError));
    BOOST_TEST(fixture.exchange->status == 0);
  }
}

// Guards against taking the server of a non-streamed response for silent: the
// first byte of the response arrives only after the last token was generated.
BOOST_AUTO_TEST_CASE(NonStreamedResponseHasUntilTheDeadline) {
  session = MakeSession(false);
  Dispatch(1, "10.0.0.1:1");
  BOOST_TEST((client.calls.at(0).first_byte_timeout >= seconds(20)));
  BOOST_TEST(listener.first_tokens.size() == 1U);
}

// Guards against "not_run" for a request that may have reached a server.
BOOST_AUTO_TEST_CASE(RefusalSaysWhetherItMayHaveRun) {
  session->Refuse({"r1", ResultCode::kQueueFull, "", Duration{0}});
  BOOST_TEST(exchange->BodyContains("\"ran\":\"not_run\""));
  Fixture running;
  running.Dispatch(1, "10.0.0.1:1");
  running.session->Refuse(
      {"r1", ResultCode::kDeadlineUnreachable, "", Duration{0}});
  BOOST_TEST(running.exchange->BodyContains("\"ran\":\"unknown\""));
  BOOST_TEST(running.client.calls.back().method == "DELETE");
  BOOST_TEST(running.listener.closed == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace sycamorebend::entry
