// Records of orders, which are requests that must be executed at most once.
#ifndef SYCAMOREBEND_SRC_CONTROL_ORDER_TABLE_H_
#define SYCAMOREBEND_SRC_CONTROL_ORDER_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class OrderTable {
 public:
  explicit OrderTable(const ControlLimits& limits) : limits(limits) {}

  // Applies `order.begin`: records a new order, or looks up an existing one.
  // @return {granted, record}; `granted` is true if the attempt may execute the
  // order.
  Result<Json::Value> Begin(const Json::Value& command, std::int64_t now_ms);
  // Applies `order.finish`: records the outcome of an order. Only the attempt
  // that was granted the order can do so.
  // @return {record}.
  Result<Json::Value> Finish(const Json::Value& command);

  // @return the record, or kNotFound.
  Result<Json::Value> Get(const std::string& customer,
                          const std::string& key) const;

  // Drops the responses of orders past the retention time, and later their
  // records.
  void Expire(std::int64_t now_ms);
  bool HasExpired(std::int64_t now_ms) const;

  std::size_t Size() const { return this->orders.size(); }
  std::size_t ResponseBytes() const { return this->response_bytes; }

  using RecordSink = std::function<void(std::string_view)>;
  // Passes each record of the table to `write`.
  void Save(const RecordSink& write) const;
  // @return false if the record is damaged.
  bool Load(std::string_view record);

 private:
  enum class State : int { kStarted = 0, kRan = 1, kNotRun = 2 };

  struct Order {
    State state = State::kStarted;
    // Past the retention time. The response is dropped; the key counts as used.
    bool expired = false;
    // The response was too large, or was dropped to make room for newer ones.
    bool response_dropped = false;
    std::int64_t begun_ms = 0;
    std::int64_t status = 0;
    std::string body_digest;
    std::string attempt_id;
    std::string entry_id;
    std::string response;  // JSON text; empty if there is none.
  };

  static std::string Id(const std::string& customer, const std::string& key);
  static Json::Value Describe(const Order& order);
  Result<Json::Value> BeginExisting(const Order& order,
                                    const std::string& key,
                                    const std::string& body_digest,
                                    const std::string& attempt_id) const;
  void Store(const std::string& id, Order& order, const Json::Value& response);
  void DropResponse(Order& order);
  Status EnsureCapacity();

  const ControlLimits& limits;
  std::unordered_map<std::string, Order> orders;
  // IDs of all orders by start time: `expired` holds those past the retention
  // time, `active` the later ones.
  std::deque<std::string> expired;
  std::deque<std::string> active;
  // IDs of orders with a stored response, oldest first. May contain orders
  // whose response was dropped since.
  std::deque<std::string> stored_responses;
  std::size_t response_bytes = 0;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_ORDER_TABLE_H_
