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

// Connector without a connection: records the request that the library encoded
// and returns a response that was given beforehand. The library itself offers
// only blocking calls.
class RecordedConnector : public jsonrpc::IClientConnector {
 public:
  explicit RecordedConnector(const std::string& response)
      : response(response) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    this->request = message;
    result = this->response;
  }

  std::string request;

 private:
  const std::string& response;
};

// Accepted by the library as the response to any request.
const char kNullResponse[] = R"({"id":1,"jsonrpc":"2.0","result":null})";

// Forwards every method to one function. libjsonrpccpp dispatches only to
// registered procedures, so the method of the request is registered first.
class AnyMethodHandler : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit AnyMethodHandler(const JsonRpcHandler& call) : call(call) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& params,
                        Json::Value& result) override {
    JsonRpcResponse response =
        this->call(procedure.GetProcedureName(), params[kParamsKey]);
    if (response.error_code != 0) {
      throw jsonrpc::JsonRpcException(response.error_code,
                                      response.error_message);
    }
    // Copying a large response takes longer than writing it.
    result.swap(response.result);
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*params*/) override {}

 private:
  const JsonRpcHandler& call;
};

// @return the method name, or an empty string if there is none. Requests
// encoded by EncodeJsonRpcRequest have the method before the parameters and no
// white space, so that a text search is enough; others are parsed.
std::string FindMethod(const std::string& body) {
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
  const std::string response = kNullResponse;
  RecordedConnector connector(response);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value wrapped(Json::objectValue);
  wrapped[kParamsKey] = params;
  client.CallMethod(method, wrapped);
  return connector.request;
}

JsonRpcResponse DecodeJsonRpcResponse(const std::string& body) {
  RecordedConnector connector(body);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  JsonRpcResponse response;
  try {
    response.result = client.CallMethod("", Json::Value(Json::objectValue));
  } catch (const jsonrpc::JsonRpcException& exception) {
    response.error_code = exception.GetCode();
    response.error_message = exception.GetMessage();
  } catch (const std::exception& exception) {
    response.error_code = kJsonRpcMalformed;
    response.error_message = exception.what();
  }
  return response;
}

std::string HandleJsonRpcRequest(const std::string& body,
                                 const JsonRpcHandler& call) {
  const std::string method = FindMethod(body);
  AnyMethodHandler handler(call);
  const std::unique_ptr<jsonrpc::IProtocolHandler> protocol(
      jsonrpc::RequestHandlerFactory::createProtocolHandler(
          jsonrpc::JSONRPC_SERVER_V2, handler));
  if (!method.empty()) {
    protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                              jsonrpc::JSON_OBJECT, nullptr));
  }
  std::string response;
  protocol->HandleRequest(body, response);
  return response;
}

}  // namespace internal
}  // namespace sycamorebend
