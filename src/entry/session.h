// One request of a caller, from its arrival to the end of its response.
#ifndef SYCAMOREBEND_SRC_ENTRY_SESSION_H_
#define SYCAMOREBEND_SRC_ENTRY_SESSION_H_

#include <string>

#include "entry/caller_request.h"
#include "sycamorebend/base.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

// Why generated tokens were wasted.
enum class WasteCause : int {
  kCallerGone = 0,
  kSlowCaller = 1,
  kAttemptFailed = 2,
  kCancelled = 3,
};

// Receives the events of sessions. Called from any thread, also while the
// session holds its lock; must not block or call the session.
class SessionListener {
 public:
  virtual ~SessionListener() = default;

  virtual void OnFirstToken(const std::string& request_id, int attempt) = 0;
  virtual void OnProgress(const std::string& request_id,
                          int attempt,
                          int tokens) = 0;
  virtual void OnAttemptDone(const std::string& request_id,
                             int attempt,
                             const AttemptResult& result) = 0;
  // The caller disconnected, or was disconnected because it reads too slowly.
  virtual void OnCallerDisconnected(const std::string& request_id) = 0;
  // The session needs no backend server any more; the scheduler must not
  // dispatch it again.
  virtual void OnWithdrawn(const std::string& request_id) = 0;
  // The session has ended and can be removed.
  virtual void OnClosed(const std::string& request_id) = 0;
  virtual void OnTokensWasted(const std::string& class_name,
                              WasteCause cause,
                              int tokens) = 0;
};

// Methods are called on the control thread.
class CallerSession {
 public:
  virtual ~CallerSession() = default;

  virtual const CallerRequest& Request() const = 0;
  virtual void Dispatch(const DispatchAction& action) = 0;
  virtual void CancelAttempt(const CancelAction& action) = 0;
  virtual void Refuse(const RefuseAction& action) = 0;
  // Writes a heartbeat comment if a stream is idle.
  virtual void Heartbeat(TimePoint now) = 0;
  // The caller disconnected. The scheduler drops the request.
  virtual void Abandon() = 0;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_SESSION_H_
