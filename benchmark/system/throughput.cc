#include <fmt/format.h>

#include <memory>
#include <vector>

#include "sycamorebend/settings.h"
#include "system/fleet.h"
#include "system/measurements.h"

namespace sycamorebend {

namespace {

constexpr int kEntries = 8;
constexpr int kEngines = 4;
constexpr int kLoadProcesses = 2;
constexpr int kSecondsOfLoad = 10;
constexpr int kOfferedRequests = 1400;
constexpr int kTokensPerRequest = 216;
constexpr double kRequestsBound = 1300;
constexpr double kTokensBound = 280000;

FleetOptions EightEntryOptions() {
  FleetOptions options;
  options.entries = kEntries;
  options.engines = kEngines;
  options.services = 0;
  options.engine_settings["slots"] = 2000;
  options.engine_settings["token_delay_us"] = 5000;
  options.engine_settings["kv_tokens"] = 1000000000;
  return options;
}

struct LoadResult {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double whole = 0;
  double started = 0;
  double tokens = 0;
  Duration entry_cpu{0};
};

Duration EntryCpu(Fleet& fleet) {
  Duration cpu{0};
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    cpu += ReadUsage(fleet.Entry(i).process->Pid()).cpu;
  }
  return cpu;
}

std::string LoadSettings(Fleet& fleet, int seed, int tokens) {
  Json::Value settings(Json::objectValue);
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    settings["targets"].append(fleet.Entry(i).address);
  }
  settings["seed"] = seed;
  settings["requests_per_second"] = kOfferedRequests / kLoadProcesses;
  settings["duration_ms"] = 1000 * kSecondsOfLoad;
  Json::Value load_class(Json::objectValue);
  load_class["name"] = "chat";
  load_class["model"] = "chat-1";
  load_class["api_key"] = Fleet::ApiKey();
  load_class["minimum_tokens"] = tokens;
  load_class["maximum_tokens"] = tokens;
  settings["classes"].append(load_class);
  return WriteJson(settings);
}

// Runs the load tool in several processes at the same time.
LoadResult RunLoadProcesses(Fleet& fleet, int tokens) {
  std::vector<std::unique_ptr<ChildProcess>> processes;
  const Duration cpu_before = EntryCpu(fleet);
  for (int i = 0; i < kLoadProcesses; ++i) {
    const std::string name =
        fmt::format("{}/load-{}-{}", fleet.Directory(), tokens, i);
    WriteFile(name + ".json", LoadSettings(fleet, i + 1, tokens));
    processes.push_back(std::make_unique<ChildProcess>(
        "sycamorebend-load",
        std::vector<std::string>{"--settings=" + name + ".json",
                                 "--format=json"},
        name + ".out"));
  }
  LoadResult result;
  for (const auto& process : processes) {
    process->WaitForExit(std::chrono::minutes(3));
    const auto report = ParseJson(ReadFile(process->LogPath()));
    if (!report) {
      continue;
    }
    const Json::Value& chat = report.value()["classes"]["chat"];
    result.requests_per_second +=
        report.value()["requests_per_second"].asDouble();
    result.tokens_per_second += chat["tokens_per_second"].asDouble();
    result.whole += chat["whole"].asDouble();
    result.started += chat["started"].asDouble();
    result.tokens += chat["tokens"].asDouble();
    if (chat["whole"] != chat["started"]) {
      fmt::print(stderr, "{}\n", WriteJson(report.value()));
    }
  }
  result.entry_cpu = EntryCpu(fleet) - cpu_before;
  return result;
}

double Microseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

}  // namespace

void MeasureThroughput(BoundChecker& checker) {
  Fleet fleet(EightEntryOptions());
  // Two response lengths separate the cost of a request from that of a token.
  const LoadResult short_load = RunLoadProcesses(fleet, 1);
  const LoadResult long_load = RunLoadProcesses(fleet, kTokensPerRequest);
  if (short_load.whole > 0 && long_load.tokens > 0) {
    const double short_cost =
        Microseconds(short_load.entry_cpu) / short_load.whole;
    const double long_cost =
        Microseconds(long_load.entry_cpu) / long_load.whole;
    checker.Report("entry_cpu_per_request", short_cost, "us");
    checker.Report("entry_cpu_per_token",
                   (long_cost - short_cost) / (kTokensPerRequest - 1), "us");
  }
  checker.Report(
      "throughput_answers_whole",
      long_load.started > 0 ? long_load.whole / long_load.started : 0, "share");
  checker.AtLeast("throughput_requests", long_load.requests_per_second,
                  "requests/s", kRequestsBound);
  checker.AtLeast("throughput_tokens", long_load.tokens_per_second, "tokens/s",
                  kTokensBound);
}

}  // namespace sycamorebend
