#include <fmt/format.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "rpc/jsonrpc_codec.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
// Result in whose place the text of an encoded result is put, which is thereby
// not parsed and written again.
constexpr const char* kResultMark = "encoded-result";

class WorkerRpcServer : public RpcServer {
 public:
  WorkerRpcServer(RpcService& service, int max_threads)
      : service(service), max_threads(max_threads) {}

  ~WorkerRpcServer() override {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread& worker : this->workers) {
      worker.join();
    }
  }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    std::lock_guard lock(this->mutex);
    this->queue.push_back(std::move(exchange));
    if (this->idle_workers < static_cast<int>(this->queue.size()) &&
        static_cast<int>(this->workers.size()) < this->max_threads) {
      this->workers.emplace_back([this] { this->RunWorker(); });
    }
    this->changed.notify_one();
  }

 private:
  void RunWorker() {
    std::unique_lock lock(this->mutex);
    for (;;) {
      ++this->idle_workers;
      this->changed.wait(
          lock, [this] { return this->stopping || !this->queue.empty(); });
      --this->idle_workers;
      if (this->stopping) {
        return;
      }
      const std::shared_ptr<HttpExchange> exchange =
          std::move(this->queue.front());
      this->queue.pop_front();
      lock.unlock();
      this->RespondTo(*exchange);
      lock.lock();
    }
  }

  void RespondTo(HttpExchange& exchange) {
    HttpBody encoded;
    const auto call = [this, &encoded](const std::string& method,
                                       const Json::Value& params) {
      internal::JsonRpcResponse response;
      const auto set_error = [&response](const Error& error) {
        response.error_code = static_cast<int>(error.code);
        response.error_message = error.message;
      };
      if (auto text = this->service.CallEncoded(method, params)) {
        if (!*text) {
          set_error(text->error());
        } else if (encoded.empty()) {
          encoded = std::move(text->value());
          response.result = kResultMark;
        } else if (auto again = ParseStoredJson(JoinBody(text->value()))) {
          // A further call of a batch, which no process of this project sends.
          response.result = std::move(again.value());
        } else {
          set_error(again.error());
        }
        return response;
      }
      Result<Json::Value> result = this->service.Call(method, params);
      if (result) {
        response.result = std::move(result.value());
      } else {
        set_error(result.error());
      }
      return response;
    };
    try {
      const HttpHeaders headers = {{"Content-Type", "application/json"}};
      std::string message =
          internal::HandleJsonRpcRequest(exchange.Request().body, call);
      if (encoded.empty()) {
        exchange.Respond(kStatusOk, headers, std::move(message));
        return;
      }
      // Within a string of the message, the quotation marks are escaped.
      const std::string mark = fmt::format("\"{}\"", kResultMark);
      const std::string member = "\"result\":" + mark;
      const std::size_t found = message.find(member);
      if (found == std::string::npos) {
        LogEvent(Severity::kError, Event::kRpcFailed,
                 {{"method", exchange.Request().path},
                  {"message", "the encoded result has no place"}});
        exchange.Respond(kStatusBadRequest, {}, {});
        return;
      }
      const std::size_t position = found + member.size() - mark.size();
      encoded.insert(encoded.begin(),
                     std::make_shared<SharedText>(message.substr(0, position)));
      encoded.push_back(
          std::make_shared<SharedText>(message.substr(position + mark.size())));
      exchange.RespondShared(kStatusOk, headers, std::move(encoded));
    } catch (const Json::Exception& exception) {
      // jsoncpp throws if the request is nested too deeply, or if a value is
      // used as one of another type.
      LogEvent(
          Severity::kWarning, Event::kRpcFailed,
          {{"method", exchange.Request().path}, {"message", exception.what()}});
      exchange.Respond(kStatusBadRequest, {}, {});
    }
  }

  RpcService& service;
  const int max_threads;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::shared_ptr<HttpExchange>> queue;
  std::vector<std::thread> workers;
  int idle_workers = 0;
  bool stopping = false;
};

}  // namespace

std::unique_ptr<RpcServer> RpcServer::Create(RpcService& service,
                                             int max_threads) {
  return std::make_unique<WorkerRpcServer>(service, max_threads);
}

}  // namespace sycamorebend
