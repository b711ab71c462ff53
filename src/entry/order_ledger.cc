#include "entry/order_ledger.h"

#include <openssl/evp.h>

#include <algorithm>
#include <utility>

namespace sycamorebend::entry {

namespace {

// Bytes of a base64 group, and the bytes that it stands for.
constexpr std::size_t kGroupText = 4;
constexpr std::size_t kGroupBytes = 3;
// The control replicas keep smaller answers only, so a larger one is not sent
// to them.
constexpr std::size_t kMaxStoredBytes = 256 << 10;

std::string EncodeBase64(const std::string& data) {
  std::string text((data.size() / kGroupBytes + 1) * kGroupText + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

// @return an empty string if `text` is not base64.
std::string DecodeBase64(const std::string& text) {
  std::string data(text.size() / kGroupText * kGroupBytes + 1, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(data.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return {};
  }
  // EVP_DecodeBlock counts the bytes that "=" stands for.
  const std::size_t last = text.find_last_not_of('=');
  const std::size_t padding =
      last == std::string::npos ? 0 : text.size() - 1 - last;
  data.resize(static_cast<std::size_t>(size) - padding);
  return data;
}

bool IsPlainText(const std::string& body) {
  return std::all_of(body.begin(), body.end(), [](char byte) {
    return (byte >= ' ' && byte <= '~') || byte == '\n' || byte == '\t';
  });
}

// A body can hold any bytes, which JSON cannot; text stays readable.
Json::Value EncodeResponse(const HttpResponse& response) {
  Json::Value value;
  if (response.body.size() > kMaxStoredBytes) {
    value["dropped"] = true;
    return value;
  }
  value["headers"] = Json::Value(Json::arrayValue);
  for (const HttpHeader& header : response.headers) {
    Json::Value pair(Json::arrayValue);
    pair.append(header.name);
    pair.append(header.value);
    value["headers"].append(pair);
  }
  if (IsPlainText(response.body)) {
    value["body"] = response.body;
  } else {
    value["body_base64"] = EncodeBase64(response.body);
  }
  return value;
}

void DecodeResponse(const Json::Value& value, HttpResponse& response) {
  if (!value.isObject()) {
    return;
  }
  for (const Json::Value& pair : value["headers"]) {
    if (pair.isArray() && pair.size() == 2 && pair[0].isString() &&
        pair[1].isString()) {
      response.headers.push_back({pair[0].asString(), pair[1].asString()});
    }
  }
  if (value["body"].isString()) {
    response.body = value["body"].asString();
  } else if (value["body_base64"].isString()) {
    response.body = DecodeBase64(value["body_base64"].asString());
  }
}

Result<OrderRecord> DecodeRecord(const Json::Value& value) {
  OrderRecord record;
  const std::string state = value.isObject() && value["state"].isString()
                                ? value["state"].asString()
                                : std::string();
  if (state == "started") {
    record.state = OrderState::kStarted;
  } else if (state == "ran") {
    record.state = OrderState::kRan;
  } else if (state == "not_run") {
    record.state = OrderState::kNotRun;
  } else {
    return MakeError(ResultCode::kProtocolError,
                     "an order record has no known state");
  }
  if (value["status"].isInt()) {
    record.response.status = value["status"].asInt();
  }
  record.response_dropped =
      value["response_dropped"].isBool() && value["response_dropped"].asBool();
  const Json::Value& response = value["response"];
  if (response.isObject() && response["dropped"].isBool()) {
    record.response_dropped = response["dropped"].asBool();
  }
  DecodeResponse(response, record.response);
  return record;
}

// The answers to order.finish and order.get.
Result<OrderRecord> DecodeRecordAnswer(const Result<Json::Value>& answer) {
  if (!answer) {
    return answer.error();
  }
  const Json::Value& value = answer.value();
  return DecodeRecord(
      value.isObject() && value.isMember("record") ? value["record"] : value);
}

Result<OrderBegun> DecodeBegun(const Result<Json::Value>& answer) {
  if (!answer) {
    return answer.error();
  }
  const Json::Value& value = answer.value();
  if (!value.isObject() || !value["granted"].isBool()) {
    return MakeError(ResultCode::kProtocolError,
                     "the answer to order.begin has no \"granted\"");
  }
  OrderBegun begun;
  begun.granted = value["granted"].asBool();
  BOOST_OUTCOME_TRY(record, DecodeRecord(value["record"]));
  begun.record = std::move(record);
  return begun;
}

class RpcOrderLedger : public OrderLedger {
 public:
  explicit RpcOrderLedger(ControlRpcClient& calls) : calls(calls) {}

  void Begin(const OrderIdentity& identity,
             TimePoint deadline,
             Callback<OrderBegun> callback) override {
    Json::Value params = BuildParams(identity);
    params["body_digest"] = identity.body_digest;
    params["entry_id"] = identity.entry_id;
    if (identity.created_ms) {
      params["created_ms"] = static_cast<Json::UInt64>(*identity.created_ms);
    }
    this->calls.Call("order.begin", params, deadline,
                     [callback](const Result<Json::Value>& answer) {
                       callback(DecodeBegun(answer));
                     });
  }

  void Finish(const OrderIdentity& identity,
              OrderState state,
              const HttpResponse& response,
              TimePoint deadline,
              Callback<OrderRecord> callback) override {
    Json::Value params = BuildParams(identity);
    params["state"] = state == OrderState::kRan ? "ran" : "not_run";
    if (state == OrderState::kRan) {
      params["status"] = response.status;
      params["response"] = EncodeResponse(response);
    }
    this->calls.Call("order.finish", params, deadline,
                     [callback](const Result<Json::Value>& answer) {
                       callback(DecodeRecordAnswer(answer));
                     });
  }

  void Get(const OrderIdentity& identity,
           TimePoint deadline,
           Callback<OrderRecord> callback) override {
    Json::Value params;
    params["customer"] = identity.customer;
    params["key"] = identity.key;
    this->calls.Call("order.get", params, deadline,
                     [callback](const Result<Json::Value>& answer) {
                       callback(DecodeRecordAnswer(answer));
                     });
  }

 private:
  static Json::Value BuildParams(const OrderIdentity& identity) {
    Json::Value params;
    params["customer"] = identity.customer;
    params["key"] = identity.key;
    params["attempt_id"] = identity.attempt_id;
    return params;
  }

  ControlRpcClient& calls;
};

}  // namespace

std::unique_ptr<OrderLedger> MakeOrderLedger(ControlRpcClient& calls) {
  return std::make_unique<RpcOrderLedger>(calls);
}

}  // namespace sycamorebend::entry
