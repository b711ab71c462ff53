// The records of orders that the control replicas keep.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_LEDGER_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_LEDGER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/leader_calls.h"
#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend::entry {

// What identifies an order and this daemon's attempt at it.
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
  // The stored answer of an order that ran.
  HttpResponse response;
  // The answer was too large or too old to keep.
  bool response_dropped = false;
};

struct OrderBegun {
  // This attempt, and no other, may send the order.
  bool granted = false;
  OrderRecord record;
};

// Callbacks run once, on any thread; must not block.
class OrderLedger {
 public:
  template <typename T>
  using Callback = std::function<void(Result<T>)>;

  virtual ~OrderLedger() = default;

  virtual void Begin(const OrderIdentity& identity,
                     TimePoint deadline,
                     Callback<OrderBegun> callback) = 0;
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

// @param calls must outlive the ledger and its calls.
std::unique_ptr<OrderLedger> MakeOrderLedger(ControlRpcClient& calls);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_LEDGER_H_
