// A control replica with RPC over loopback and an in-memory log.
#ifndef SYCAMOREBEND_TESTS_CONTROL_CONTROL_NODE_H_
#define SYCAMOREBEND_TESTS_CONTROL_CONTROL_NODE_H_

#include <memory>
#include <string>

#include "controld/control_http.h"
#include "controld/control_service.h"
#include "memory_log.h"

namespace sycamorebend {

// Serves RPC calls on a free port.
class RpcNode : public HttpHandler {
 public:
  explicit RpcNode(RpcService& service)
      : rpc_server(RpcServer::Create(service, 8)) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(options, *this).value());
  }
  ~RpcNode() override { this->server->Stop(); }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    this->rpc_server->Handle(std::move(exchange));
  }

  std::string Address() const { return this->server->Address(); }

 private:
  std::unique_ptr<RpcServer> rpc_server;
  std::unique_ptr<HttpServer> server;
};

class ControlNode {
 public:
  ControlNode(RpcClient& rpc, const Clock& clock)
      : source(FeedSource::Create({}, rpc, clock)),
        state(ControlState::Create(
            [this](std::shared_ptr<const SharedState> shared) {
              this->source->Publish(std::move(shared));
            })),
        control_thread(clock),
        log(*state, control_thread, clock),
        service(*state, *source, clock),
        http(std::make_unique<ControlHttp>(service, ControlThreads{2, 8, 4})) {
    this->service.SetLog(this->log);
    this->source->SetLog(this->log);
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(options, *this->http).value());
    this->log.Lead(this->Address());
    this->log.SetReplicas({{1, this->Address(), true, true, 0}});
  }
  ~ControlNode() {
    this->source->Stop();
    this->server->Stop();
    // Waits for the running calls before the log and its thread are destroyed.
    this->http.reset();
  }

  std::string Address() const { return this->server->Address(); }

  // Runs a tick and waits until the commands that it proposed are applied.
  void Tick() {
    this->service.Tick();
    this->control_thread.PostAndWait([] {});
  }

  std::unique_ptr<FeedSource> source;
  std::unique_ptr<ControlState> state;
  ControlThread control_thread;
  MemoryLog log;
  ControlService service;
  std::unique_ptr<ControlHttp> http;
  std::unique_ptr<HttpServer> server;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_CONTROL_CONTROL_NODE_H_
