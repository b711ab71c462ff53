// Measures a replicated log of three replicas in one process, with RPC over
// loopback and synced writes. Prints "name value unit bound pass|fail" for each
// result.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "consensus/cluster.h"

namespace sycamorebend {

namespace {

constexpr int kProposers = 200;
constexpr Duration kThroughputTime = seconds(5);
// An order takes one order.begin and one order.finish.
constexpr double kProposalsPerOrder = 2;
constexpr double kMinOrdersPerSecond = 2000;
constexpr std::size_t kCommandBytes = 300;
constexpr int kHistoryEntries = 10000;
constexpr double kMaxStartSeconds = 2;
constexpr double kMaxNewLeaderSeconds = 3;
constexpr int kLeaderChanges = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool Report(const std::string& name,
            double value,
            const std::string& unit,
            const std::string& bound,
            bool pass) {
  fmt::print("{} {:.3f} {} {} {}\n", name, value, unit, bound,
             pass ? "pass" : "fail");
  std::fflush(stdout);
  return pass;
}

// Keeps `kProposers` proposals in flight until the deadline.
struct ProposalLoad {
  void Run(std::shared_ptr<ReplicatedLogService> target, Duration time) {
    this->log = std::move(target);
    this->deadline = this->clock.Now() + time;
    for (int i = 0; i < kProposers; ++i) {
      ++this->open;
      this->Propose();
    }
    std::unique_lock lock(this->mutex);
    this->idle.wait(lock, [this] { return this->open == 0; });
  }

  void Propose() {
    const TimePoint begin = this->clock.Now();
    this->log->Propose(std::string(kCommandBytes, 'x'),
                       [this, begin](const Result<std::string>& result) {
                         const TimePoint now = this->clock.Now();
                         std::unique_lock lock(this->mutex);
                         if (result) {
                           this->latencies.push_back(now - begin);
                         } else {
                           ++this->failed;
                         }
                         if (now < this->deadline && result) {
                           lock.unlock();
                           this->Propose();
                           return;
                         }
                         --this->open;
                         this->idle.notify_all();
                       });
  }

  SystemClock clock;
  std::shared_ptr<ReplicatedLogService> log;
  TimePoint deadline;
  std::mutex mutex;
  std::condition_variable idle;
  int open = 0;
  std::uint64_t failed = 0;
  std::vector<Duration> latencies;
};

bool MeasureThroughput() {
  Cluster cluster(3);
  Node& leader = cluster.Leader();
  ProposalLoad load;
  const TimePoint begin = load.clock.Now();
  load.Run(leader.Log(), kThroughputTime);
  const double elapsed = Seconds(load.clock.Now() - begin);
  std::sort(load.latencies.begin(), load.latencies.end());
  const double rate = static_cast<double>(load.latencies.size()) / elapsed;
  const double orders = rate / kProposalsPerOrder;
  const auto percentile = [&](std::size_t percent) {
    return load.latencies.empty()
               ? 0
               : 1000 *
                     Seconds(
                         load.latencies[load.latencies.size() * percent / 100]);
  };
  bool pass = Report("consensus_proposals", rate, "1/s", "-", true);
  pass &= Report("consensus_orders", orders, "1/s", ">=2000",
                 orders >= kMinOrdersPerSecond);
  pass &=
      Report("consensus_commit_latency_p50", percentile(50), "ms", "-", true);
  pass &=
      Report("consensus_commit_latency_p99", percentile(99), "ms", "-", true);
  pass &= Report("consensus_failed_proposals", static_cast<double>(load.failed),
                 "proposals", "0", load.failed == 0);
  return pass;
}

// Commits one proposal at a time, so that no two share a sync.
void MeasureSingleLatency() {
  Cluster cluster(3);
  Node& leader = cluster.Leader();
  std::vector<double> milliseconds_each;
  for (int i = 0; i < 200; ++i) {
    const TimePoint begin = leader.clock.Now();
    if (leader.Propose(std::string(kCommandBytes, 'x'))) {
      milliseconds_each.push_back(1000 * Seconds(leader.clock.Now() - begin));
    }
  }
  std::sort(milliseconds_each.begin(), milliseconds_each.end());
  Report("consensus_single_commit_p50",
         milliseconds_each[milliseconds_each.size() / 2], "ms", "-", true);
}

bool MeasureRestart(const std::string& name,
                    const ReplicatedLogOptions& defaults) {
  Cluster cluster(3, defaults);
  Node& leader = cluster.Leader();
  std::atomic<int> done = 0;
  for (int i = 0; i < kHistoryEntries; ++i) {
    leader.Log()->Propose(std::string(kCommandBytes, 'x'),
                          [&done](const Result<std::string>&) { ++done; });
    while (i - done > kProposers) {
      std::this_thread::yield();
    }
  }
  while (done < kHistoryEntries) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  const std::size_t follower = leader.Log()->GetStatus().id % 3;
  Node& node = *cluster.nodes[follower];
  node.Stop();
  const TimePoint begin = node.clock.Now();
  if (!cluster.Start(follower)) {
    return Report(name, 0, "s", "<=2", false);
  }
  while (node.state_machine->Commands().size() <
         static_cast<std::size_t>(kHistoryEntries)) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  const double elapsed = Seconds(node.clock.Now() - begin);
  return Report(name, elapsed, "s", "<=2", elapsed <= kMaxStartSeconds);
}

// @param graceful stops the leader, which transfers its leadership; otherwise
// the leader is isolated from the other replicas.
double NewLeaderSeconds(Cluster& cluster, bool graceful) {
  Node& leader = cluster.Leader();
  const std::size_t index = leader.Log()->GetStatus().id - 1;
  const TimePoint begin = leader.clock.Now();
  if (graceful) {
    leader.Stop();
  } else {
    leader.refuse_incoming = true;
    leader.drop_outgoing = true;
  }
  for (bool found = false; !found;) {
    for (const auto& node : cluster.nodes) {
      const auto log = node->Log();
      found |= node.get() != &leader && log != nullptr &&
               node->Propose("x").has_value();
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  const double elapsed = Seconds(leader.clock.Now() - begin);
  if (graceful) {
    (void)cluster.Start(index);
  }
  leader.refuse_incoming = false;
  leader.drop_outgoing = false;
  return elapsed;
}

bool MeasureNewLeader() {
  Cluster cluster(3);
  bool pass = true;
  for (const bool graceful : {true, false}) {
    double longest = 0;
    for (int i = 0; i < kLeaderChanges; ++i) {
      longest = std::max(longest, NewLeaderSeconds(cluster, graceful));
      // Lets the former leader catch up before the next round.
      std::this_thread::sleep_for(seconds(1));
    }
    pass &= Report(graceful ? "consensus_new_leader_after_stop_max"
                            : "consensus_new_leader_after_cut_max",
                   longest, "s", "<=3", longest <= kMaxNewLeaderSeconds);
  }
  return pass;
}

bool RunAll() {
  SetLogThreshold(Severity::kError);
  bool pass = MeasureThroughput();
  MeasureSingleLatency();
  ReplicatedLogOptions log_only;
  pass &= MeasureRestart("consensus_start_10000_entries_log", log_only);
  ReplicatedLogOptions with_snapshot;
  with_snapshot.snapshot_entries = 4000;
  pass &=
      MeasureRestart("consensus_start_10000_entries_snapshot", with_snapshot);
  pass &= MeasureNewLeader();
  return pass;
}

}  // namespace

}  // namespace sycamorebend

int main() {
  return sycamorebend::RunAll() ? 0 : 1;
}
