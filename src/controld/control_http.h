// HTTP interface of a control replica: RPC, health and metrics.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_

#include <memory>
#include <string>

#include "controld/control_service.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

// Maximum number of concurrent calls of each kind. Each kind has its own
// threads, so that it does not wait for another: proposals hold a thread until
// Raft messages have committed them, and feed polls wait for up to half a
// second.
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

// @return the replica's metrics in the Prometheus text format.
std::string ControlMetrics(const ControlService& service);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
