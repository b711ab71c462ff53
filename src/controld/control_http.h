// HTTP interface of a control replica: RPC, health and metrics.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_

#include <memory>
#include <string>

#include "controld/control_service.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

// Calls that can run at the same time, by kind. Calls of one kind do not wait
// for those of another: proposals hold a thread until messages between replicas
// have committed them, and polls are held for half a second.
struct ControlThreads {
  int raft = 4;
  int feed = 96;
  int other = 64;
};

class ControlHttp : public HttpHandler {
 public:
  ControlHttp(ControlService& service, const ControlThreads& threads);

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void Get(HttpExchange& exchange);

  ControlService& service;
  const std::unique_ptr<RpcServer> raft_calls;
  const std::unique_ptr<RpcServer> feed_calls;
  const std::unique_ptr<RpcServer> other_calls;
};

// @return the replica's figures in the Prometheus text format.
std::string ControlMetrics(const ControlService& service);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
