// Duties: calls to the platform's API that one VM at a time may send. See
// docs/design/duties.md.
#ifndef SYCAMOREBEND_DUTIES_H_
#define SYCAMOREBEND_DUTIES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "sycamorebend/base.h"

namespace sycamorebend {

enum class Duty { kUsage = 0, kServerOrders = 1 };
inline constexpr std::array<Duty, 2> kDuties = {Duty::kUsage,
                                                Duty::kServerOrders};

// @return the name of `duty` in the control state, logs and metrics.
std::string_view DutyName(Duty duty);
// @return the duty of that name, or nothing.
std::optional<Duty> FindDuty(std::string_view name);

// The right to send the calls of a duty.
struct DutyGrant {
  Duty duty = Duty::kUsage;
  // Name of the VM that holds the duty.
  std::string holder;
  std::uint64_t fencing_token = 0;
  // On the clock of this VM: no call may begin later. Calls check it again
  // directly before their first byte is sent.
  TimePoint valid_until = TimePoint::max();
};

enum class DutyCallResult {
  kAccepted = 0,
  // A higher token was seen, or what was ordered is not available.
  kRejected = 1,
  // The rate limit of the platform was exceeded.
  kLimited = 2,
  // There was no response, or an error of the platform. The call may still be
  // executed later.
  kUnknown = 3,
  // Not a single byte was sent: the grant had expired, the own rate limit was
  // reached, or there was no connection. The call cannot be executed later.
  kNotSent = 4,
};
inline constexpr std::size_t kDutyCallResults = 5;

// @return the name of `result` in logs and metrics.
std::string_view DutyCallResultName(DutyCallResult result);

// Number of requests that began to run in one window, by customer.
struct UsageRecord {
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t> counts;
};

// Number of servers of a service that are wanted in one failure domain.
struct ServerOrder {
  std::string service;
  std::string failure_domain;
  int count = 0;
  // The servers may be reclaimed by the platform at short notice.
  bool reclaimable = false;
  // For operators; not sent.
  std::string reason;
};

// How a control replica performs duties.
struct DutyOptions {
  // Name of this VM.
  std::string self;
  // The duties of this deployment.
  std::set<Duty> duties;
  // Different VMs must not act on a duty alternately within this time.
  Duration lease = seconds(3);
  // A longer pause of the process counts as a suspension, after which it
  // confirms its leadership before it acts.
  Duration suspension = milliseconds(300);
  // Length of the windows of usage, and the time after the end of one at which
  // its report is due.
  Duration usage_window = seconds(5);
  Duration usage_delay = seconds(10);
};

// Calls of the platform's API.
class DutyApi {
 public:
  using Callback = std::function<void(DutyCallResult)>;

  virtual ~DutyApi() = default;

  // The callback runs once, on any thread.
  virtual void ReportUsage(const DutyGrant& grant,
                           const UsageRecord& record,
                           Callback callback) = 0;
  virtual void OrderServers(const DutyGrant& grant,
                            const ServerOrder& order,
                            Callback callback) = 0;
};

// The duties that this VM holds. Called on the control thread.
class DutyHolder {
 public:
  virtual ~DutyHolder() = default;

  // @return the grant if this VM may act on it now, or nothing. Must be asked
  // directly before each call.
  virtual std::optional<DutyGrant> Current(Duty duty) = 0;

  // Takes a higher token before the next call; Current returns nothing until it
  // is committed.
  virtual void Renew(Duty duty) = 0;
};

// Demand for a service, as the sum over the live gateways.
struct ServiceDemandReport {
  double requests_per_s = 0;
  double prompt_tokens_per_s = 0;
  double output_tokens_per_s = 0;
  // Requests refused for lack of capacity.
  double refused_per_s = 0;
  // Requests that missed their latency target.
  double late_per_s = 0;
  // Mean time to the first byte divided by its target; 0 without responses.
  double first_byte_of_target = 0;
};

// Demand of all services over the last second.
struct DemandReport {
  std::map<std::string, ServiceDemandReport> services;
  // Live gateways, and those of them whose reports are included.
  std::size_t gateways = 0;
  std::size_t reporting_gateways = 0;
  // Age of the oldest report that is included; 0 if there is none.
  Duration oldest_report_age{0};
};

// Source of demand at the leader of the control replicas. Called on the control
// thread.
class DemandSource {
 public:
  virtual ~DemandSource() = default;

  // @return the demand, or nothing if this replica is not the leader.
  virtual std::optional<DemandReport> CurrentDemand() = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_DUTIES_H_
