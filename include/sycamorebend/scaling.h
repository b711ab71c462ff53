// Decision how many engines of a service to order in each failure domain and
// of each kind. Nothing here starts threads, does I/O or reads a clock. See
// docs/design/engine-scaling.md.
#ifndef SYCAMOREBEND_SCALING_H_
#define SYCAMOREBEND_SCALING_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Kinds of engines that can be ordered.
enum class EngineKind {
  kOrdinary = 0,
  // The platform may reclaim all of a failure domain at short notice.
  kReclaimable = 1,
};

// @return the name of `kind` in logs and metrics.
std::string_view EngineKindName(EngineKind kind);

// What the operators' configuration allows for one service.
struct ScalingRules {
  // Limits for the engines of both kinds together in one failure domain.
  int min_engines = 1;
  int max_engines = 1;
  // Time from an order until a new engine serves.
  Duration startup = seconds(4);
  // Price of a reclaimable engine relative to an ordinary one; not set if there
  // are no reclaimable engines.
  std::optional<double> reclaimable_price;
  // Price of an ordinary engine for one second, by failure domain. The price in
  // a domain that is not listed is 1.
  std::map<std::string, double> domain_prices;
};

bool operator==(const ScalingRules& a, const ScalingRules& b);

// Engines of one kind in one failure domain, as announced.
struct EngineCounts {
  int serving = 0;
  // No longer announce themselves but may still work.
  int silent = 0;
  // Finish their work and will leave.
  int leaving = 0;

  // Engines that are expected to stay.
  int Staying() const { return this->serving + this->silent; }
};

// Failure domain and kind.
using EngineGroup = std::pair<std::string, EngineKind>;

// Demand for one service, as reported by the gateways.
struct ServiceDemand {
  double requests_per_s = 0;
  double prompt_tokens_per_s = 0;
  double output_tokens_per_s = 0;
  double refused_per_s = 0;
  double late_per_s = 0;
  // Mean time to the first byte divided by its target; 0 without responses.
  double first_byte_of_target = 0;
  // Live gateways, and those of them whose reports are included.
  std::size_t gateways = 0;
  std::size_t reporting_gateways = 0;
  Duration oldest_report_age{0};
};

struct ScalingInput {
  std::map<EngineGroup, EngineCounts> engines;
  // Not set if nothing was reported.
  std::optional<ServiceDemand> demand;
};

// The number of engines of one kind to have in one failure domain.
struct EngineOrder {
  std::string failure_domain;
  EngineKind kind = EngineKind::kOrdinary;
  int count = 0;
  // For logs and operators.
  std::string reason;
};

enum class OrderOutcome {
  kAccepted = 0,
  // Not available at the moment, or superseded.
  kRejected = 1,
  // May still be executed later.
  kUnknown = 2,
  // The holder has no valid right to order at the moment.
  kNotSent = 3,
  // The rate limit of the platform was exceeded.
  kLimited = 4,
};

// @return the name of `outcome` in logs and metrics.
std::string_view OrderOutcomeName(OrderOutcome outcome);

// State of a scaler for operators.
struct ScalingStatus {
  // Work of the last seconds, of the steady load and of the expected peak, in
  // engines that are fully used at the learned capacity.
  double present_engines = 0;
  double steady_engines = 0;
  double peak_engines = 0;
  // Learned capacity relative to the starting value.
  double capacity = 1;
  // Why no engine may be removed at the moment; empty if some may.
  std::string hold_reason;
  struct Group {
    int announced = 0;
    int ordered = 0;
    // Not available at the last attempt.
    bool refused = false;
    std::string reason;  // Of the last order.
  };
  std::map<EngineGroup, Group> groups;
};

// Decides for one service. Not thread-safe.
class EngineScaler {
 public:
  static std::unique_ptr<EngineScaler> Create(ScalingRules rules);
  virtual ~EngineScaler() = default;

  // Replaces the rules; what was learned is kept.
  virtual void SetRules(const ScalingRules& rules) = 0;

  // @return the orders to send now: none if the last decision is less than a
  // second ago. A group has no further order until OnOutcome was called.
  virtual std::vector<EngineOrder> Decide(const ScalingInput& input,
                                          TimePoint now) = 0;

  virtual void OnOutcome(const EngineOrder& order,
                         OrderOutcome outcome,
                         TimePoint now) = 0;

  virtual ScalingStatus Status() const = 0;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SCALING_H_
