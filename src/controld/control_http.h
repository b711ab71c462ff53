// HTTP interface of a control replica: RPC, health and metrics.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_

#include <memory>
#include <string>

#include "controld/control_service.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

class ControlHttp : public HttpHandler {
 public:
  // @param rpc_threads calls that can run at the same time.
  ControlHttp(ControlService& service, int rpc_threads);

  void Handle(std::shared_ptr<HttpExchange> exchange) override;

 private:
  void Get(HttpExchange& exchange);

  ControlService& service;
  const std::unique_ptr<RpcServer> rpc_server;
};

// @return the replica's figures in the Prometheus text format.
std::string ControlMetrics(const ControlService& service);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_HTTP_H_
