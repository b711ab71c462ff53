// Runs replicas in one process that communicate by RPC over loopback, for tests
// and the benchmark.
#ifndef TESTS_CONSENSUS_CLUSTER_H_
#define TESTS_CONSENSUS_CLUSTER_H_

#include <stdlib.h>

#include <atomic>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "consensus/file_storage.h"
#include "consensus/service.h"
#include "sycamorebend/consensus.h"
#include "sycamorebend/http.h"
#include "sycamorebend/rpc.h"

namespace sycamorebend {

// A disk that is full on demand.
class FullDiskCalls : public internal::FileCalls {
 public:
  int Write(int file, std::string_view data) override {
    return this->full ? ENOSPC : FileCalls::Write(file, data);
  }
  std::atomic<bool> full = false;
};

// A directory that is deleted by the destructor.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "sb-consensus-XXXXXX")
            .string();
    this->path = ::mkdtemp(pattern.data());
  }
  ~TemporaryDirectory() {
    std::error_code error;
    std::filesystem::remove_all(this->path, error);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  std::filesystem::path path;
};

inline std::string ReadAll(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Records the commands in order. The result of a command is the number of
// commands so far.
class RecordingStateMachine : public StateMachine {
 public:
  // @param apply_time time that each command takes.
  explicit RecordingStateMachine(Duration apply_time = Duration(0))
      : apply_time(apply_time) {}

  std::string Apply(LogIndex /*index*/,
                    std::int64_t leader_time_ms,
                    std::string_view command) override {
    std::this_thread::sleep_for(this->apply_time);
    std::lock_guard lock(this->mutex);
    this->time_decreased |= leader_time_ms < this->last_time_ms;
    this->last_time_ms = leader_time_ms;
    this->commands.emplace_back(command);
    return std::to_string(this->commands.size());
  }

  std::string Snapshot() const override {
    std::lock_guard lock(this->mutex);
    std::string out;
    for (const std::string& command : this->commands) {
      out += command + '\n';
    }
    return out;
  }

  Status Restore(std::string_view snapshot) override {
    std::lock_guard lock(this->mutex);
    this->commands.clear();
    while (!snapshot.empty()) {
      const std::size_t end = snapshot.find('\n');
      this->commands.emplace_back(snapshot.substr(0, end));
      snapshot.remove_prefix(end + 1);
    }
    return Success();
  }

  std::vector<std::string> Commands() const {
    std::lock_guard lock(this->mutex);
    return this->commands;
  }

  bool TimeDecreased() const {
    std::lock_guard lock(this->mutex);
    return this->time_decreased;
  }

 private:
  const Duration apply_time;
  mutable std::mutex mutex;
  std::vector<std::string> commands;
  std::int64_t last_time_ms = 0;
  bool time_decreased = false;
};

// Fails every call without sending it while `drop_outgoing` is set.
class BlockableRpcClient : public RpcClient {
 public:
  BlockableRpcClient(RpcClient& client, const std::atomic<bool>& drop_outgoing)
      : client(client), drop_outgoing(drop_outgoing) {}

  void CallAsync(const std::string& address,
                 const std::string& method,
                 const Json::Value& params,
                 Duration timeout,
                 RpcCallback callback) override {
    if (this->drop_outgoing) {
      // RpcClient calls back on another thread, so this does too.
      std::thread([callback = std::move(callback)] {
        callback(MakeError(ResultCode::kConnectFailed));
      }).detach();
      return;
    }
    this->client.CallAsync(address, method, params, timeout,
                           std::move(callback));
  }

 private:
  RpcClient& client;
  const std::atomic<bool>& drop_outgoing;
};

// One replica with its own HTTP server, RPC client and control thread.
class Node : public HttpHandler, public RpcService {
 public:
  Node() {
    HttpServerOptions server_options;
    server_options.address = "127.0.0.1:0";
    this->server = std::move(HttpServer::Start(server_options, *this).value());
  }

  ~Node() override {
    this->Stop();
    this->server->Stop();
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  std::string Address() const { return this->server->Address(); }

  Status Start(ReplicatedLogOptions options) {
    options.address = this->Address();
    this->state_machine =
        std::make_unique<RecordingStateMachine>(this->apply_time);
    this->control = std::make_unique<ControlThread>(this->clock);
    internal::ServiceDependencies dependencies{
        *this->state_machine, *this->control, this->clock,
        internal::CreateRpcTransport(this->outgoing_rpc, options.address,
                                     options.timings.election_timeout_min / 2),
        [&](std::function<void(std::uint64_t)> on_durable) {
          internal::FileStorageOptions storage;
          storage.directory = options.data_directory;
          storage.replica_id = options.id;
          storage.calls = &this->disk;
          storage.on_durable = std::move(on_durable);
          return internal::CreateFileStorage(std::move(storage));
        }};
    BOOST_OUTCOME_TRY(started,
                      internal::StartService(options, std::move(dependencies)));
    std::lock_guard lock(this->mutex);
    this->log = std::move(started);
    return Success();
  }

  void Stop() {
    std::shared_ptr<ReplicatedLogService> stopping;
    {
      std::lock_guard lock(this->mutex);
      stopping = this->log;
    }
    if (stopping != nullptr) {
      // Keep `log` set, so that messages are still processed while leadership
      // is transferred.
      stopping->Stop();
    }
    std::lock_guard lock(this->mutex);
    this->log.reset();
    this->control.reset();
  }

  void Handle(std::shared_ptr<HttpExchange> exchange) override {
    this->rpc_server->Handle(std::move(exchange));
  }

  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override {
    const std::shared_ptr<ReplicatedLogService> target = this->Log();
    if (target == nullptr || this->refuse_incoming ||
        method != kRaftMessageMethod) {
      return MakeError(ResultCode::kUnknownCommand, method);
    }
    return target->HandleMessage(params);
  }

  std::shared_ptr<ReplicatedLogService> Log() const {
    std::lock_guard lock(this->mutex);
    return this->log;
  }

  Result<std::string> Propose(std::string command) const {
    auto promise = std::make_shared<std::promise<Result<std::string>>>();
    std::future<Result<std::string>> result_future = promise->get_future();
    this->Log()->Propose(std::move(command),
                         [promise](Result<std::string> result) {
                           promise->set_value(std::move(result));
                         });
    return result_future.get();
  }

  // @param begin starts an operation with the callback that is passed to it.
  // @return the status that the callback received.
  template <typename Begin>
  static Status Wait(const Begin& begin) {
    auto promise = std::make_shared<std::promise<Status>>();
    std::future<Status> done = promise->get_future();
    begin([promise](Status status) { promise->set_value(std::move(status)); });
    return done.get();
  }

  SystemClock clock;
  FullDiskCalls disk;
  // Time that each command takes after the next start.
  Duration apply_time{0};
  // Fails incoming calls.
  std::atomic<bool> refuse_incoming = false;
  // Fails outgoing calls.
  std::atomic<bool> drop_outgoing = false;
  std::unique_ptr<RecordingStateMachine> state_machine;

 private:
  std::unique_ptr<RpcServer> rpc_server = RpcServer::Create(*this, 8);
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*this->client);
  BlockableRpcClient outgoing_rpc{*this->rpc, this->drop_outgoing};
  std::unique_ptr<ControlThread> control;
  mutable std::mutex mutex;
  std::shared_ptr<ReplicatedLogService> log;
};

class Cluster {
 public:
  explicit Cluster(std::size_t size, const ReplicatedLogOptions& defaults = {})
      : defaults(defaults) {
    for (std::size_t i = 0; i < size; ++i) {
      this->nodes.push_back(std::make_unique<Node>());
      this->replicas.push_back({i + 1, this->nodes[i]->Address()});
    }
    for (std::size_t i = 0; i < size; ++i) {
      this->Start(i).value();
    }
  }

  ReplicatedLogOptions Options(std::size_t i) const {
    ReplicatedLogOptions options = this->defaults;
    options.id = i + 1;
    options.data_directory =
        (this->directory.path / std::to_string(options.id)).string();
    options.initial_replicas = this->replicas;
    return options;
  }

  Status Start(std::size_t i) { return this->nodes[i]->Start(Options(i)); }

  // Adds a node that waits to be added to the replica set.
  std::size_t AddNode() {
    this->nodes.push_back(std::make_unique<Node>());
    ReplicatedLogOptions options = this->Options(this->nodes.size() - 1);
    options.join = true;
    this->nodes.back()->Start(options).value();
    return this->nodes.size() - 1;
  }

  // Waits for a leader with a valid lease.
  Node& Leader() {
    for (;;) {
      for (const auto& node : this->nodes) {
        const auto log = node->Log();
        if (log != nullptr &&
            Node::Wait([&](auto callback) { log->ReadBarrier(callback); })) {
          return *node;
        }
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  TemporaryDirectory directory;
  const ReplicatedLogOptions defaults;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<ReplicaAddress> replicas;
};

}  // namespace sycamorebend

#endif  // TESTS_CONSENSUS_CLUSTER_H_
