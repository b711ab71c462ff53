// Open-loop load: requests start at seeded random times, whether or not
// earlier ones were answered. Each answer is compared with the expected text.
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
  // Output lengths are uniform between the two; 0 follows from the prompt.
  int minimum_tokens = 0;
  int maximum_tokens = 0;
  Duration first_token_target = milliseconds(1600);
  Duration gap_target = milliseconds(33);
  Duration deadline = seconds(60);
};

struct LoadOptions {
  std::vector<std::string> targets;
  // An entry daemon whose /v1/addresses names the targets; empty: `targets`.
  std::string addresses_from;
  std::uint64_t seed = 1;
  double requests_per_second = 10;
  // Arrivals end after `duration` or `count`, whichever is first.
  Duration duration = seconds(10);
  std::int64_t count = 1000000;
  // Arrivals beyond so many open requests are not sent but counted.
  int max_open = 5000;
  // Time for open requests to end after the last arrival.
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
  // Answers that ended as if whole but differ from the expected text.
  std::uint64_t wrong = 0;
  std::uint64_t met_targets = 0;
  std::uint64_t tokens = 0;
  std::uint64_t good_tokens = 0;
  // By result code; transport errors too.
  std::map<int, std::uint64_t> errors;
  // Error answers without a result code, by HTTP status.
  std::map<int, std::uint64_t> statuses;
  Distribution first_token;
  Distribution gap;
  Distribution total;
};

struct LoadReport {
  // From the first arrival to the last end.
  Duration elapsed{0};
  // Requests that had not ended at the drain limit; they were cancelled.
  std::uint64_t unfinished = 0;
  std::map<std::string, ClassReport> classes;

  // @return the sum over all classes, without distributions.
  ClassReport Total() const;
  Json::Value ToJson() const;
  std::string ToTable() const;
};

// Runs the load and waits for its end.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_LOAD_LOAD_RUNNER_H_
