// Records of orders: calls that must run at most once.
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

  // Applies `order.begin`.
  // @return {granted, record}.
  Result<Json::Value> Begin(const Json::Value& command, std::int64_t now_ms);
  // Applies `order.finish`.
  // @return {record}.
  Result<Json::Value> Finish(const Json::Value& command);

  // @return the record, or kNotFound.
  Result<Json::Value> Get(const std::string& customer,
                          const std::string& key) const;

  // Drops answers and records whose time is over.
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
    // Past the retention time; only the use of the key is remembered.
    bool expired = false;
    // The answer was too large, or was dropped to make room for newer ones.
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
  Result<Json::Value> BeginAgain(const Order& order,
                                 const std::string& key,
                                 const std::string& body_digest,
                                 const std::string& attempt_id) const;
  void Store(const std::string& id, Order& order, const Json::Value& response);
  void DropResponse(Order& order);
  Status MakeRoom();

  const ControlLimits& limits;
  std::unordered_map<std::string, Order> orders;
  // IDs in the order in which they began: first those past the retention
  // time, then the others.
  std::deque<std::string> expired;
  std::deque<std::string> live;
  // IDs with a stored response, oldest first. Can name dropped responses.
  std::deque<std::string> answered;
  std::size_t response_bytes = 0;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_ORDER_TABLE_H_
