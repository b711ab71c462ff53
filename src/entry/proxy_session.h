// Passes the answer of a backend server on to the caller: event by event for a
// stream, otherwise whole.
#ifndef SYCAMOREBEND_SRC_ENTRY_PROXY_SESSION_H_
#define SYCAMOREBEND_SRC_ENTRY_PROXY_SESSION_H_

#include <memory>
#include <mutex>
#include <string>

#include "entry/session.h"
#include "entry/settings.h"
#include "net/sse_splitter.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

struct ProxyOptions {
  EntryLimits limits;
  Duration heartbeat = seconds(10);
};

// Each connection to a backend server has a generation. What arrives on a
// connection of an earlier generation is dropped, so that late data of an old
// attempt cannot get into the answer.
class ProxySession : public CallerSession,
                     public std::enable_shared_from_this<ProxySession> {
 public:
  ProxySession(CallerRequest request,
               std::shared_ptr<HttpExchange> exchange,
               SessionHost& host,
               HttpClient& client,
               const Clock& clock,
               ProxyOptions options);

  const CallerRequest& Request() const override { return this->request; }
  void Dispatch(const DispatchAction& action) override;
  void CancelAttempt(const CancelAction& action) override;
  void Refuse(const RefuseAction& action) override;
  void Heartbeat(TimePoint now) override;
  void Abandon() override;

 private:
  class Connection;

  // What a connection reports, on threads of the HTTP client.
  void OnHeaders(int generation, int status, const HttpHeaders& headers);
  void OnData(int generation, std::string_view data);
  void OnDone(int generation, const HttpOutcome& outcome);

  // The functions below are called with `mutex` held.
  void StartCall(HttpCall call);
  void BeginAttempt(const DispatchAction& action);
  void ResumeStream(const DispatchAction& action);
  // Continues the running answer as the attempt `action`.
  void KeepAnswer(const DispatchAction& action);
  // Ends the current connection; `tell_server` also ends the work behind it.
  void EndCall(bool tell_server);
  // @return false if the stream cannot go on.
  bool HandleEvent(const net::SseEvent& event);
  void StartStream();
  void ReportProgress(TimePoint now);
  void GiveUpSlowCaller();
  void FailAttempt(ResultCode code, std::string message, bool nothing_sent);
  void FinishWhole();
  void FinishAttempt(int tokens);
  void CountWaste(WasteCause cause);

  const CallerRequest request;
  const std::shared_ptr<HttpExchange> exchange;
  SessionHost& host;
  HttpClient& client;
  const Clock& clock;
  const ProxyOptions options;

  std::mutex mutex;
  int generation = 0;
  bool call_active = false;
  HttpCallId call_id = 0;
  // The attempt that the scheduler counts, and the one that the server works
  // on. They differ after a move that came too late; see Dispatch.
  DispatchAction current;
  DispatchAction serving;
  bool attempt_open = false;
  // Some attempt may have reached a server.
  bool sent = false;
  // The caller's answer has begun, or is complete.
  bool started = false;
  bool closed = false;
  int status = 0;
  HttpHeaders headers;
  bool streaming = false;
  // The next event with an ID must follow last_id directly.
  bool resumed = false;
  net::SseSplitter splitter;
  // Comments that came before the first event with data.
  std::string preamble;
  std::string body;
  std::int64_t last_id = 0;
  int tokens = 0;
  int reported_tokens = 0;
  TimePoint last_progress;
  TimePoint last_write;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_PROXY_SESSION_H_
