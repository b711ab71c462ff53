// One run of a scenario in virtual time: callers, entry daemons that each have
// a scheduler of their own, and servers.
#ifndef BENCHMARK_ROUTING_SIMULATION_H_
#define BENCHMARK_ROUTING_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "deployment.h"
#include "engine_model.h"
#include "routing/random.h"

namespace sycamorebend::benchmark {

struct ClassResult {
  std::string name;
  int tier = 0;
  bool order = false;
  long requests = 0;
  long attained = 0;
  long refused = 0;
  double goodput_tokens = 0;
  double generated_tokens = 0;
  // Tokens of cancelled, failed, preempted or too late work.
  double wasted_tokens = 0;
  // Orders: answers produced that no caller received in time, and orders that
  // ran more than once.
  long duplicates = 0;
  // Orders whose connection fell silent: their answer cannot be delivered.
  long undeliverable = 0;
  // Longest time for which requests of the class waited at an entry daemon
  // without any of them starting on a server.
  Duration longest_wait{0};
  std::vector<double> first_token_ms;
};

struct RunResult {
  std::vector<ClassResult> classes;
  // Urgent requests refused while lower-tier work ran on a server that could
  // take them; the second counts work sent by the aging rule.
  long urgent_shed = 0;
  long urgent_shed_aged = 0;
  long urgent_preempted = 0;
  std::map<std::string, long> misses;  // By class and cause.
  std::map<std::string, long> waste;   // Tokens, by class and cause.
};

using SchedulerFactory =
    std::function<std::unique_ptr<Scheduler>(const SchedulerOptions&)>;

class Simulation {
 public:
  Simulation(const Deployment& deployment,
             const Scenario& scenario,
             const SchedulerFactory& factory,
             std::uint64_t seed);
  RunResult Run();

 private:
  struct Caller {
    std::size_t class_index = 0;
    std::size_t customer = 0;
    int entry = 0;
    int input_tokens = 0;
    int output_tokens = 0;
    std::vector<std::uint64_t> hashes;
    std::string fingerprint;
    TimePoint submitted_at;
    TimePoint first_token_at;
    TimePoint started_at;
    bool first_token = false;
    bool started = false;
    bool ended = false;
    bool crashing = false;
    int runs = 0;
    Attempt* attempt = nullptr;  // The newest.
  };
  struct EntryDaemon {
    std::unique_ptr<Scheduler> scheduler;
    int domain = 0;
    bool up = true;
    TimePoint wake = TimePoint::max();
    // By server: incarnation known, and whether cache events were lost.
    std::vector<bool> cache_gap;
    // By class: requests that wait, and since when none was served.
    std::vector<int> waiting;
    std::vector<TimePoint> unserved_since;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at
                                  : this->order > other.order;
    }
  };

  void At(TimePoint at, std::function<void()> action);
  void After(Duration delay, std::function<void()> action) {
    this->At(this->now + delay, std::move(action));
  }
  double Uniform() { return this->random.Unit(); }
  double Normal();
  Duration Delay(int domain_a, int domain_b);

  // Workload.
  void StartArrivals();
  double Rate(std::size_t load, TimePoint at) const;
  void ScheduleArrival(std::size_t load);
  std::size_t NewCaller(std::size_t load);
  void Submit(std::size_t id);
  void SubmitCrashing();

  // Entry daemons.
  void Process(int index);
  void ScheduleWake(int index);
  void Handle(int index, const DispatchAction& action);
  void Handle(int index, const RefuseAction& action);
  void Handle(int index, const CancelAction& action);
  void Handle(int, const QueueAction&) {}
  void TakeCrashReports(int index);
  void Resume(Attempt& attempt, const DispatchAction& action);
  void StopWaiting(Caller& caller, bool served);
  void CountShed(const Caller& caller, ResultCode code);
  void EndAttempt(Attempt& attempt,
                  ResultCode code,
                  Duration delay,
                  int delivered);

  // Servers.
  void Arrive(Attempt& attempt);
  void Kick(std::size_t index);
  void RunStep(std::size_t index);
  void Deliver(Attempt& attempt, int tokens, Duration delay);
  void Complete(Attempt& attempt, Duration delay);
  void FallSilent(Attempt& attempt);
  void SendReport(std::size_t index);
  void Crash(std::size_t index, bool silently);
  void ScheduleFaults();

  void Waste(const Attempt& attempt, int tokens, const std::string& cause);
  void Finish(Caller& caller, bool attained, const char* cause);

  const Deployment& deployment;
  Scenario scenario;
  internal::Random random;
  TimePoint now{};
  std::uint64_t next_order = 0;
  std::priority_queue<Event> events;
  std::vector<EngineModel> servers;
  std::vector<bool> stepping;
  std::map<std::string, std::size_t> server_index;
  std::vector<std::uint64_t> report_sequence;
  std::vector<EntryDaemon> entries;
  std::deque<Caller> callers;
  std::deque<Attempt> attempts;
  std::vector<double> base_rate;  // Requests/s at load 1, by class.
  std::map<std::string, std::set<std::string>> findings;
  std::set<std::string> quarantined;
  RunResult result;
};

}  // namespace sycamorebend::benchmark

#endif  // BENCHMARK_ROUTING_SIMULATION_H_
