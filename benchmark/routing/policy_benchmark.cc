// Compares the scheduler with simple baselines in a simulation in virtual time
// and checks the bounds of docs/design.md, section 1.7. See
// docs/policy-benchmark.md.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "baselines.h"
#include "report.h"
#include "simulation.h"

namespace sycamorebend::benchmark {

namespace {

struct Options {
  std::uint64_t seed = 1;
  int seeds = 1;
  int threads = 3;
  std::string only;  // Substring of "deployment/scenario" to run; empty: all.
  std::string csv;
  std::string svg;
  bool policy_only = false;
};

struct NamedScheduler {
  const char* name;
  SchedulerFactory factory;
};

std::vector<NamedScheduler> MakeSchedulers(bool policy_only) {
  const auto baseline = [](BaselineKind kind) {
    return [kind](const SchedulerOptions& options) {
      return CreateBaseline(kind, options);
    };
  };
  std::vector<NamedScheduler> list = {{kPolicyName, &Scheduler::Create}};
  if (!policy_only) {
    list.push_back({"random", baseline(BaselineKind::kRandom)});
    list.push_back({"round-robin", baseline(BaselineKind::kRoundRobin)});
    list.push_back({"least-reported", baseline(BaselineKind::kLeastReported)});
    list.push_back({"two-choices", baseline(BaselineKind::kTwoChoices)});
  }
  return list;
}

std::vector<Row> RunAll(const Options& options,
                        const std::vector<Deployment>& deployments) {
  struct Job {
    const Deployment* deployment;
    Scenario scenario;
    NamedScheduler named_scheduler;
  };
  std::vector<Job> jobs;
  for (const Deployment& deployment : deployments) {
    for (const Scenario& scenario : Scenarios(deployment)) {
      const std::string name = deployment.name + "/" + scenario.name;
      if (name.find(options.only) == std::string::npos) {
        continue;
      }
      for (const NamedScheduler& named_scheduler :
           MakeSchedulers(options.policy_only)) {
        jobs.push_back({&deployment, scenario, named_scheduler});
      }
    }
  }
  std::vector<Row> rows(jobs.size());
  const auto work = [&](std::size_t first) {
    for (std::size_t i = first; i < jobs.size();
         i += static_cast<std::size_t>(options.threads)) {
      const Job& job = jobs[i];
      rows[i] = {job.deployment->name,     job.scenario.name,
                 job.named_scheduler.name, job.scenario.peak_load >= 2,
                 job.scenario.HasFault(),  {}};
      for (int k = 0; k < options.seeds; ++k) {
        Simulation simulation(*job.deployment, job.scenario,
                              job.named_scheduler.factory,
                              options.seed + static_cast<std::uint64_t>(k));
        Merge(rows[i].run, simulation.Run());
      }
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.threads));
  for (int i = 0; i < options.threads; ++i) {
    threads.emplace_back(work, static_cast<std::size_t>(i));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return rows;
}

// @return the 99th percentile of the time for a routing decision, in
// microseconds, with all servers in one pool and partly loaded.
double DecisionTime(int servers, std::uint64_t seed) {
  const Deployment deployment = Karoo();
  SchedulerOptions options;
  options.seed = seed;
  options.entry_count = kEntryCount;
  const auto scheduler = Scheduler::Create(options);
  TimePoint now{};
  scheduler->SetPolicy(deployment.policy, now);
  for (int i = 0; i < servers; ++i) {
    ServerState state;
    state.server_id = "engine-" + std::to_string(i);
    state.incarnation = "1";
    state.labels = {{"model", kEngineModel}};
    state.slots = 16;
    state.report_sequence = 1;
    state.running_by_tier = {i % 9, i % 3, i % 5, i % 2};
    scheduler->UpdateServer(state, now);
  }
  std::vector<double> times;
  times.reserve(20000);
  for (int i = 0; i < 20000; ++i) {
    now += milliseconds(1);
    RequestInfo info;
    info.request_id = std::to_string(i);
    info.customer = "customer-0";
    info.class_name = i % 2 == 0 ? "repair-urgent" : "chat";
    for (std::uint64_t k = 0; k < 40; ++k) {
      info.prefix_hashes.push_back(static_cast<std::uint64_t>(i % 100) * 1000 +
                                   k);
    }
    info.fingerprint = "f" + info.request_id;
    const auto start = std::chrono::steady_clock::now();
    scheduler->Submit(info, now);
    const auto actions = scheduler->TakeActions();
    const auto end = std::chrono::steady_clock::now();
    times.push_back(
        std::chrono::duration<double, std::micro>(end - start).count());
    scheduler->OnFirstToken(info.request_id, 1, now);
    if (i >= 500) {
      scheduler->OnAttemptDone(std::to_string(i - 500), 1,
                               {ResultCode::kOk, "", false, 100}, now);
      scheduler->TakeActions();
    }
  }
  std::sort(times.begin(), times.end());
  return times[times.size() * 99 / 100];
}

void CheckDecisionTime(std::uint64_t seed, BoundChecker& bounds) {
  const double small = DecisionTime(23, seed);
  const double large = DecisionTime(1500, seed);
  bounds.AtMost("decision_p99_23_servers", small, "us", 20);
  bounds.AtMost("decision_p99_1500_servers", large, "us", 20);
  fmt::print("decision_p99_growth_23_to_1500 {:.3g} ratio\n", large / small);
}

Options ParseOptions(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(0, equals);
    const std::string value =
        equals == std::string::npos ? "" : argument.substr(equals + 1);
    if (name == "--seed") {
      options.seed = std::strtoull(value.c_str(), nullptr, 10);
    } else if (name == "--seeds") {
      options.seeds = std::atoi(value.c_str());
    } else if (name == "--threads") {
      options.threads = std::max(1, std::atoi(value.c_str()));
    } else if (name == "--only") {
      options.only = value;
    } else if (name == "--csv") {
      options.csv = value;
    } else if (name == "--svg") {
      options.svg = value;
    } else if (name == "--policy-only") {
      options.policy_only = true;
    } else {
      fmt::print(stderr,
                 "unknown option {}; accepted: --seed=N --seeds=N --threads=N "
                 "--only=TEXT --csv=FILE --svg=FILE --policy-only\n",
                 name);
      std::exit(2);
    }
  }
  return options;
}

int Main(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  const std::vector<Deployment> deployments = {Karoo(), Prairie()};
  const std::vector<Row> rows = RunAll(options, deployments);
  PrintTable(rows);
  BoundChecker bounds;
  CheckBounds(rows, deployments, bounds);
  CheckDecisionTime(options.seed, bounds);
  bool written = options.csv.empty() || WriteCsv(rows, options.csv);
  written = (options.svg.empty() || WriteSvg(rows, options.svg)) && written;
  if (!written) {
    fmt::print(stderr, "cannot write the CSV or SVG file\n");
    return 2;
  }
  fmt::print("{} bounds missed\n", bounds.Failures());
  return bounds.Failures() == 0 ? 0 : 1;
}

}  // namespace

}  // namespace sycamorebend::benchmark

int main(int argc, char** argv) {
  return sycamorebend::benchmark::Main(argc, argv);
}
