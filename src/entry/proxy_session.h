// Forwards the response of a backend server to the caller: event by event for a
// stream, otherwise as one complete response.
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

// Each connection to a backend server has a generation number. Data on a
// connection of an earlier generation is dropped, so that late data of an old
// attempt cannot get into the response.
class ProxySession : public CallerSession,
                     public std::enable_shared_from_this<ProxySession> {
 public:
  ProxySession(CallerRequest request,
               std::shared_ptr<HttpExchange> exchange,
               SessionListener& listener,
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

  // Callbacks of a connection, on threads of the HTTP client.
  void OnHeaders(int generation, int status, const HttpHeaders& headers);
  void OnData(int generation, std::string_view data);
  void OnDone(int generation, const HttpOutcome& outcome);

  // The functions below are called with `mutex` held.
  void StartCall(HttpCall call);
  void BeginAttempt(const DispatchAction& action);
  void ResumeStream(const DispatchAction& action);
  // Keeps the current connection and counts its response as that of the attempt
  // in `action`.
  void KeepResponse(const DispatchAction& action);
  // Closes the current connection. With `cancel_at_server`, an engine is also
  // told to stop generating.
  void EndCall(bool cancel_at_server);
  // @return false if the stream has ended or failed.
  bool HandleEvent(const net::SseEvent& event);
  void StartStream();
  void ReportProgress(TimePoint now);
  void DisconnectSlowCaller();
  void FailAttempt(ResultCode code, std::string message, bool nothing_sent);
  void FinishResponse();
  void FinishAttempt(int tokens);
  void ReportWastedTokens(WasteCause cause);

  const CallerRequest request;
  const std::shared_ptr<HttpExchange> exchange;
  SessionListener& listener;
  HttpClient& client;
  const Clock& clock;
  const ProxyOptions options;

  std::mutex mutex;
  int generation = 0;
  bool call_active = false;
  HttpCallId call_id = 0;
  // The attempt that the scheduler tracks, and the one that the server runs.
  // They differ if the scheduler moved the request too late; see KeepResponse.
  DispatchAction scheduled_attempt;
  DispatchAction server_attempt;
  bool attempt_open = false;
  // Some attempt may have reached a server.
  bool maybe_sent = false;
  // The response to the caller has started, or has ended.
  bool response_started = false;
  bool closed = false;
  int status = 0;
  HttpHeaders headers;
  bool streaming = false;
  // Set after a resume until a new event arrives, whose ID must follow last_id
  // directly.
  bool awaiting_resumed_event = false;
  net::SseSplitter splitter;
  // Comments received before the first event with data.
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
