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
struct JsonRpcReply {
  Json::Value result;
  int error_code = 0;
  std::string error_message;
};

std::string EncodeJsonRpcRequest(const std::string& method,
                                 const Json::Value& params);

// @return the reply; code kJsonRpcMalformed if `body` is not JSON-RPC.
JsonRpcReply DecodeJsonRpcReply(const std::string& body);

using JsonRpcCall = std::function<JsonRpcReply(const std::string& method,
                                               const Json::Value& params)>;

// Decodes the request in `body`, runs it with `call` and encodes the reply.
std::string HandleJsonRpcRequest(const std::string& body,
                                 const JsonRpcCall& call);

// Error code of a reply that cannot be decoded.
enum { kJsonRpcMalformed = -32700 };

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_RPC_JSONRPC_CODEC_H_
