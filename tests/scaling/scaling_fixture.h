// Engines of three failure domains that follow the orders of a scaler.
#ifndef SYCAMOREBEND_TESTS_SCALING_SCALING_FIXTURE_H_
#define SYCAMOREBEND_TESTS_SCALING_SCALING_FIXTURE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "sycamorebend/scaling.h"

namespace sycamorebend {

struct ScalingFixture {
  ScalingFixture();

  // Decides and lets engines start and leave, each second.
  // @param requests long prompts per second.
  void Run(int seconds_to_run, double requests);
  void Step(double requests);

  // Reclaims the reclaimable engines of a failure domain, with notice.
  void Reclaim(const std::string& domain);

  int Serving(EngineKind kind) const;
  int Serving(const std::string& domain, EngineKind kind) const;
  int All() const;

  // Orders that were sent so far, also refused ones.
  std::vector<EngineOrder> orders;

  // What the platform does.
  std::set<EngineGroup> unavailable;
  bool engines_crash = false;
  OrderOutcome outcome = OrderOutcome::kAccepted;
  // Sets the number in a group without an order of the scaler.
  std::map<EngineGroup, int> desired;

  // What gateways report.
  double prompt_tokens = 9190;
  // Share of late responses, and the load of an engine from which a third is
  // late: somewhat less than 90 engines have in a burst.
  double late_share = 0;
  double engine_limit = 45000;  // Prompt tokens per second.
  std::size_t reporting_gateways = 90;
  Duration report_age = milliseconds(500);
  bool reports = true;

  ScalingRules rules;
  TimePoint now{seconds(1000)};
  std::unique_ptr<EngineScaler> scaler;

 private:
  struct Starting {
    TimePoint ready_at;
    EngineGroup group;
    int count = 0;
  };

  ScalingInput Input(double requests) const;
  void Execute(const EngineOrder& order);
  void FollowDesired();
  void Remove(const EngineGroup& group, int count);

  std::map<EngineGroup, EngineCounts> engines;
  // When the leaving engines of a group are gone.
  std::map<EngineGroup, TimePoint> gone_at;
  std::vector<Starting> starting;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_SCALING_SCALING_FIXTURE_H_
