// Access to the records of orders at the control replicas.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_STORE_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/leader_rpc_client.h"
#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// Identifies an order and this daemon's attempt at it.
struct OrderIdentity {
  std::string customer;
  std::string key;
  std::string body_digest;
  std::string attempt_id;
  std::string entry_id;
  // When the caller created the key, in milliseconds since the Unix epoch.
  std::optional<std::uint64_t> created_ms;
};

enum class OrderState : int { kStarted = 0, kRan = 1, kNotRun = 2 };

struct OrderRecord {
  OrderState state = OrderState::kStarted;
  // The stored response of an order that ran.
  HttpResponse response;
  // The response was too large to be stored, or was dropped later.
  bool response_dropped = false;
};

struct BeginOrderResult {
  // This attempt, and no other, may send the order.
  bool granted = false;
  OrderRecord record;
};

// Each callback runs once, on any thread, and must not block.
class OrderStore {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~OrderStore() = default;

  virtual void Begin(const OrderIdentity& identity,
                     TimePoint deadline,
                     Callback<BeginOrderResult> callback) = 0;
  // Records kRan with `response`, or kNotRun.
  virtual void Finish(const OrderIdentity& identity,
                      OrderState state,
                      const HttpResponse& response,
                      TimePoint deadline,
                      Callback<OrderRecord> callback) = 0;
  virtual void Get(const OrderIdentity& identity,
                   TimePoint deadline,
                   Callback<OrderRecord> callback) = 0;
};

// @param control_client must outlive the store and its pending calls.
std::unique_ptr<OrderStore> MakeOrderStore(ControlRpcClient& control_client);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_STORE_H_
