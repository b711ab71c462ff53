// RPC methods of an entry daemon: entry.status, entry.servers, entry.explain
// and feed.poll.
#ifndef SYCAMOREBEND_SRC_ENTRY_RPC_API_H_
#define SYCAMOREBEND_SRC_ENTRY_RPC_API_H_

#include <atomic>
#include <optional>
#include <string>

#include "entry/request_router.h"
#include "entry/settings.h"
#include "entry/shared_view.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend::entry {

class RpcApi : public RpcService {
 public:
  // All references must outlive this object.
  RpcApi(const EntrySettings& settings,
         const SharedView& view,
         RequestRouter& router,
         ControlThread& control,
         const Clock& clock,
         const std::atomic<bool>& draining);

  // feed.poll fails with kConfigurationUnconfirmed while no follower is set.
  void SetFollower(FeedFollower* follower) { this->follower.store(follower); }

  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override;
  std::optional<Result<HttpBody>> CallEncoded(
      const std::string& method,
      const Json::Value& params) override;

 private:
  Json::Value Status();
  Json::Value Servers();
  Result<Json::Value> Explain(const Json::Value& params);

  const EntrySettings& settings;
  const SharedView& view;
  RequestRouter& router;
  ControlThread& control;
  const Clock& clock;
  const std::atomic<bool>& draining;
  std::atomic<FeedFollower*> follower{nullptr};
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_RPC_API_H_
