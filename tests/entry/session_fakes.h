// Fakes of what a session talks to.
#ifndef SYCAMOREBEND_TESTS_ENTRY_SESSION_FAKES_H_
#define SYCAMOREBEND_TESTS_ENTRY_SESSION_FAKES_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/session.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Keeps the call to the server until the test ends it.
class FakeClient : public HttpClient {
 public:
  HttpCallId Start(HttpCall call,
                   std::shared_ptr<HttpObserver> observer) override {
    this->calls.push_back(std::move(call));
    this->observers.push_back(observer);
    this->observer = std::move(observer);
    return this->calls.size();
  }
  void Cancel(HttpCallId /*id*/) override { ++this->cancels; }

  // @return true if the call may send its first byte.
  bool Send() { return this->calls.at(0).before_send(); }
  void Answer(int status, const std::string& body) {
    this->observer->OnHeaders(status, {});
    this->observer->OnData(body);
    this->End(ResultCode::kOk, false);
  }
  void End(ResultCode code, bool nothing_sent) {
    HttpOutcome outcome;
    outcome.code = code;
    outcome.nothing_sent = nothing_sent;
    this->observer->OnDone(outcome);
  }

  std::vector<HttpCall> calls;
  // Of the last call, and of all.
  std::shared_ptr<HttpObserver> observer;
  std::vector<std::shared_ptr<HttpObserver>> observers;
  int cancels = 0;
};

class FakeExchange : public HttpExchange {
 public:
  const HttpRequest& Request() const override { return this->request; }
  void Respond(int status, HttpHeaders /*headers*/, std::string body) override {
    BOOST_TEST(this->status == 0);
    this->status = status;
    this->body = std::move(body);
  }
  void StartStream(int status, HttpHeaders /*headers*/) override {
    this->status = status;
  }
  void Write(std::string_view data) override { this->body.append(data); }
  void FinishStream() override { this->finished = true; }
  void AbortStream() override { this->aborted = true; }
  void OnCallerDisconnected(std::function<void()> /*callback*/) override {}
  std::size_t PendingBytes() const override { return this->pending; }

  bool Has(const std::string& part) const {
    return this->body.find(part) != std::string::npos;
  }

  HttpRequest request;
  int status = 0;
  std::string body;
  bool finished = false;
  bool aborted = false;
  std::size_t pending = 0;
};

class FakeHost : public SessionHost {
 public:
  void OnFirstToken(const std::string& /*id*/, int attempt) override {
    this->first_tokens.push_back(attempt);
  }
  void OnProgress(const std::string& /*id*/,
                  int /*attempt*/,
                  int tokens) override {
    this->progress.push_back(tokens);
  }
  void OnAttemptDone(const std::string& /*id*/,
                     int attempt,
                     const AttemptResult& result) override {
    this->attempts.push_back(attempt);
    this->results.push_back(result);
  }
  void OnCallerDisconnected(const std::string& /*id*/) override {
    ++this->gone;
  }
  void OnWithdrawn(const std::string& /*id*/) override { ++this->withdrawn; }
  void OnClosed(const std::string& /*id*/) override { ++this->closed; }
  void OnWaste(const std::string& /*class_name*/,
               WasteCause /*cause*/,
               int tokens) override {
    this->wasted += tokens;
  }

  std::vector<int> first_tokens;
  std::vector<int> progress;
  std::vector<int> attempts;
  std::vector<AttemptResult> results;
  int gone = 0;
  int wasted = 0;
  int withdrawn = 0;
  int closed = 0;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_TESTS_ENTRY_SESSION_FAKES_H_
