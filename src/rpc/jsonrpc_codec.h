// Encoding and decoding of JSON-RPC 2.0 messages by libjsonrpccpp. This header
// uses C++14 only, because the headers of that library do not compile as C++17.
#ifndef SYCAMOREBEND_SRC_RPC_JSONRPC_CODEC_H_
#define SYCAMOREBEND_SRC_RPC_JSONRPC_CODEC_H_

#include <functional>
#include <string>

#include <json/value.h>

namespace sycamorebend {
namespace internal {

// Either a result or an error with a non-zero code.
struct JsonRpcResponse {
  Json::Value result;
  int error_code = 0;
  std::string error_message;
};

std::string EncodeJsonRpcRequest(const std::string& method,
                                 const Json::Value& params);

// @return the response; error code kJsonRpcMalformed if `body` cannot be
// decoded.
JsonRpcResponse DecodeJsonRpcResponse(const std::string& body);

using JsonRpcHandler =
    std::function<JsonRpcResponse(const std::string& method,
                                  const Json::Value& params)>;

// Decodes the request in `body`, calls `call` and encodes the response.
std::string HandleJsonRpcRequest(const std::string& body,
                                 const JsonRpcHandler& call);

// Error code for a response that cannot be decoded; JSON-RPC's parse error.
enum { kJsonRpcMalformed = -32700 };

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_RPC_JSONRPC_CODEC_H_
