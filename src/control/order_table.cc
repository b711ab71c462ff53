#include "control/order_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "control/field_reader.h"
#include "control/record_codec.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

constexpr std::size_t kMaxKeyBytes = 255;
// A creation time from further in the future would let a key outlive its
// record.
constexpr std::int64_t kFutureToleranceMs = 5LL * 60 * 1000;

constexpr const char* kStateNames[] = {"started", "ran", "not_run"};

Error KeyExpired(const std::string& key) {
  return MakeError(ResultCode::kOrderKeyExpired,
                   fmt::format("idempotency key \"{}\" is older than the "
                               "retention time",
                               key));
}

Status CheckKey(const Json::Value& command) {
  const Json::Value& key = command["key"];
  if (key.isNull() || (key.isString() && key.asString().empty())) {
    return MakeError(ResultCode::kOrderKeyMissing);
  }
  if (!key.isString() || key.asString().size() > kMaxKeyBytes) {
    return MakeError(
        ResultCode::kOrderKeyInvalid,
        fmt::format("an idempotency key has 1 to {} bytes", kMaxKeyBytes));
  }
  return Success();
}

}  // namespace

std::string OrderTable::Id(const std::string& customer,
                           const std::string& key) {
  return fmt::format("{}:{}{}", customer.size(), customer, key);
}

Json::Value OrderTable::Describe(const Order& order) {
  Json::Value record;
  record["state"] = kStateNames[static_cast<int>(order.state)];
  record["attempt_id"] = order.attempt_id;
  record["entry_id"] = order.entry_id;
  record["begun_ms"] = Json::Int64(order.begun_ms);
  if (order.state == State::kRan) {
    record["status"] = Json::Int64(order.status);
    record["response_dropped"] = order.response_dropped;
    const Result<Json::Value> response = ParseJson(order.response);
    record["response"] = response ? response.value() : Json::Value();
  }
  return record;
}

Result<Json::Value> OrderTable::Begin(const Json::Value& command,
                                      std::int64_t now_ms) {
  BOOST_OUTCOME_TRY(CheckKey(command));
  FieldReader reader(command);
  const std::string customer = reader.Name("customer");
  const std::string key = reader.Name("key");
  Order order;
  order.body_digest = reader.Name("body_digest");
  order.attempt_id = reader.Name("attempt_id");
  order.entry_id = reader.Name("entry_id");
  order.begun_ms = now_ms;
  const auto created_ms = static_cast<std::int64_t>(
      reader.OptionalUnsigned("created_ms").value_or(now_ms));
  BOOST_OUTCOME_TRY(reader.Finish());
  const std::string id = Id(customer, key);
  const auto found = this->orders.find(id);
  if (found != this->orders.end()) {
    return this->BeginAgain(found->second, key, order.body_digest,
                            order.attempt_id);
  }
  if (now_ms - created_ms > this->limits.order_retention_ms) {
    return KeyExpired(key);
  }
  if (created_ms - now_ms > kFutureToleranceMs) {
    return MakeError(ResultCode::kOrderKeyInvalid,
                     "the key's creation time is more than 5 minutes ahead of "
                     "the leader's clock");
  }
  BOOST_OUTCOME_TRY(this->MakeRoom());
  Json::Value answer;
  answer["granted"] = true;
  answer["record"] = Describe(order);
  this->orders.emplace(id, std::move(order));
  this->live.push_back(id);
  return answer;
}

Result<Json::Value> OrderTable::BeginAgain(
    const Order& order,
    const std::string& key,
    const std::string& body_digest,
    const std::string& attempt_id) const {
  if (order.body_digest != body_digest) {
    return MakeError(ResultCode::kOrderKeyReused,
                     fmt::format("idempotency key \"{}\" was used with a "
                                 "different request",
                                 key));
  }
  if (order.expired) {
    return KeyExpired(key);
  }
  Json::Value answer;
  // The same attempt asks again when the first answer was lost. It still is
  // the only attempt that may send.
  answer["granted"] =
      order.state == State::kStarted && order.attempt_id == attempt_id;
  answer["record"] = Describe(order);
  return answer;
}

Result<Json::Value> OrderTable::Finish(const Json::Value& command) {
  BOOST_OUTCOME_TRY(CheckKey(command));
  FieldReader reader(command);
  const std::string customer = reader.Name("customer");
  const std::string key = reader.Name("key");
  const std::string attempt_id = reader.Name("attempt_id");
  const std::string state = reader.Name("state");
  const auto status =
      static_cast<std::int64_t>(reader.OptionalUnsigned("status").value_or(0));
  const bool dropped = reader.OptionalBool("response_dropped");
  if (state != "ran" && state != "not_run") {
    reader.Reject("state", "\"ran\" or \"not_run\"");
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  const std::string id = Id(customer, key);
  const auto found = this->orders.find(id);
  if (found == this->orders.end()) {
    return MakeError(ResultCode::kNotFound,
                     fmt::format("there is no order with key \"{}\"", key));
  }
  Order& order = found->second;
  const State wanted = state == "ran" ? State::kRan : State::kNotRun;
  if (order.attempt_id != attempt_id) {
    return MakeError(ResultCode::kOrderNotHolder,
                     fmt::format("attempt \"{}\" holds the right to order "
                                 "\"{}\"",
                                 order.attempt_id, key));
  }
  if (order.state == State::kStarted) {
    order.state = wanted;
    order.status = status;
    order.response_dropped = dropped;
    if (wanted == State::kRan) {
      this->Store(id, order, command["response"]);
    }
  } else if (order.state != wanted) {
    return MakeError(ResultCode::kOrderNotHolder,
                     fmt::format("order \"{}\" is already recorded as {}", key,
                                 kStateNames[static_cast<int>(order.state)]));
  }
  Json::Value answer;
  answer["record"] = Describe(order);
  return answer;
}

void OrderTable::Store(const std::string& id,
                       Order& order,
                       const Json::Value& response) {
  if (response.isNull()) {
    return;
  }
  std::string text = WriteJson(response);
  // An expired record's answer would never be dropped again.
  if (order.expired || text.size() > this->limits.max_order_response_bytes) {
    order.response_dropped = true;
    return;
  }
  this->response_bytes += text.size();
  order.response = std::move(text);
  this->answered.push_back(id);
  while (this->response_bytes > this->limits.max_total_order_response_bytes) {
    const auto oldest = this->orders.find(this->answered.front());
    if (oldest != this->orders.end()) {
      this->DropResponse(oldest->second);
    }
    this->answered.pop_front();
  }
}

void OrderTable::DropResponse(Order& order) {
  if (order.response.empty()) {
    return;
  }
  this->response_bytes -= order.response.size();
  order.response.clear();
  order.response.shrink_to_fit();
  order.response_dropped = true;
}

Status OrderTable::MakeRoom() {
  if (this->live.size() >= this->limits.orders) {
    return MakeError(ResultCode::kStorageFull,
                     fmt::format("{} orders are recorded; no more are accepted "
                                 "until some pass the retention time",
                                 this->live.size()));
  }
  if (this->orders.size() >= this->limits.orders) {
    this->orders.erase(this->expired.front());
    this->expired.pop_front();
  }
  return Success();
}

void OrderTable::Expire(std::int64_t now_ms) {
  const std::int64_t expires_ms = now_ms - this->limits.order_retention_ms;
  const std::int64_t forgets_ms =
      expires_ms - this->limits.order_key_retention_ms;
  while (!this->live.empty() &&
         this->orders[this->live.front()].begun_ms < expires_ms) {
    Order& order = this->orders[this->live.front()];
    this->DropResponse(order);
    order.expired = true;
    this->expired.push_back(std::move(this->live.front()));
    this->live.pop_front();
  }
  while (!this->expired.empty() &&
         this->orders[this->expired.front()].begun_ms < forgets_ms) {
    this->orders.erase(this->expired.front());
    this->expired.pop_front();
  }
  while (!this->answered.empty()) {
    const auto oldest = this->orders.find(this->answered.front());
    if (oldest != this->orders.end() && !oldest->second.response.empty()) {
      break;
    }
    this->answered.pop_front();
  }
}

bool OrderTable::HasExpired(std::int64_t now_ms) const {
  const std::int64_t expires_ms = now_ms - this->limits.order_retention_ms;
  const std::int64_t forgets_ms =
      expires_ms - this->limits.order_key_retention_ms;
  return (!this->live.empty() &&
          this->orders.at(this->live.front()).begun_ms < expires_ms) ||
         (!this->expired.empty() &&
          this->orders.at(this->expired.front()).begun_ms < forgets_ms);
}

Result<Json::Value> OrderTable::Get(const std::string& customer,
                                    const std::string& key) const {
  const auto found = this->orders.find(Id(customer, key));
  if (found == this->orders.end()) {
    return MakeError(ResultCode::kNotFound,
                     fmt::format("there is no order with key \"{}\"", key));
  }
  if (found->second.expired) {
    return KeyExpired(key);
  }
  return Describe(found->second);
}

void OrderTable::Save(const RecordSink& write) const {
  std::string bytes;
  const auto save = [&](const std::string& id) {
    const Order& order = this->orders.at(id);
    bytes.clear();
    RecordWriter record(bytes);
    record.Text(id);
    record.Number(static_cast<std::uint64_t>(order.state));
    record.Number(order.expired ? 1 : 0);
    record.Number(order.response_dropped ? 1 : 0);
    record.Number(static_cast<std::uint64_t>(order.begun_ms));
    record.Number(static_cast<std::uint64_t>(order.status));
    record.Text(order.body_digest);
    record.Text(order.attempt_id);
    record.Text(order.entry_id);
    record.Text(order.response);
    write(bytes);
  };
  std::for_each(this->expired.begin(), this->expired.end(), save);
  std::for_each(this->live.begin(), this->live.end(), save);
  // The sequence in which answers are dropped is part of the state. A record of
  // one text is a step of it.
  for (const std::string& id : this->answered) {
    bytes.clear();
    RecordWriter(bytes).Text(id);
    write(bytes);
  }
}

bool OrderTable::Load(std::string_view record) {
  RecordReader reader(record);
  const std::string id(reader.Text());
  if (reader.AtEnd() && !reader.Failed()) {
    this->answered.push_back(id);
    return true;
  }
  Order order;
  const std::uint64_t state = reader.Number();
  order.expired = reader.Number() != 0;
  order.response_dropped = reader.Number() != 0;
  order.begun_ms = reader.Signed();
  order.status = reader.Signed();
  order.body_digest = reader.Text();
  order.attempt_id = reader.Text();
  order.entry_id = reader.Text();
  order.response = reader.Text();
  if (reader.Failed() || !reader.AtEnd() || state >= std::size(kStateNames)) {
    return false;
  }
  order.state = static_cast<State>(state);
  this->response_bytes += order.response.size();
  (order.expired ? this->expired : this->live).push_back(id);
  this->orders.emplace(id, std::move(order));
  return true;
}

}  // namespace internal
}  // namespace sycamorebend
