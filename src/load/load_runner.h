// Open-loop load generator: requests start at seeded random times, whether or
// not earlier ones have completed. Each response is compared with the expected
// one.
#ifndef SYCAMOREBEND_LOAD_LOAD_RUNNER_H_
#define SYCAMOREBEND_LOAD_LOAD_RUNNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "load/distribution.h"
#include "sycamorebend/base.h"
#include "sycamorebend/http.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

enum class LoadKind : int { kChat = 0, kCompletion = 1, kOrder = 2 };

// One class of requests.
struct LoadClass {
  std::string name;
  LoadKind kind = LoadKind::kChat;
  double weight = 1;
  std::string labels;
  std::string api_key;
  std::string model;
  bool stream = true;
  // Path of an order.
  std::string path = "/orders";
  int prompt_bytes = 200;
  // Prompts of a class begin with the same text of this length.
  int shared_prefix_bytes = 0;
  // Output lengths are uniformly distributed between the two; 0 is derived from
  // the model and the prompt.
  int minimum_tokens = 0;
  int maximum_tokens = 0;
  Duration first_token_target = milliseconds(1600);
  Duration gap_target = milliseconds(33);
  Duration deadline = seconds(60);
};

struct LoadOptions {
  std::vector<std::string> targets;
  // An entry daemon whose /v1/addresses lists the targets; if empty, `targets`
  // is used.
  std::string addresses_from;
  std::uint64_t seed = 1;
  double requests_per_second = 10;
  // Arrivals end after `duration` or `count`, whichever is first.
  Duration duration = seconds(10);
  std::int64_t count = 1000000;
  // Arrivals beyond this many open requests are counted but not sent.
  int max_open = 5000;
  // Time allowed for open requests to complete after the last arrival.
  Duration drain_limit = seconds(60);
  int threads = 2;
  std::vector<LoadClass> classes;
};

// Reads the settings of the load tool.
LoadOptions ReadLoadOptions(SettingsObject& settings);

struct ClassReport {
  std::uint64_t started = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t whole = 0;
  // Responses that completed without an error but differ from the expected one.
  std::uint64_t wrong = 0;
  std::uint64_t met_targets = 0;
  std::uint64_t tokens = 0;
  std::uint64_t good_tokens = 0;
  // By result code, including transport errors.
  std::map<int, std::uint64_t> errors;
  // Error responses without a result code, by HTTP status.
  std::map<int, std::uint64_t> statuses;
  Distribution first_token;
  Distribution gap;
  Distribution total;
};

struct LoadReport {
  // From the start of the run to the end of the last request.
  Duration elapsed{0};
  // Requests cancelled because they were still open at the drain limit.
  std::uint64_t unfinished = 0;
  std::map<std::string, ClassReport> classes;

  // @return the sum over all classes, without distributions.
  ClassReport Total() const;
  Json::Value ToJson() const;
  std::string ToTable() const;
};

// Runs the load and waits until all requests have completed or are cancelled.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_LOAD_LOAD_RUNNER_H_
