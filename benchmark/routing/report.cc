#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace sycamorebend::benchmark {

namespace {

// Slack of the aging rule: the interval between two turns of a class and the
// time that a request sent by it may queue at its server behind urgent work,
// which is refused when it could not start before its own deadline.
Duration LongestWaitBound(const Policy& policy, const ClassPolicy& one) {
  Duration urgent_deadline{0};
  for (const ClassPolicy& other : policy.classes) {
    if (other.tier == 0 && other.servers.Text() == one.servers.Text()) {
      urgent_deadline = std::max(urgent_deadline, other.deadline);
    }
  }
  return one.max_wait + seconds(1) + urgent_deadline;
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
  for (const ClassResult& one : run.classes) {
    sum += function(one);
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
  for (const auto& [cause, count] : from.waste) {
    into.waste[cause] += count;
  }
  for (const auto& [cause, count] : from.misses) {
    into.misses[cause] += count;
  }
}

double UrgentAttainment(const RunResult& run) {
  const auto tier0 = [](auto member) {
    return [member](const ClassResult& one) {
      return one.tier == 0 ? static_cast<double>(one.*member) : 0;
    };
  };
  return Ratio(Sum(run, tier0(&ClassResult::attained)),
               Sum(run, tier0(&ClassResult::requests)));
}

double Attainment(const RunResult& run) {
  return Ratio(Sum(run, [](const auto& one) { return one.attained; }),
               Sum(run, [](const auto& one) { return one.requests; }));
}

double Goodput(const RunResult& run) {
  return Sum(run, [](const auto& one) { return one.goodput_tokens; });
}

double Waste(const RunResult& run) {
  return Sum(run, [](const auto& one) { return one.wasted_tokens; });
}

void PrintTable(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    fmt::print(
        "{:8} {:28} {:14} urgent {:.4f} all {:.4f} goodput {:9.0f} waste "
        "{:8.0f} shed {} aged {}\n",
        row.deployment, row.scenario, row.scheduler, UrgentAttainment(row.run),
        Attainment(row.run), Goodput(row.run), Waste(row.run),
        row.run.urgent_shed, row.run.urgent_shed_aged);
    if (row.scheduler != kPolicyName) {
      continue;
    }
    for (const ClassResult& one : row.run.classes) {
      fmt::print(
          "    {:14} tier {} requests {:6} attained {:.4f} refused {:5} "
          "goodput {:8.0f} waste {:7.0f} wait {:6.2f}s p50 {:7.0f} ms p95 "
          "{:7.0f} ms\n",
          one.name, one.tier, one.requests,
          Ratio(static_cast<double>(one.attained),
                static_cast<double>(one.requests)),
          one.refused, one.goodput_tokens, one.wasted_tokens,
          std::chrono::duration<double>(one.longest_wait).count(),
          Percentile(one.first_token_ms, 0.5),
          Percentile(one.first_token_ms, 0.95));
    }
    for (const auto& [cause, count] : row.run.misses) {
      fmt::print("      missed: {} {}\n", cause, count);
    }
    for (const auto& [cause, count] : row.run.waste) {
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
    for (const ClassResult& one : row.run.classes) {
      file << fmt::format(
          "{},{},{},{},{},{},{:.4f},{},{:.0f},{:.0f},{:.2f},{:.0f}\n",
          row.deployment, row.scenario, row.scheduler, one.name, one.tier,
          one.requests,
          Ratio(static_cast<double>(one.attained),
                static_cast<double>(one.requests)),
          one.refused, one.goodput_tokens, one.wasted_tokens,
          std::chrono::duration<double>(one.longest_wait).count(),
          Percentile(one.first_token_ms, 0.95));
    }
  }
  return static_cast<bool>(file);
}

void Bounds::Print(const std::string& name,
                   double value,
                   const char* unit,
                   const char* relation,
                   double bound,
                   bool pass) {
  fmt::print("{} {:.4g} {} {}{:g} {}\n", name, value, unit, relation, bound,
             pass ? "pass" : "fail");
  this->failures += pass ? 0 : 1;
}

void Bounds::AtLeast(const std::string& name,
                     double value,
                     const char* unit,
                     double bound) {
  this->Print(name, value, unit, ">=", bound, value >= bound);
}

void Bounds::AtMost(const std::string& name,
                    double value,
                    const char* unit,
                    double bound) {
  this->Print(name, value, unit, "<=", bound, value <= bound);
}

void CheckBounds(const std::vector<Row>& rows,
                 const std::vector<Deployment>& deployments,
                 Bounds& bounds) {
  for (const Row& row : rows) {
    if (row.scheduler != kPolicyName) {
      continue;
    }
    const std::string prefix = row.deployment + "/" + row.scenario + "/";
    bounds.AtMost(prefix + "urgent_shed_for_lower_tiers",
                  static_cast<double>(row.run.urgent_shed), "requests", 0);
    bounds.AtMost(prefix + "urgent_preempted_for_lower_tiers",
                  static_cast<double>(row.run.urgent_preempted), "requests", 0);
    const auto deployment = std::find_if(
        deployments.begin(), deployments.end(),
        [&row](const Deployment& one) { return one.name == row.deployment; });
    for (const ClassResult& one : row.run.classes) {
      const Policy& policy = *deployment->policy;
      bounds.AtMost(prefix + one.name + "/longest_wait",
                    std::chrono::duration<double>(one.longest_wait).count(),
                    "s",
                    std::chrono::duration<double>(
                        LongestWaitBound(policy, *policy.FindClass(one.name)))
                        .count());
      if (one.order) {
        // With full knowledge the answers of silent connections are lost too.
        fmt::print("{}{}/wasted_best_possible {} tokens\n", prefix, one.name,
                   one.undeliverable);
        bounds.AtMost(prefix + one.name + "/duplicate_runs",
                      static_cast<double>(one.duplicates), "orders", 0);
        bounds.AtMost(prefix + one.name + "/wasted", one.wasted_tokens,
                      "tokens", 0);
      }
    }
    double best_goodput = 0;
    double least_waste = 0;
    for (const Row& other : rows) {
      if (other.deployment == row.deployment &&
          other.scenario == row.scenario && other.scheduler != kPolicyName &&
          Goodput(other.run) > best_goodput) {
        best_goodput = Goodput(other.run);
        least_waste = Waste(other.run);
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
                    Ratio(Waste(row.run), least_waste), "ratio", 0.5);
    }
  }
}

}  // namespace sycamorebend::benchmark
