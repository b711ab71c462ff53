#include "logs/request_diagnosis.h"

#include <sstream>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

namespace sycamorebend::logs {

namespace {

// Builds the log of one gateway, line by line.
struct Fixture {
  void Line(int time_ms, const std::string& name, const std::string& fields) {
    this->text += fmt::format("gw-1 {{\"time_ms\":{},\"name\":\"{}\",{}}}\n",
                              time_ms, name, fields);
  }

  void Dispatch(int time_ms, const std::string& id, const std::string& server) {
    this->Line(time_ms, "request_dispatched",
               fmt::format(R"("request_id":"{}","server_id":"{}",)"
                           R"("expected_ms":100,"uncached_tokens":5,)"
                           R"("running":2,"pending_tokens":9,"slowness":1.5)",
                           id, server));
  }

  void Fail(int time_ms,
            const std::string& id,
            const std::string& server,
            const std::string& failure) {
    this->Line(time_ms, "server_failed",
               fmt::format(R"("request_id":"{}","server_id":"{}",)"
                           R"("failure":"{}")",
                           id, server, failure));
  }

  void Finish(int time_ms,
              const std::string& id,
              const std::string& server,
              int status,
              const std::string& outcome,
              int first_event_ms = 50,
              int events = 3) {
    this->Line(
        time_ms, "request_finished",
        fmt::format(R"("request_id":"{}","server_id":"{}","status":{},)"
                    R"("outcome":"{}","attempts":1,"events":{},)"
                    R"("first_event_ms":{},"target_ms":600,)"
                    R"("duration_ms":900)",
                    id, server, status, outcome, events, first_event_ms));
  }

  Cause CauseOf(const std::string& id) {
    LogLines logs;
    std::istringstream input(this->text);
    ReadLog(input, "file", logs);
    this->diagnosis = ExplainRequest(logs, id);
    return this->diagnosis.cause;
  }

  bool Says(const std::string& part) const {
    return this->diagnosis.conclusion.find(part) != std::string::npos;
  }

  std::string text;
  RequestDiagnosis diagnosis;
};

}  // namespace

// Guards against reporting every lost connection as a crash, or none.
BOOST_FIXTURE_TEST_CASE(CrashIsDistinguishedFromALostConnection, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Dispatch(110, "b", "s1");
  this->Dispatch(120, "c", "s2");
  this->Fail(500, "a", "s1", "connection_lost");
  this->Finish(500, "a", "s1", 502, "stream cut: connection_lost");
  this->Fail(510, "b", "s1", "connection_lost");
  this->Finish(510, "b", "s1", 502, "stream cut: connection_lost");
  this->Fail(520, "c", "s2", "connection_lost");
  this->Finish(520, "c", "s2", 502, "stream cut: connection_lost");
  BOOST_TEST((this->CauseOf("a") == Cause::kServerCrashed));
  BOOST_TEST(this->Says("1 others"));
  BOOST_TEST((this->CauseOf("c") == Cause::kConnectionLost));
}

// Guards against reporting a crash of a server that lost several connections
// but serves another request afterwards.
BOOST_FIXTURE_TEST_CASE(LostConnectionsOfAServingServerAreNoCrash, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Dispatch(110, "b", "s1");
  this->Dispatch(120, "c", "s1");
  this->Fail(500, "a", "s1", "connection_lost");
  this->Finish(500, "a", "s1", 502, "connection_lost");
  this->Fail(510, "b", "s1", "connection_lost");
  this->Finish(510, "b", "s1", 502, "connection_lost");
  BOOST_TEST((this->CauseOf("a") == Cause::kServerCrashed));
  this->Finish(700, "c", "s1", 200, "whole");
  BOOST_TEST((this->CauseOf("a") == Cause::kConnectionLost));
}

// Guards against a truncated stream that is reported as unexplained, and is not
// counted as a sign of its server's crash.
BOOST_FIXTURE_TEST_CASE(TruncatedStreamsCountAsLostConnections, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Dispatch(110, "b", "s1");
  this->Fail(500, "a", "s1", "truncated");
  this->Finish(500, "a", "s1", 502, "stream cut: truncated inside an event");
  BOOST_TEST((this->CauseOf("a") == Cause::kConnectionLost));
  this->Fail(510, "b", "s1", "truncated");
  this->Finish(510, "b", "s1", 502, "stream cut: truncated inside an event");
  BOOST_TEST((this->CauseOf("a") == Cause::kServerCrashed));
}

// Guards against missing the crash of a server without other open requests,
// which shows only in failed connects afterwards.
BOOST_FIXTURE_TEST_CASE(FailedConnectsShowACrash, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Fail(500, "a", "s1", "connection_lost");
  this->Finish(500, "a", "s1", 502, "connection_lost");
  this->Dispatch(600, "b", "s1");
  this->Fail(601, "b", "s1", "connect_failed");
  BOOST_TEST((this->CauseOf("a") == Cause::kServerCrashed));
}

// Guards against confusing an unresponsive server with one hung request.
BOOST_FIXTURE_TEST_CASE(UnresponsiveServerIsDistinguishedFromAHungRequest,
                        Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Dispatch(100, "b", "s2");
  this->Dispatch(150, "c", "s2");
  this->Finish(400, "c", "s2", 200, "whole");
  this->Finish(5000, "a", "s1", 504, "no answer in time", -1, 0);
  this->Finish(5000, "b", "s2", 504, "no answer in time", -1, 0);
  BOOST_TEST((this->CauseOf("a") == Cause::kServerSilent));
  BOOST_TEST((this->CauseOf("b") == Cause::kRequestSilent));
}

// Guards against reporting a slow stream as a silent server.
BOOST_FIXTURE_TEST_CASE(SlowStreamIsDistinguishedFromSilence, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Finish(5100, "a", "s1", 504, "stream cut: its time is up", 60, 9);
  BOOST_TEST((this->CauseOf("a") == Cause::kStreamTooSlow));
  BOOST_TEST(this->Says("one in 100 ms"));
}

// Guards against an unexplained end of a request whose gateway was killed.
BOOST_FIXTURE_TEST_CASE(TerminatedGatewayIsNamed, Fixture) {
  this->Dispatch(100, "a", "s1");
  this->Line(900, "process_started", R"("settings":"x")");
  BOOST_TEST((this->CauseOf("a") == Cause::kGatewayEnded));
  BOOST_TEST(this->Says("gw-1"));
  BOOST_TEST(this->Says("800 ms"));
}

// Guards against explaining refused and late requests without the figures that
// decided them.
BOOST_FIXTURE_TEST_CASE(RefusedAndLateRequestsIncludeTheirFigures, Fixture) {
  this->Line(100, "request_refused",
             R"("request_id":"a","best_server_id":"s3","expected_ms":1200,)"
             R"("target_ms":600,"running":7,"pending_tokens":40000)");
  this->Finish(100, "a", "", 503, "no engine can begin it in time");
  BOOST_TEST((this->CauseOf("a") == Cause::kRefusedUnderLoad));
  BOOST_TEST(this->Says("1200 ms"));
  this->Dispatch(200, "b", "s1");
  this->Finish(1400, "b", "s1", 200, "whole", 900);
  BOOST_TEST((this->CauseOf("b") == Cause::kLate));
  BOOST_TEST(this->Says("900 ms"));
  this->Dispatch(1500, "c", "s1");
  this->Finish(1600, "c", "s1", 200, "whole", 80);
  BOOST_TEST((this->CauseOf("c") == Cause::kServed));
}

// Guards against a refused request whose cause, found from crashes under other
// requests, is not named.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestNamesThePart, Fixture) {
  this->Line(100, "crash_cause_found",
             R"("kind":"prompt_part","request_hash":"0","prompt_parts":"a1")");
  this->Line(200, "request_quarantined",
             R"("request_id":"r1","attempts":0,"request_hash":"0",)"
             R"("prompt_parts":"a1","quarantine_ms":600000)");
  this->Finish(200, "r1", "", 503, "a part of its prompt crashes servers");
  BOOST_TEST((this->CauseOf("r1") == Cause::kQuarantined));
  BOOST_TEST(this->diagnosis.conclusion.find("a1") != std::string::npos);
  BOOST_TEST(this->diagnosis.lines.size() == 3U);
}

// Guards against a diagnosis of a request that no log mentions.
BOOST_FIXTURE_TEST_CASE(UnknownRequestIsNotInTheLogs, Fixture) {
  this->Dispatch(100, "a", "s1");
  BOOST_TEST((this->CauseOf("b") == Cause::kNotInLogs));
  BOOST_TEST(this->diagnosis.lines.empty());
}

// Guards against log lines that are out of order or lack their process.
BOOST_FIXTURE_TEST_CASE(LinesAreInOrderOfTime, Fixture) {
  this->Dispatch(1000, "a", "s1");
  this->Finish(61500, "a", "s1", 200, "whole");
  this->CauseOf("a");
  const std::string shown = FormatDiagnosis(this->diagnosis, "a");
  const std::size_t first =
      shown.find("00:00:01.000  gw-1  request_dispatched");
  const std::size_t second = shown.find("00:01:01.500  gw-1  request_finished");
  BOOST_TEST(first != std::string::npos);
  BOOST_TEST(first < second);
}

}  // namespace sycamorebend::logs
