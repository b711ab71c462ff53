// Orders engines for the services of the configuration that ask for it, while
// this control replica holds the duty. See docs/design/engine-scaling.md.
#ifndef SYCAMOREBEND_SRC_SCALING_ORDER_RUNNER_H_
#define SYCAMOREBEND_SRC_SCALING_ORDER_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/duties.h"
#include "sycamorebend/scaling.h"

namespace sycamorebend {

// Methods are called on the control thread, except where stated.
class EngineOrderRunner {
 public:
  // Reads the rules of all services from a configuration document.
  using RulesReader = std::function<std::map<std::string, ScalingRules>(
      const Json::Value& document)>;
  using SharedReader = std::function<std::shared_ptr<const SharedState>()>;

  // The references must outlive the runner.
  EngineOrderRunner(DutyHolder& holder,
                    DemandSource& demand,
                    DutyApi& api,
                    SharedReader shared,
                    RulesReader read_rules,
                    const Clock& clock);

  // Decides and sends orders. To be called every 200 ms.
  void Tick();

  // @return the services with their last decisions, for operators. Thread-safe.
  Json::Value StatusReport() const;

 private:
  struct Service {
    ScalingRules rules;
    std::unique_ptr<EngineScaler> scaler;
    std::string hold_reason;
    // By outcome.
    std::map<OrderOutcome, std::uint64_t> orders;
  };

  void ReadRules(const SharedState& state);
  void Decide(const std::string& name,
              Service& service,
              const SharedState& state,
              const DemandReport& report);
  void Send(const std::string& name, const EngineOrder& order);
  void OnResult(const std::string& name,
                const EngineOrder& order,
                DutyCallResult result);
  void EndOrder(const std::string& name,
                const EngineOrder& order,
                OrderOutcome outcome);
  void Publish();

  DutyHolder& holder;
  DemandSource& demand;
  DutyApi& api;
  const SharedReader shared;
  const RulesReader read_rules;
  const Clock& clock;
  std::optional<std::uint64_t> configuration_version;
  std::map<std::string, Service> services;
  // Callbacks of calls that end after this object find it expired.
  const std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  mutable std::mutex mutex;
  Json::Value report = Json::Value(Json::objectValue);
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_SCALING_ORDER_RUNNER_H_
