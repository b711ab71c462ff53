// One request of a caller between its arrival and the end of its answer.
#ifndef SYCAMOREBEND_SRC_ENTRY_SESSION_H_
#define SYCAMOREBEND_SRC_ENTRY_SESSION_H_

#include <string>

#include "entry/caller_request.h"
#include "sycamorebend/base.h"
#include "sycamorebend/routing.h"

namespace sycamorebend::entry {

// Why generated tokens were of no use.
enum class WasteCause : int {
  kCallerGone = 0,
  kSlowCaller = 1,
  kAttemptFailed = 2,
  kCancelled = 3,
};

// What a session tells the scheduler. Called from any thread, also while the
// session holds its lock; must not block or call the session.
class SessionHost {
 public:
  virtual ~SessionHost() = default;

  virtual void OnFirstToken(const std::string& request_id, int attempt) = 0;
  virtual void OnProgress(const std::string& request_id,
                          int attempt,
                          int tokens) = 0;
  virtual void OnAttemptDone(const std::string& request_id,
                             int attempt,
                             const AttemptResult& result) = 0;
  // The caller left, or is given up.
  virtual void OnCallerDisconnected(const std::string& request_id) = 0;
  // The session answers without a backend server from now on; the scheduler
  // must not dispatch it again.
  virtual void OnWithdrawn(const std::string& request_id) = 0;
  // The caller has its answer, or there is nobody to answer.
  virtual void OnClosed(const std::string& request_id) = 0;
  virtual void OnWaste(const std::string& class_name,
                       WasteCause cause,
                       int tokens) = 0;
};

// Called on the control thread, except where stated.
class CallerSession {
 public:
  virtual ~CallerSession() = default;

  virtual const CallerRequest& Request() const = 0;
  virtual void Dispatch(const DispatchAction& action) = 0;
  virtual void CancelAttempt(const CancelAction& action) = 0;
  virtual void Refuse(const RefuseAction& action) = 0;
  // Keeps an idle stream alive.
  virtual void Heartbeat(TimePoint now) = 0;
  // The scheduler has forgotten the request because the caller left.
  virtual void Abandon() = 0;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_SESSION_H_
