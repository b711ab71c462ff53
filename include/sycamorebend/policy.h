// The operators' configuration document: tiers, classes, customers and labels
// of backend servers.
#ifndef SYCAMOREBEND_POLICY_H_
#define SYCAMOREBEND_POLICY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/selector.h"

namespace sycamorebend {

// Index into Policy::tiers. 0 is the most urgent tier.
using Tier = int;

// A class of requests.
struct ClassPolicy {
  std::string name;
  Tier tier = 0;
  // Which requests belong to the class, by their labels.
  Selector match;
  // Which backend servers may serve it, by their labels.
  Selector servers;
  // Target times: the first token and the gap between tokens.
  Duration first_token_target = milliseconds(1600);
  Duration gap_target = milliseconds(33);
  // A request that is not answered completely by then is too late to use.
  Duration deadline = seconds(60);
  // Longest wait in the queue before the class takes slots from higher tiers.
  Duration max_wait = seconds(30);
  // Time limits of one attempt.
  Duration first_byte_timeout = seconds(10);
  Duration gap_timeout = seconds(2);
  // Requests that wait at most, at one entry daemon.
  int max_queue = 1000;
  // False for orders: they need an idempotency key and run at most once.
  bool idempotent = true;
};

struct CustomerPolicy {
  std::string name;
  // SHA-256 digest of the API key, as 64 lower-case hexadecimal digits.
  std::string key_sha256;
  std::set<Tier> tiers;
  // Requests in flight or queued at one entry daemon.
  int max_in_flight = 100;
  // Share of a class's capacity relative to other customers.
  double weight = 1;
};

struct Policy {
  // Position in the history; set by the control state.
  std::uint64_t version = 0;
  // From the most to the least urgent.
  std::vector<std::string> tiers;
  // In the order in which they are matched.
  std::vector<ClassPolicy> classes;
  std::vector<CustomerPolicy> customers;
  // Labels that operators add to backend servers, by server ID. They replace
  // announced labels of the same name.
  std::map<std::string, Labels> server_labels;
  // Model names to the labels that a request for them gets, such as
  // {"repair-13b": {"model": "repair"}}. A model that is not listed gets the
  // label model=NAME.
  std::map<std::string, Labels> model_labels;

  // @return the class, or nullptr.
  const ClassPolicy* FindClass(std::string_view name) const;
  // @return the first class whose selector matches, or nullptr.
  const ClassPolicy* MatchClass(const Labels& labels) const;
  // @param api_key the key as the caller sent it.
  // @return the customer, or nullptr.
  const CustomerPolicy* FindCustomer(std::string_view api_key) const;
};

// Reads and checks a configuration document.
// @return the policy, or kConfigurationInvalid naming the key, the value found
// and what is accepted.
Result<Policy> ParsePolicy(const Json::Value& document);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_POLICY_H_
