// Admits requests of callers: determines route and tenant and starts
// forwarding.
#ifndef SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_
#define SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "gateway/caller_connection.h"
#include "gateway/forwarder.h"
#include "gateway/routes.h"

namespace sycamorebend::gateway {

class RouteHandler : public CallerHandler {
 public:
  // @param context must outlive the handler.
  explicit RouteHandler(ForwardContext& context);

  // Sets the table for requests that arrive from now on.
  void SetTable(std::shared_ptr<const RouteTable> new_table) {
    this->table = std::move(new_table);
  }
  // Sets the source of the time since a quorum confirmed that the table in
  // force is the newest; Duration::max() if it never did.
  // @param max_age a table that was confirmed longer ago is unconfirmed: a
  // newer one may be in force elsewhere.
  void SetConfirmationAge(std::function<Duration()> age, Duration max_age) {
    this->confirmation_age = std::move(age);
    this->max_confirmation_age = max_age;
  }
  // @return the table in force, or nullptr before the first one.
  const std::shared_ptr<const RouteTable>& Table() const { return this->table; }

  // Rejects requests that arrive from now on, since the process is stopping.
  void RejectNewRequests() { this->rejecting = true; }
  // Ends all requests without an end, since the process is about to end.
  void EndOpenRequests();

  void Handle(std::shared_ptr<CallerExchange> exchange) override;

 private:
  // Responds to a request that is not forwarded.
  void Reject(CallerExchange& exchange,
              const RequestFields& fields,
              int status,
              const std::string& reason);
  // Rejects a request that the table in force does not allow.
  void RejectByTable(CallerExchange& exchange,
                     const RequestFields& fields,
                     int status,
                     const std::string& reason);
  void Respond(CallerExchange& exchange, int status);

  // Calls `end` for all requests without an end.
  void ForEachOpen(void (Forwarder::*end)());
  // Withdraws the requests that crash servers from those that have not begun to
  // run them.
  void WithdrawQuarantined();

  ForwardContext& context;
  std::shared_ptr<const RouteTable> table;
  bool rejecting = false;
  std::function<Duration()> confirmation_age = [] { return Duration(0); };
  Duration max_confirmation_age = Duration::max();
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_ROUTE_HANDLER_H_
