// Foundations shared by all sycamorebend libraries: result codes, the event
// log, clocks, the timer service and the control thread.
#ifndef SYCAMOREBEND_BASE_H_
#define SYCAMOREBEND_BASE_H_

#include <signal.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace sycamorebend {

// ---------------------------------------------------------------------------
// Result codes

// Numbered outcome of an operation. The number is part of the public interface
// (callers see it in error bodies) and is never reused. docs/result-codes.md
// has the same table.
enum class ResultCode : int {
  kOk = 0,
  // 1xx: settings files.
  kSettingsUnreadable = 101,
  kSettingsSyntax = 102,
  kSettingsUnknownKey = 103,
  kSettingsInvalidValue = 104,
  kSettingsMissingKey = 105,
  // 2xx: input from callers.
  kMalformedRequest = 201,
  kBodyTooLarge = 202,
  kUnknownCustomer = 203,
  kTierNotGranted = 204,
  kUnknownModel = 205,
  kUnknownClass = 206,
  kInvalidLabel = 207,
  kInvalidSelector = 208,
  kHeadersTooLarge = 209,
  kRequestTimeout = 210,
  kNotFound = 211,
  kMethodNotAllowed = 212,
  // 3xx: routing and limits.
  kNoEligibleServer = 301,
  kDeadlineUnreachable = 302,
  kCustomerLimit = 303,
  kQueueFull = 304,
  kRequestQuarantined = 305,
  kRetryBudgetExhausted = 306,
  kShuttingDown = 307,
  // 4xx: orders (non-idempotent requests).
  kOrderKeyMissing = 401,
  kOrderKeyReused = 402,
  kOrderKeyExpired = 403,
  kOrderOutcomeUnknown = 404,
  kOrderNotRun = 405,
  kOrderRightExpired = 406,
  kOrderKeyInvalid = 407,
  kOrderNotHolder = 408,
  // 5xx: backend servers.
  kServerConnectFailed = 501,
  kServerFirstByteTimeout = 502,
  kServerStalled = 503,
  kServerCrashed = 504,
  kServerError = 505,
  kServerUnknown = 506,
  kStreamTruncated = 507,
  // 6xx: configuration and control.
  kConfigurationUnconfirmed = 601,
  kVersionConflict = 602,
  kChangeIdReused = 603,
  kConfigurationInvalid = 604,
  kChangeIdExpired = 605,
  kUnknownCommand = 606,
  kFenceTooOld = 607,
  // 7xx: consensus and storage.
  kNotLeader = 701,
  kNoQuorum = 702,
  kLogCorrupt = 703,
  kStorageFailed = 704,
  kReplicaNotCaughtUp = 705,
  kReplicaIdReused = 706,
  kMembershipChangeInProgress = 707,
  kEntryTooLarge = 708,
  kStorageFull = 709,
  kLogBusy = 710,
  // 8xx: transport between processes.
  kConnectFailed = 801,
  kTransportTimeout = 802,
  kProtocolError = 803,
  kCancelled = 804,
  kListenFailed = 805,
};

// Whether trying the same operation again can succeed.
enum class RetryAdvice : int {
  kNever = 0,
  kLater = 1,
  kOtherAddress = 2,
};

// One row of the message table.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  std::string_view message;
  RetryAdvice retry;
};

// @return the row for `code`; the row of kProtocolError for an unknown number.
const ResultCodeInfo& GetResultCodeInfo(ResultCode code);

// @return every row, ordered by number.
const std::vector<ResultCodeInfo>& AllResultCodes();

// A failure: its code and a sentence with the details of this occurrence.
struct Error {
  ResultCode code = ResultCode::kProtocolError;
  std::string message;
};

// @return an Error whose message is `detail`, or the table's sentence if empty.
Error MakeError(ResultCode code, std::string detail = {});

// A value or an Error.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

// Success without a value.
using Status = Result<void>;

inline auto Success() {
  return boost::outcome_v2::success();
}

// ---------------------------------------------------------------------------
// Event log

enum class Severity : int { kDebug = 0, kInfo = 1, kWarning = 2, kError = 3 };

// Numbered log event. docs/log-events.md is the catalogue; numbers are never
// reused.
enum class Event : int {
  // 1xx: process life cycle.
  kProcessStarted = 101,
  kProcessStopping = 102,
  kProcessStopped = 103,
  kSettingsRejected = 104,
  kListening = 105,
  kSettingsReloaded = 106,
  // 2xx: caller input.
  kRequestRejected = 201,
  kCallerGone = 202,
  kRequestFinished = 203,
  kCallersShed = 204,
  // 3xx: routing and placement decisions.
  kRequestDispatched = 301,
  kRequestQueued = 302,
  kRequestRefused = 303,
  kRequestRetried = 304,
  kRequestCancelled = 305,
  kRequestQuarantined = 306,
  kPlacementOrdered = 307,
  kPlacementAnswered = 308,
  kRequestResumed = 309,
  // 4xx: orders.
  kOrderStarted = 401,
  kOrderFinished = 402,
  kOrderUnknown = 403,
  kOrderReplayed = 404,
  kOrderRefused = 405,
  // 5xx: backend servers.
  kServerAnnounced = 501,
  kServerLeaseExpired = 502,
  kServerLeft = 503,
  kServerFailed = 504,
  kServerStraggling = 505,
  kReportRejected = 506,
  kCacheEventGap = 507,
  kCrashCauseFound = 508,
  kServerChecked = 509,
  kServerQuiet = 510,
  // 6xx: configuration and control.
  kConfigurationAccepted = 601,
  kConfigurationConflict = 602,
  kConfigurationInForce = 603,
  kConfigurationUnconfirmed = 604,
  kEntryJoined = 605,
  kEntryExpired = 606,
  kEntryDraining = 607,
  kFeedUpstreamChanged = 608,
  kFindingRecorded = 609,
  kFeedResumed = 610,
  kFeedSilent = 611,
  kReplicaNoticeSent = 612,
  kReplicaNoticeUsed = 613,
  // 7xx: consensus and storage.
  kLeaderElected = 701,
  kLeadershipLost = 702,
  kSnapshotWritten = 703,
  kSnapshotInstalled = 704,
  kLogTailCut = 705,
  kLogCorrupt = 706,
  kReplicaAdded = 707,
  kReplicaRemoved = 708,
  kStorageFailed = 709,
  kReplicaPromoted = 710,
  kStateConfirmed = 711,
  kSnapshotSent = 712,
  // 8xx: transport between processes.
  kRpcFailed = 801,
  kPeerUnreachable = 802,
  kHeaderRefused = 803,
  // 9xx: duties, which one VM at a time performs.
  kDutyGranted = 901,
  kDutyReleased = 902,
  kUsageFixed = 903,
  kDutyCallEnded = 904,
  kScalingRulesRead = 905,
  kScalingHeld = 906,
};

struct EventInfo {
  Event event;
  std::string_view name;
  std::string_view meaning;
};

// @return every event, ordered by number.
const std::vector<EventInfo>& AllEvents();

// One named value of a log line.
struct LogField {
  LogField(std::string_view name, std::string_view value);
  LogField(std::string_view name, const char* value);
  LogField(std::string_view name, const std::string& value);
  LogField(std::string_view name, bool value);
  LogField(std::string_view name, double value);
  LogField(std::string_view name, std::int64_t value);
  LogField(std::string_view name, std::uint64_t value);
  LogField(std::string_view name, int value);
  LogField(std::string_view name, unsigned value);

  std::string name;
  // The value as JSON text.
  std::string json;
};

// Writes one JSON object as a line on standard error: time (Unix ms),
// severity, event number and name, then the fields.
void LogEvent(Severity severity,
              Event event,
              std::initializer_list<LogField> fields = {});

// Lines go to this descriptor from now on; standard error at first. It is made
// non-blocking: a reader that stops costs lines, never time. The next line that
// can be written has their number as `lost_lines`.
void SetLogDescriptor(int descriptor);

// Lines below `severity` are dropped. The default is kInfo.
void SetLogThreshold(Severity severity);

// ---------------------------------------------------------------------------
// Time

using Duration = std::chrono::nanoseconds;
// A point on the monotonic clock of this VM, which counts the time during which
// the VM is suspended. Differences are meaningful; absolute values are not, and
// they must not cross process boundaries. std::chrono::steady_clock has another
// origin after a suspension: waits take a duration, never a TimePoint.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// @return `duration` in whole milliseconds, rounded towards zero.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// @return `duration` times `factor`, rounded towards zero.
constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Source of time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  // @return wall time in milliseconds since the Unix epoch. It can jump.
  virtual std::int64_t WallTimeMs() const = 0;
};

// The clocks of the operating system.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  std::int64_t WallTimeMs() const override;
};

// A clock that moves only when told to. Thread-safe.
class ManualClock : public Clock {
 public:
  TimePoint Now() const override;
  std::int64_t WallTimeMs() const override;
  void Advance(Duration step);

 private:
  mutable std::mutex mutex;
  Duration elapsed{0};
};

// Identifies a subscription. 0 is never used.
using TimerId = std::uint64_t;

// Calls subscribers at deadlines.
class TimerService {
 public:
  virtual ~TimerService() = default;

  // Calls `callback` once, at or after `deadline`.
  virtual TimerId SubscribeOnce(TimePoint deadline,
                                std::function<void()> callback) = 0;

  // Calls `callback` every `period`, first after one period. A late call does
  // not cause a burst: the next one follows a full period later.
  virtual TimerId SubscribePeriodic(Duration period,
                                    std::function<void()> callback) = 0;

  // Does nothing for an unknown or finished subscription.
  virtual void Cancel(TimerId id) = 0;
};

// Ordered timers without a thread: the owner calls RunDue. Not thread-safe.
class TimerQueue : public TimerService {
 public:
  explicit TimerQueue(const Clock& clock);

  TimerId SubscribeOnce(TimePoint deadline,
                        std::function<void()> callback) override;
  TimerId SubscribePeriodic(Duration period,
                            std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Runs the callbacks whose deadline has passed.
  void RunDue();

  // @return the earliest deadline, or TimePoint::max() if there is none.
  TimePoint NextDeadline() const;

 private:
  struct Timer {
    TimerId id;
    Duration period;  // Zero for a one-time timer.
    std::function<void()> callback;
  };

  void Insert(TimePoint deadline, Timer timer);

  const Clock& clock;
  TimerId next_id = 1;
  std::multimap<TimePoint, Timer> timers;
  std::map<TimerId, TimePoint> deadlines;
};

// Runs posted tasks and timer callbacks one at a time on a thread of its own.
// All methods may be called from any thread.
class ControlThread : public TimerService {
 public:
  explicit ControlThread(const Clock& clock);
  // Stops the thread; tasks that have not started are dropped.
  ~ControlThread() override;
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  // Runs `task` on the thread, after the tasks posted before it. After Stop the
  // task is dropped.
  void Post(std::function<void()> task);

  // Runs `task` on the thread and waits for it. Called on the thread itself, it
  // runs `task` at once.
  void PostAndWait(const std::function<void()>& task);

  TimerId SubscribeOnce(TimePoint deadline,
                        std::function<void()> callback) override;
  TimerId SubscribePeriodic(Duration period,
                            std::function<void()> callback) override;
  void Cancel(TimerId id) override;

  // Ends the thread after the running task. Safe to call twice.
  void Stop();

 private:
  void Run();

  const Clock& clock;
  std::mutex mutex;
  std::condition_variable wake;
  std::deque<std::function<void()>> tasks;
  std::recursive_mutex timer_mutex;
  TimerQueue timers;
  bool stopping = false;
  std::thread thread;
};

// ---------------------------------------------------------------------------
// Process set-up

// Limits the memory that the C library keeps for each thread. Daemons call it
// before they start threads: with one allocation arena for each of about 100
// threads, a control replica with 96 followers held 195 MB instead of 43 MB.
void LimitAllocatorArenas();

// Blocks the signals that daemons await with sigwait: SIGTERM and SIGINT stop,
// SIGHUP reads the settings again. To be called before any thread starts.
// @return the blocked signals.
sigset_t BlockProcessSignals();

// ---------------------------------------------------------------------------
// Digests and identifiers

// @return the SHA-256 digest of `data` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view data);

// @return a 64-bit hash that is the same in every process and release. It is
// not safe against deliberate collisions.
std::uint64_t StableHash64(std::string_view data);

// @return 32 hexadecimal digits from the operating system's random source.
std::string RandomId();

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_BASE_H_
