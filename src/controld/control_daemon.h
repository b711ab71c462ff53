// A control replica as a whole: log, state, feed and RPC.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "control/leader_calls.h"
#include "controld/control_http.h"
#include "controld/control_service.h"
#include "controld/control_settings.h"
#include "controld/replica_identity.h"

namespace sycamorebend {

// Methods are called on one thread, except where stated.
class ControlDaemon {
 public:
  // Listens for RPC and starts the replica if its identity is known. Otherwise
  // Advance asks the others for one.
  static Result<std::unique_ptr<ControlDaemon>> Start(
      const ControlSettings& settings);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  // Does what is due. To be called every 100 ms.
  // @return an error that ends the process.
  Status Advance();

  // @return true once this replica was removed from the replica set. The owner
  // stops the daemon, erases its directory and starts it anew.
  bool Expelled() const { return this->expelled; }

  // Graceful stop: hands leadership over, finishes open calls.
  void Stop();

  // Takes the seeds of settings that were read again. Thread-safe.
  void SetSeeds(std::vector<std::string> seeds);

  // Calls that run at the leader. Thread-safe.
  ControlRpcClient& Leader() { return *this->leader_calls; }
  // @return the newest shared state of this replica. Thread-safe.
  std::shared_ptr<const SharedState> Shared() const {
    return this->state->Shared();
  }
  const Clock& GetClock() const { return this->clock; }

 private:
  explicit ControlDaemon(const ControlSettings& settings);

  Status Listen();
  // Starts the replica under `identity`.
  Status StartLog(const ReplicaIdentity& identity);
  void AskForIdentity();
  void CheckMembership();
  std::vector<std::string> Replicas() const;

  ControlSettings settings;
  const SystemClock clock;
  ControlThread control_thread;
  std::unique_ptr<HttpClient> http_client;
  std::unique_ptr<RpcClient> rpc;
  std::unique_ptr<FeedSource> feed;
  std::unique_ptr<ControlState> state;
  ControlService service;
  std::unique_ptr<ControlHttp> http;
  std::unique_ptr<HttpServer> server;
  std::shared_ptr<LeaderRpcClient> leader_calls;
  std::unique_ptr<ReplicatedLogService> log;
  mutable std::mutex mutex;
  std::vector<std::string> seeds;

  // What an answer of the leader about this replica leaves for Advance.
  struct Inbox {
    std::mutex mutex;
    bool asking = false;
    ReplicaId granted_id = 0;
    bool removed = false;
  };
  const std::shared_ptr<Inbox> inbox = std::make_shared<Inbox>();
  TimePoint next_question;
  bool expelled = false;
  bool stopped = false;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_DAEMON_H_
