#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace sycamorebend::benchmark {

namespace {

// @return the maximum of ClassResult::longest_wait allowed by the aging rule:
// max_wait, the interval between two applications of the rule, and the time for
// which a request sent by it may queue at its server behind urgent requests.
// The latter is at most the deadline of these, because an urgent request that
// could not start before its deadline is refused.
Duration LongestWaitBound(const Policy& policy,
                          const ClassPolicy& class_policy) {
  Duration urgent_deadline{0};
  for (const ClassPolicy& other : policy.classes) {
    if (other.tier == 0 &&
        other.servers.Text() == class_policy.servers.Text()) {
      urgent_deadline = std::max(urgent_deadline, other.deadline);
    }
  }
  return class_policy.max_wait + seconds(1) + urgent_deadline;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      share * static_cast<double>(values.size() - 1))];
}

double Ratio(double value, double total) {
  return total == 0 ? 1 : value / total;
}

template <typename Function>
double Sum(const RunResult& run, Function function) {
  double sum = 0;
  for (const ClassResult& class_result : run.classes) {
    sum += function(class_result);
  }
  return sum;
}

}  // namespace

void Merge(RunResult& into, const RunResult& from) {
  if (into.classes.empty()) {
    into = from;
    return;
  }
  for (std::size_t i = 0; i < into.classes.size(); ++i) {
    ClassResult& a = into.classes[i];
    const ClassResult& b = from.classes[i];
    a.requests += b.requests;
    a.attained += b.attained;
    a.refused += b.refused;
    a.goodput_tokens += b.goodput_tokens;
    a.wasted_tokens += b.wasted_tokens;
    a.duplicates += b.duplicates;
    a.undeliverable += b.undeliverable;
    a.longest_wait = std::max(a.longest_wait, b.longest_wait);
    a.first_token_ms.insert(a.first_token_ms.end(), b.first_token_ms.begin(),
                            b.first_token_ms.end());
  }
  into.urgent_shed += from.urgent_shed;
  into.urgent_shed_aged += from.urgent_shed_aged;
  into.urgent_preempted += from.urgent_preempted;
  for (const auto& [cause, count] : from.wasted_by_cause) {
    into.wasted_by_cause[cause] += count;
  }
  for (const auto& [cause, count] : from.missed_targets) {
    into.missed_targets[cause] += count;
  }
}

double UrgentAttainment(const RunResult& run) {
  const auto tier0 = [](auto member) {
    return [member](const ClassResult& class_result) {
      return class_result.tier == 0 ? static_cast<double>(class_result.*member)
                                    : 0;
    };
  };
  return Ratio(Sum(run, tier0(&ClassResult::attained)),
               Sum(run, tier0(&ClassResult::requests)));
}

double Attainment(const RunResult& run) {
  return Ratio(
      Sum(run, [](const auto& class_result) { return class_result.attained; }),
      Sum(run, [](const auto& class_result) { return class_result.requests; }));
}

double Goodput(const RunResult& run) {
  return Sum(run, [](const auto& class_result) {
    return class_result.goodput_tokens;
  });
}

double WastedTokens(const RunResult& run) {
  return Sum(
      run, [](const auto& class_result) { return class_result.wasted_tokens; });
}

void PrintTable(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    fmt::print(
        "{:8} {:28} {:14} urgent {:.4f} all {:.4f} goodput {:9.0f} waste "
        "{:8.0f} shed {} aged {}\n",
        row.deployment, row.scenario, row.scheduler, UrgentAttainment(row.run),
        Attainment(row.run), Goodput(row.run), WastedTokens(row.run),
        row.run.urgent_shed, row.run.urgent_shed_aged);
    if (row.scheduler != kPolicyName) {
      continue;
    }
    for (const ClassResult& class_result : row.run.classes) {
      fmt::print(
          "    {:14} tier {} requests {:6} attained {:.4f} refused {:5} "
          "goodput {:8.0f} waste {:7.0f} wait {:6.2f}s p50 {:7.0f} ms p95 "
          "{:7.0f} ms\n",
          class_result.name, class_result.tier, class_result.requests,
          Ratio(static_cast<double>(class_result.attained),
                static_cast<double>(class_result.requests)),
          class_result.refused, class_result.goodput_tokens,
          class_result.wasted_tokens,
          std::chrono::duration<double>(class_result.longest_wait).count(),
          Percentile(class_result.first_token_ms, 0.5),
          Percentile(class_result.first_token_ms, 0.95));
    }
    for (const auto& [cause, count] : row.run.missed_targets) {
      fmt::print("      missed: {} {}\n", cause, count);
    }
    for (const auto& [cause, count] : row.run.wasted_by_cause) {
      fmt::print("      wasted tokens: {} {}\n", cause, count);
    }
  }
}

bool WriteCsv(const std::vector<Row>& rows, const std::string& path) {
  std::ofstream file(path);
  file << "deployment,scenario,scheduler,class,tier,requests,attainment,"
          "refused,goodput_tokens,wasted_tokens,longest_wait_s,"
          "first_token_p95_ms\n";
  for (const Row& row : rows) {
    for (const ClassResult& class_result : row.run.classes) {
      file << fmt::format(
          "{},{},{},{},{},{},{:.4f},{},{:.0f},{:.0f},{:.2f},{:.0f}\n",
          row.deployment, row.scenario, row.scheduler, class_result.name,
          class_result.tier, class_result.requests,
          Ratio(static_cast<double>(class_result.attained),
                static_cast<double>(class_result.requests)),
          class_result.refused, class_result.goodput_tokens,
          class_result.wasted_tokens,
          std::chrono::duration<double>(class_result.longest_wait).count(),
          Percentile(class_result.first_token_ms, 0.95));
    }
  }
  return static_cast<bool>(file);
}

void BoundChecker::Print(const std::string& name,
                         double value,
                         const char* unit,
                         const char* relation,
                         double bound,
                         bool pass) {
  fmt::print("{} {:.4g} {} {}{:g} {}\n", name, value, unit, relation, bound,
             pass ? "pass" : "fail");
  this->failures += pass ? 0 : 1;
}

void BoundChecker::AtLeast(const std::string& name,
                           double value,
                           const char* unit,
                           double bound) {
  this->Print(name, value, unit, ">=", bound, value >= bound);
}

void BoundChecker::AtMost(const std::string& name,
                          double value,
                          const char* unit,
                          double bound) {
  this->Print(name, value, unit, "<=", bound, value <= bound);
}

void CheckBounds(const std::vector<Row>& rows,
                 const std::vector<Deployment>& deployments,
                 BoundChecker& bounds) {
  for (const Row& row : rows) {
    if (row.scheduler != kPolicyName) {
      continue;
    }
    const std::string prefix = row.deployment + "/" + row.scenario + "/";
    bounds.AtMost(prefix + "urgent_shed_for_lower_tiers",
                  static_cast<double>(row.run.urgent_shed), "requests", 0);
    bounds.AtMost(prefix + "urgent_preempted_for_lower_tiers",
                  static_cast<double>(row.run.urgent_preempted), "requests", 0);
    const auto deployment =
        std::find_if(deployments.begin(), deployments.end(),
                     [&row](const Deployment& candidate) {
                       return candidate.name == row.deployment;
                     });
    for (const ClassResult& class_result : row.run.classes) {
      const Policy& policy = *deployment->policy;
      bounds.AtMost(
          prefix + class_result.name + "/longest_wait",
          std::chrono::duration<double>(class_result.longest_wait).count(), "s",
          std::chrono::duration<double>(
              LongestWaitBound(policy, *policy.FindClass(class_result.name)))
              .count());
      if (class_result.order) {
        // Lower bound: responses on stalled connections are always lost.
        fmt::print("{}{}/wasted_best_possible {} tokens\n", prefix,
                   class_result.name, class_result.undeliverable);
        bounds.AtMost(prefix + class_result.name + "/duplicate_runs",
                      static_cast<double>(class_result.duplicates), "orders",
                      0);
        bounds.AtMost(prefix + class_result.name + "/wasted",
                      class_result.wasted_tokens, "tokens", 0);
      }
    }
    double best_goodput = 0;
    double least_waste = 0;
    for (const Row& other : rows) {
      if (other.deployment == row.deployment &&
          other.scenario == row.scenario && other.scheduler != kPolicyName &&
          Goodput(other.run) > best_goodput) {
        best_goodput = Goodput(other.run);
        least_waste = WastedTokens(other.run);
      }
    }
    if (row.fault) {
      bounds.AtLeast(prefix + "urgent_attainment", UrgentAttainment(row.run),
                     "share", 0.95);
    }
    if (row.twice_capacity) {
      if (!row.fault) {
        bounds.AtLeast(prefix + "urgent_attainment", UrgentAttainment(row.run),
                       "share", 0.99);
      }
      bounds.AtLeast(prefix + "goodput_over_best_baseline",
                     Ratio(Goodput(row.run), best_goodput), "ratio", 1.3);
      bounds.AtMost(prefix + "waste_over_best_baseline",
                    Ratio(WastedTokens(row.run), least_waste), "ratio", 0.5);
    }
  }
}

}  // namespace sycamorebend::benchmark
