#include "rpc/jsonrpc_codec.h"

#include <json/reader.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <memory>

namespace sycamorebend {
namespace internal {

namespace {

const char kParamsKey[] = "params";

// Stands in for a connection: keeps the request that the library encoded and
// answers with a reply received earlier. The library itself only offers calls
// that block their thread.
class RecordedExchange : public jsonrpc::IClientConnector {
 public:
  explicit RecordedExchange(const std::string& reply) : reply(reply) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    this->request = message;
    result = this->reply;
  }

  std::string request;

 private:
  const std::string& reply;
};

// Accepted by the library as the reply to any request.
const char kEmptyReply[] = R"({"id":1,"jsonrpc":"2.0","result":null})";

// Passes every method on to one function. libjsonrpccpp dispatches by
// registered procedures only, so the request's method is registered first.
class ForwardingHandler : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit ForwardingHandler(const JsonRpcCall& call) : call(call) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& params,
                        Json::Value& result) override {
    const JsonRpcReply reply =
        this->call(procedure.GetProcedureName(), params[kParamsKey]);
    if (reply.error_code != 0) {
      throw jsonrpc::JsonRpcException(reply.error_code, reply.error_message);
    }
    result = reply.result;
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*params*/) override {}

 private:
  const JsonRpcCall& call;
};

// @return the method name, or an empty string. Requests of our own client have
// the method before the parameters and no white space, so that a search is
// enough; others are parsed.
std::string PeekMethod(const std::string& body) {
  const std::string key = "\"method\":\"";
  const std::size_t start = body.find(key);
  if (start != std::string::npos && start < body.find("\"params\"")) {
    const std::size_t first = start + key.size();
    return body.substr(first, body.find('"', first) - first);
  }
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value request;
  std::string errors;
  const bool parsed =
      reader->parse(body.data(), body.data() + body.size(), &request, &errors);
  return parsed && request.isObject() && request["method"].isString()
             ? request["method"].asString()
             : "";
}

}  // namespace

std::string EncodeJsonRpcRequest(const std::string& method,
                                 const Json::Value& params) {
  const std::string reply = kEmptyReply;
  RecordedExchange exchange(reply);
  jsonrpc::Client client(exchange, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value wrapped(Json::objectValue);
  wrapped[kParamsKey] = params;
  client.CallMethod(method, wrapped);
  return exchange.request;
}

JsonRpcReply DecodeJsonRpcReply(const std::string& body) {
  RecordedExchange exchange(body);
  jsonrpc::Client client(exchange, jsonrpc::JSONRPC_CLIENT_V2);
  JsonRpcReply reply;
  try {
    reply.result = client.CallMethod("", Json::Value(Json::objectValue));
  } catch (const jsonrpc::JsonRpcException& exception) {
    reply.error_code = exception.GetCode();
    reply.error_message = exception.GetMessage();
  } catch (const std::exception& exception) {
    reply.error_code = kJsonRpcMalformed;
    reply.error_message = exception.what();
  }
  return reply;
}

std::string HandleJsonRpcRequest(const std::string& body,
                                 const JsonRpcCall& call) {
  const std::string method = PeekMethod(body);
  ForwardingHandler handler(call);
  const std::unique_ptr<jsonrpc::IProtocolHandler> protocol(
      jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, handler));
  if (!method.empty()) {
    protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                              jsonrpc::JSON_OBJECT, nullptr));
  }
  std::string answer;
  protocol->HandleRequest(body, answer);
  return answer;
}

}  // namespace internal
}  // namespace sycamorebend
