#include <algorithm>
#include <future>
#include <memory>
#include <vector>

#include "load/load_runner.h"
#include "system/fleet.h"
#include "system/measurements.h"

namespace sycamorebend {

namespace {

constexpr int kOpenStreams = 200;
constexpr int kManyStreams = 1000;
constexpr int kSamples = 2000;
constexpr int kInterleavedRequestCount = 10000;
constexpr int kLongResponseTokens = 100000;
constexpr double kFirstByteBoundMs = 2;
constexpr double kMemoryBoundMb = 256;

FleetOptions SingleEntryOptions(int token_delay_us) {
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  options.services = 0;
  options.engine_settings["slots"] = 4 * kManyStreams;
  options.engine_settings["token_delay_us"] = token_delay_us;
  options.engine_settings["prefill_block_us"] = 0;
  options.engine_settings["kv_tokens"] = 1000000000;
  return options;
}

class FirstByteObserver : public HttpObserver {
 public:
  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view /*data*/) override {
    if (this->first == TimePoint()) {
      this->first = SystemClock().Now();
    }
  }
  void OnDone(const HttpOutcome& /*outcome*/) override {
    this->done.set_value();
  }

  TimePoint first;
  std::promise<void> done;
};

Duration FirstByteTime(Fleet& fleet, HttpCall call) {
  auto observer = std::make_shared<FirstByteObserver>();
  std::future<void> done = observer->done.get_future();
  const TimePoint start = SystemClock().Now();
  fleet.Client().Start(std::move(call), observer);
  done.wait();
  return observer->first - start;
}

double PercentileMs(std::vector<Duration>& values, double share) {
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return std::chrono::duration<double, std::milli>(values[index]).count();
}

// Starts long responses that stay open until the end of the measurement.
std::vector<std::unique_ptr<OpenCall>> OpenStreams(Fleet& fleet, int count) {
  std::vector<std::unique_ptr<OpenCall>> calls;
  for (int i = 0; i < count; ++i) {
    HttpCall call =
        fleet.ChatCall(fleet.Entry(0).address, "open " + std::to_string(i),
                       kLongResponseTokens);
    call.total_timeout = std::chrono::minutes(10);
    calls.push_back(
        std::make_unique<OpenCall>(fleet.Client(), std::move(call)));
  }
  for (const auto& call : calls) {
    call->WaitForBytes(1, seconds(60));
  }
  return calls;
}

void CancelAll(const std::vector<std::unique_ptr<OpenCall>>& calls) {
  for (const auto& call : calls) {
    call->Cancel();
  }
  for (const auto& call : calls) {
    call->WaitForEnd();
  }
}

}  // namespace

void MeasureFirstByte(BoundChecker& checker) {
  Fleet fleet(SingleEntryOptions(33000));
  const auto open = OpenStreams(fleet, kOpenStreams);
  std::vector<Duration> direct;
  std::vector<Duration> through;
  std::vector<Duration> added;
  for (int i = 0; i < kSamples; ++i) {
    const std::string prompt = "sample " + std::to_string(i);
    direct.push_back(FirstByteTime(
        fleet, fleet.ChatCall(fleet.Engine(0).address, prompt, 1)));
    through.push_back(FirstByteTime(
        fleet, fleet.ChatCall(fleet.Entry(0).address, prompt, 1)));
    added.push_back(through.back() - direct.back());
  }
  CancelAll(open);
  checker.Report("first_byte_direct_p50", PercentileMs(direct, 0.5), "ms");
  checker.Report("first_byte_direct_p99", PercentileMs(direct, 0.99), "ms");
  checker.Report("first_byte_entry_p50", PercentileMs(through, 0.5), "ms");
  checker.Report("first_byte_entry_p99", PercentileMs(through, 0.99), "ms");
  checker.Report("added_first_byte_p50", PercentileMs(added, 0.5), "ms");
  // Each sample is the difference between two consecutive requests.
  checker.AtMost("added_first_byte_p99", PercentileMs(added, 0.99), "ms",
                 kFirstByteBoundMs);
}

void MeasureMemory(BoundChecker& checker) {
  Fleet fleet(SingleEntryOptions(100000));
  const auto open = OpenStreams(fleet, kManyStreams);
  double resident = 0;
  const TimePoint end = SystemClock().Now() + seconds(5);
  while (SystemClock().Now() < end) {
    resident = std::max(
        resident, ReadUsage(fleet.Entry(0).process->Pid()).resident_megabytes);
    SleepBriefly();
  }
  const auto streams = std::count_if(
      open.begin(), open.end(),
      [](const auto& call) { return !call->Ended() && call->Status() == 200; });
  CancelAll(open);
  checker.AtLeast("entry_open_streams", static_cast<double>(streams), "streams",
                  kManyStreams);
  checker.AtMost("entry_memory_1000_streams", resident, "MB", kMemoryBoundMb);
}

void MeasureInterleaved(BoundChecker& checker) {
  FleetOptions fleet_options;
  fleet_options.engine_settings["slots"] = kManyStreams;
  Fleet fleet(fleet_options);
  LoadOptions load;
  for (std::size_t i = 0; i < fleet.EntryCount(); ++i) {
    load.targets.push_back(fleet.Entry(i).address);
  }
  load.requests_per_second = 1000;
  load.count = kInterleavedRequestCount;
  load.duration = seconds(60);
  for (const LoadKind kind : {LoadKind::kChat, LoadKind::kCompletion}) {
    for (const bool stream : {true, false}) {
      LoadClass load_class;
      load_class.name = std::to_string(load.classes.size());
      load_class.kind = kind;
      load_class.stream = stream;
      load_class.model = "chat-1";
      load_class.api_key = Fleet::ApiKey();
      load.classes.push_back(load_class);
    }
  }
  const LoadReport report = RunLoad(load);
  if (report.Total().whole != kInterleavedRequestCount) {
    // Shows why requests failed.
    std::fputs(report.ToTable().c_str(), stderr);
  }
  checker.AtLeast("interleaved_answers_equal",
                  static_cast<double>(report.Total().whole), "answers",
                  kInterleavedRequestCount);
}

}  // namespace sycamorebend
