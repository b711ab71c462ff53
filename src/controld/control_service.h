// RPC methods of a control replica. See docs/design.md, section 3.9.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include <json/value.h>

#include "sycamorebend/consensus.h"
#include "sycamorebend/control.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

class ControlService : public RpcService {
 public:
  // The references must outlive the service.
  ControlService(ControlState& state, FeedSource& feed, const Clock& clock);

  // Takes the log. Calls are refused before that.
  void SetLog(ReplicatedLogService& new_log);

  // Refuses further changes with kShuttingDown; messages between replicas are
  // still accepted, so that leadership can be handed over.
  void StopChanges();

  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override;

  // Calls so far by method and result code. Unknown methods are counted as
  // "other".
  using CallCounts =
      std::map<std::pair<std::string, ResultCode>, std::uint64_t>;
  CallCounts Calls() const;

  // Leader: proposes what follows from time and from the replica set. To be
  // called every 200 ms.
  void Tick();

  // @return true if a quorum confirmed this replica's state recently.
  bool Ready() const;

  // @return what `control.status` answers.
  Result<Json::Value> StatusReport() const;

 private:
  using Method = Result<Json::Value> (ControlService::*)(const Json::Value&);

  static const std::map<std::string, Method>& Methods();
  Result<Json::Value> Dispatch(const std::string& method,
                               const Json::Value& params);

  Result<Json::Value> Apply(const Json::Value& params);
  Result<Json::Value> DryRun(const Json::Value& params);
  Result<Json::Value> Show(const Json::Value& params);
  Result<Json::Value> History(const Json::Value& params);
  Result<Json::Value> Drain(const Json::Value& params);
  Result<Json::Value> Undrain(const Json::Value& params);
  Result<Json::Value> ChangeReplicas(const Json::Value& params);
  Result<Json::Value> BeginOrder(const Json::Value& params);
  Result<Json::Value> FinishOrder(const Json::Value& params);
  Result<Json::Value> GetOrder(const Json::Value& params);
  Result<Json::Value> ReportFinding(const Json::Value& params);
  Result<Json::Value> TakeFence(const Json::Value& params);

  // Proposes `params` as a command of `type` and waits for the answer.
  Result<Json::Value> Propose(const std::string& type, Json::Value params);
  // Waits until this replica's state is current.
  Status Barrier();
  void ProposeOnce(const std::string& type, Json::Value command);

  struct InFlight {
    std::mutex mutex;
    std::set<std::string> types;
  };

  ControlState& state;
  FeedSource& feed;
  const Clock& clock;
  std::atomic<ReplicatedLogService*> log{nullptr};
  std::atomic<bool> stopping{false};
  mutable std::mutex counts_mutex;
  CallCounts counts;
  const std::shared_ptr<InFlight> in_flight = std::make_shared<InFlight>();
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_SERVICE_H_
