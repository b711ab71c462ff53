#include <fmt/format.h>

#include "load/load_runner.h"

namespace sycamorebend {

namespace {

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

double PerSecond(std::uint64_t count, Duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

Json::Value CountsJson(const std::map<int, std::uint64_t>& counts) {
  Json::Value value(Json::objectValue);
  for (const auto& [number, count] : counts) {
    value[std::to_string(number)] = static_cast<Json::UInt64>(count);
  }
  return value;
}

Json::Value PercentilesJson(const Distribution& distribution) {
  Json::Value value(Json::objectValue);
  value["p50_ms"] = distribution.Percentile(kMedian);
  value["p95_ms"] = distribution.Percentile(kP95);
  value["p99_ms"] = distribution.Percentile(kP99);
  return value;
}

Json::Value ClassJson(const ClassReport& report, Duration elapsed) {
  Json::Value value(Json::objectValue);
  value["started"] = static_cast<Json::UInt64>(report.started);
  value["not_sent"] = static_cast<Json::UInt64>(report.not_sent);
  value["whole"] = static_cast<Json::UInt64>(report.whole);
  value["wrong"] = static_cast<Json::UInt64>(report.wrong);
  value["attainment"] = Ratio(report.met_targets, report.started);
  value["tokens"] = static_cast<Json::UInt64>(report.tokens);
  value["tokens_per_second"] = PerSecond(report.tokens, elapsed);
  value["goodput_tokens_per_second"] = PerSecond(report.good_tokens, elapsed);
  value["errors_by_code"] = CountsJson(report.errors);
  value["errors_by_status"] = CountsJson(report.statuses);
  value["first_token"] = PercentilesJson(report.first_token);
  value["gap"] = PercentilesJson(report.gap);
  value["total"] = PercentilesJson(report.total);
  return value;
}

void AddCounts(std::map<int, std::uint64_t>& sum,
               const std::map<int, std::uint64_t>& counts) {
  for (const auto& [number, count] : counts) {
    sum[number] += count;
  }
}

std::string ErrorsText(const ClassReport& report) {
  std::string text;
  for (const auto& [code, count] : report.errors) {
    text += fmt::format(
        " {}={}", GetResultCodeInfo(static_cast<ResultCode>(code)).name, count);
  }
  for (const auto& [status, count] : report.statuses) {
    text += fmt::format(" http_{}={}", status, count);
  }
  return text;
}

}  // namespace

ClassReport LoadReport::Total() const {
  ClassReport total;
  for (const auto& [name, report] : this->classes) {
    total.started += report.started;
    total.not_sent += report.not_sent;
    total.whole += report.whole;
    total.wrong += report.wrong;
    total.met_targets += report.met_targets;
    total.tokens += report.tokens;
    total.good_tokens += report.good_tokens;
    AddCounts(total.errors, report.errors);
    AddCounts(total.statuses, report.statuses);
  }
  return total;
}

Json::Value LoadReport::ToJson() const {
  Json::Value value(Json::objectValue);
  value["elapsed_ms"] = static_cast<Json::Int64>(ToMilliseconds(this->elapsed));
  value["unfinished"] = static_cast<Json::UInt64>(this->unfinished);
  value["requests_per_second"] = PerSecond(this->Total().whole, this->elapsed);
  for (const auto& [name, report] : this->classes) {
    value["classes"][name] = ClassJson(report, this->elapsed);
  }
  return value;
}

std::string LoadReport::ToTable() const {
  std::string table = fmt::format(
      "{:<16} {:>8} {:>8} {:>6} {:>8} {:>9} {:>9} {:>8} {:>8} {:>9}  {}\n",
      "class", "started", "whole", "wrong", "attained", "first p50",
      "first p99", "gap p50", "gap p99", "goodput/s", "errors");
  for (const auto& [name, report] : this->classes) {
    table += fmt::format(
        "{:<16} {:>8} {:>8} {:>6} {:>8.4f} {:>9.1f} {:>9.1f} {:>8.1f} {:>8.1f} "
        "{:>9.0f} {}\n",
        name, report.started, report.whole, report.wrong,
        Ratio(report.met_targets, report.started),
        report.first_token.Percentile(kMedian),
        report.first_token.Percentile(kP99), report.gap.Percentile(kMedian),
        report.gap.Percentile(kP99),
        PerSecond(report.good_tokens, this->elapsed), ErrorsText(report));
  }
  const ClassReport total = this->Total();
  table += fmt::format(
      "{} started, {} whole, {} wrong, {} unfinished, {} not sent; "
      "{:.1f} requests/s, {:.0f} tokens/s in {:.1f} s\n",
      total.started, total.whole, total.wrong, this->unfinished, total.not_sent,
      PerSecond(total.whole, this->elapsed),
      PerSecond(total.tokens, this->elapsed),
      std::chrono::duration<double>(this->elapsed).count());
  return table;
}

}  // namespace sycamorebend
