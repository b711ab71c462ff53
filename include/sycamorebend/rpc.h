// JSON-RPC 2.0 over HTTP between sycamorebend processes. Messages are encoded
// and decoded by libjsonrpccpp.
#ifndef SYCAMOREBEND_RPC_H_
#define SYCAMOREBEND_RPC_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

// Path at which every process serves RPC.
inline constexpr std::string_view kRpcPath = "/rpc";

// Handles calls. Called on the worker threads of an RpcServer, concurrently; it
// may block.
class RpcService {
 public:
  virtual ~RpcService() = default;

  // @return the result, or an Error whose code and message the caller receives;
  // kUnknownCommand for an unknown method.
  virtual Result<Json::Value> Call(const std::string& method,
                                   const Json::Value& params) = 0;

  // As Call, for results that are kept as JSON text. Called first.
  // @return the text of the result or an Error; empty if the results of
  // `method` are not kept, and Call has to be used.
  virtual std::optional<Result<HttpBody>> CallEncoded(
      const std::string& /*method*/,
      const Json::Value& /*params*/) {
    return std::nullopt;
  }
};

// Decodes RPC requests and runs them on worker threads. The owner passes the
// exchanges for kRpcPath to Handle.
class RpcServer {
 public:
  virtual ~RpcServer() = default;

  // @param max_threads maximum number of concurrent calls. Threads are started
  // when they are needed.
  static std::unique_ptr<RpcServer> Create(RpcService& service,
                                           int max_threads);

  // Queues `exchange` for a worker thread, which responds to it. Does not
  // block.
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

using RpcCallback = std::function<void(Result<Json::Value>)>;

// Calls other processes.
class RpcClient {
 public:
  virtual ~RpcClient() = default;

  // @param client must outlive the RpcClient and its calls.
  static std::unique_ptr<RpcClient> Create(HttpClient& client);

  // @param address "IP:port" of the callee.
  // @param callback called once on a thread of the HTTP client; must not block.
  virtual void CallAsync(const std::string& address,
                         const std::string& method,
                         const Json::Value& params,
                         Duration timeout,
                         RpcCallback callback) = 0;

  // Waits for the response. Must not be called on a thread of the HTTP client.
  // @return the result; the callee's Error; or kConnectFailed (nothing was
  // sent), kTransportTimeout or kProtocolError (the call may have run).
  Result<Json::Value> Call(const std::string& address,
                           const std::string& method,
                           const Json::Value& params,
                           Duration timeout);
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_RPC_H_
