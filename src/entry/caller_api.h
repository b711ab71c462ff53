// HTTP interface for callers: completions, calls of plain services, the list of
// models and the list of entry daemon addresses.
#ifndef SYCAMOREBEND_SRC_ENTRY_CALLER_API_H_
#define SYCAMOREBEND_SRC_ENTRY_CALLER_API_H_

#include <atomic>
#include <memory>

#include "entry/order_session.h"
#include "entry/proxy_session.h"
#include "entry/request_router.h"
#include "entry/settings.h"
#include "entry/shared_view.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

class CallerApi {
 public:
  // All references must outlive this object.
  CallerApi(const EntrySettings& settings,
            const SharedView& view,
            RequestRouter& router,
            ControlThread& control,
            HttpClient& client,
            std::shared_ptr<OrderContext> orders,
            const Clock& clock,
            Metrics& metrics);

  void Handle(std::shared_ptr<HttpExchange> exchange);

  // Rejects all further requests with kShuttingDown, which advises the caller
  // to use another address.
  void RejectNewRequests() { this->rejecting_new_requests.store(true); }

 private:
  void ServeAddresses(HttpExchange& exchange);
  void ServeModels(const std::shared_ptr<HttpExchange>& exchange,
                   const Policy& policy);
  void Route(const std::shared_ptr<HttpExchange>& exchange,
             const Policy& policy);
  std::shared_ptr<CallerSession> MakeSession(
      CallerRequest request,
      const std::shared_ptr<HttpExchange>& exchange);
  // Responds with the error, logs it and counts it.
  void Reject(HttpExchange& exchange, const Error& error);

  const EntrySettings& settings;
  const SharedView& view;
  RequestRouter& router;
  ControlThread& control;
  HttpClient& client;
  const std::shared_ptr<OrderContext> orders;
  const Clock& clock;
  Metrics& metrics;
  std::atomic<bool> rejecting_new_requests{false};
  // Starts at a random number, so that daemons that start together do not send
  // their callers to the same address.
  std::atomic<std::uint64_t> next_address_rotation;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_CALLER_API_H_
