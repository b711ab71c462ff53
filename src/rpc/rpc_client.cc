#include <fmt/format.h>

#include <future>
#include <utility>

#include "rpc/jsonrpc_codec.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
// Well above the round-trip time between VMs, which is a few milliseconds, and
// short enough to leave time to try another address.
constexpr Duration kConnectTimeout = milliseconds(500);

class ResponseObserver : public HttpObserver {
 public:
  ResponseObserver(std::string call_name, RpcCallback callback)
      : call_name(std::move(call_name)), callback(std::move(callback)) {}

  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view data) override { this->body.append(data); }

  void OnDone(const HttpOutcome& outcome) override {
    this->callback(this->Decode(outcome));
  }

 private:
  Result<Json::Value> Decode(const HttpOutcome& outcome) const {
    if (outcome.code != ResultCode::kOk) {
      return MakeError(TransportErrorCode(outcome), outcome.message);
    }
    if (outcome.status != kStatusOk) {
      return MakeError(
          ResultCode::kProtocolError,
          fmt::format("{}: HTTP status {}", this->call_name, outcome.status));
    }
    internal::JsonRpcResponse response =
        internal::DecodeJsonRpcResponse(this->body);
    if (response.error_code == 0) {
      return std::move(response.result);
    }
    const auto code = static_cast<ResultCode>(response.error_code);
    if (response.error_code < 0 || GetResultCodeInfo(code).code != code) {
      return MakeError(ResultCode::kProtocolError,
                       this->call_name + ": " + response.error_message);
    }
    return MakeError(code, response.error_message);
  }

  static ResultCode TransportErrorCode(const HttpOutcome& outcome) {
    if (outcome.nothing_sent) {
      return ResultCode::kConnectFailed;
    }
    return outcome.code == ResultCode::kCancelled
               ? ResultCode::kCancelled
               : ResultCode::kTransportTimeout;
  }

  const std::string call_name;
  const RpcCallback callback;
  std::string body;
};

class HttpRpcClient : public RpcClient {
 public:
  explicit HttpRpcClient(HttpClient& client) : client(client) {}

  void CallAsync(const std::string& address,
                 const std::string& method,
                 const Json::Value& params,
                 Duration timeout,
                 RpcCallback callback) override {
    HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}{}", address, kRpcPath);
    call.headers = {{"Content-Type", "application/json"}};
    call.body = internal::EncodeJsonRpcRequest(method, params);
    call.connect_timeout = std::min(timeout, kConnectTimeout);
    call.first_byte_timeout = timeout;
    call.gap_timeout = timeout;
    call.total_timeout = timeout;
    call.max_body_bytes = kMaxFetchedBytes;
    call.accept_compressed = true;
    this->client.Start(
        std::move(call),
        std::make_shared<ResponseObserver>(
            fmt::format("{} at {}", method, address), std::move(callback)));
  }

 private:
  HttpClient& client;
};

}  // namespace

std::unique_ptr<RpcClient> RpcClient::Create(HttpClient& client) {
  return std::make_unique<HttpRpcClient>(client);
}

Result<Json::Value> RpcClient::Call(const std::string& address,
                                    const std::string& method,
                                    const Json::Value& params,
                                    Duration timeout) {
  auto promise = std::make_shared<std::promise<Result<Json::Value>>>();
  std::future<Result<Json::Value>> future = promise->get_future();
  this->CallAsync(address, method, params, timeout,
                  [promise](Result<Json::Value> result) {
                    promise->set_value(std::move(result));
                  });
  return future.get();
}

}  // namespace sycamorebend
