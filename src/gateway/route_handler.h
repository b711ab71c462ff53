// Admits callers' requests: finds their routes and tenants and forwards them.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_
#define SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_

#include <memory>
#include <string>

#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "gateway/routes.h"

namespace sycamorebend::gateway {

class RouteHandler : public CallerHandler {
 public:
  // @param context must outlive the handler.
  explicit RouteHandler(ForwardContext& context) : context(context) {}

  // Requests that arrive from now on follow `new_table`.
  void SetTable(std::shared_ptr<const RouteTable> new_table) {
    this->table = std::move(new_table);
  }
  // @return the table in force, or nullptr before the first one.
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }

  // Refuses requests that arrive from now on: the process stops.
  void RefuseNew() { this->refusing = true; }

  void Handle(std::shared_ptr<CallerExchange> exchange) override;

 private:
  // Answers a request that is not forwarded.
  void Reject(CallerExchange& exchange,
              const RequestFields& fields,
              int status,
              const std::string& reason);

  ForwardContext& context;
  std::shared_ptr<const RouteTable> table;
  bool refusing = false;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_
