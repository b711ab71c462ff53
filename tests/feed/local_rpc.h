// RPC client that calls functions in the same process and can inject faults.
#ifndef SYCAMOREBEND_TESTS_FEED_LOCAL_RPC_H_
#define SYCAMOREBEND_TESTS_FEED_LOCAL_RPC_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "sycamorebend/rpc.h"

namespace sycamorebend {

class LocalRpc : public RpcClient {
 public:
  using Service = std::function<Result<Json::Value>(const Json::Value&)>;

  ~LocalRpc() override { this->Join(); }

  // Waits for the calls in progress; later calls are ignored.
  void Join() {
    std::vector<std::thread> running;
    {
      std::lock_guard lock(this->mutex);
      running.swap(this->threads);
      this->joined = true;
    }
    this->changed.notify_all();
    for (std::thread& thread : running) {
      thread.join();
    }
  }

  void Serve(const std::string& address, Service service) {
    std::lock_guard lock(this->mutex);
    this->services[address] = std::move(service);
  }

  // Calls to `address` fail immediately with kConnectFailed.
  void Refuse(const std::string& address) {
    std::lock_guard lock(this->mutex);
    this->services.erase(address);
  }

  // Calls to `address`, those in progress too, get no response and time out.
  void DropCalls(const std::string& address) {
    std::lock_guard lock(this->mutex);
    this->dropped.insert(address);
  }

  int Calls(const std::string& address) {
    std::lock_guard lock(this->mutex);
    return this->calls[address];
  }

  // Timeout of the newest call to `address`.
  Duration LastTimeout(const std::string& address) {
    std::lock_guard lock(this->mutex);
    return this->timeouts[address];
  }

  void CallAsync(const std::string& address,
                 const std::string& /*method*/,
                 const Json::Value& params,
                 Duration timeout,
                 RpcCallback callback) override {
    std::lock_guard lock(this->mutex);
    if (this->joined) {
      return;
    }
    ++this->calls[address];
    this->timeouts[address] = timeout;
    this->threads.emplace_back(
        [this, address, params, timeout, callback = std::move(callback)] {
          callback(this->RunCall(address, params, timeout));
        });
  }

 private:
  Result<Json::Value> RunCall(const std::string& address,
                              const Json::Value& params,
                              Duration timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto dropped_until_end = [&](std::unique_lock<std::mutex>& lock) {
      if (this->dropped.count(address) == 0) {
        return false;
      }
      this->changed.wait_until(lock, end, [this] { return this->joined; });
      return true;
    };
    Service service;
    {
      std::unique_lock lock(this->mutex);
      if (dropped_until_end(lock)) {
        return MakeError(ResultCode::kTransportTimeout);
      }
      const auto found = this->services.find(address);
      if (found == this->services.end()) {
        return MakeError(ResultCode::kConnectFailed);
      }
      service = found->second;
    }
    Result<Json::Value> response = service(params);
    std::unique_lock lock(this->mutex);
    if (dropped_until_end(lock)) {
      return MakeError(ResultCode::kTransportTimeout);
    }
    return response;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Service> services;
  std::set<std::string> dropped;
  std::map<std::string, int> calls;
  std::map<std::string, Duration> timeouts;
  std::vector<std::thread> threads;
  bool joined = false;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FEED_LOCAL_RPC_H_
