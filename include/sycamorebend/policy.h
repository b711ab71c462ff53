// The configuration document set by operators: tiers, request classes,
// customers, and labels of backend servers and models.
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
  // Selects the requests of the class by their labels.
  Selector match;
  // Selects the backend servers that may serve the class by their labels.
  Selector servers;
  // Latency targets: time to the first token and between tokens.
  Duration first_token_target = milliseconds(1600);
  Duration gap_target = milliseconds(33);
  // The response must be complete within this time to be of use.
  Duration deadline = seconds(60);
  // If no request of the class is served for this long, the aging rule sends
  // its requests one at a time with the highest priority.
  Duration max_wait = seconds(30);
  // Timeouts of an attempt.
  Duration first_byte_timeout = seconds(10);
  Duration gap_timeout = seconds(2);
  // Maximum number of queued requests at one entry daemon.
  int max_queue = 1000;
  // False for orders, which require an idempotency key and run at most once.
  bool idempotent = true;
};

struct CustomerPolicy {
  std::string name;
  // SHA-256 digest of the API key, as 64 lower-case hexadecimal digits.
  std::string key_sha256;
  std::set<Tier> tiers;
  // Maximum number of requests in flight or queued at one entry daemon.
  int max_in_flight = 100;
  // Share of a class's capacity relative to other customers.
  double weight = 1;
};

struct Policy {
  // Position in the configuration history; set by the control state.
  std::uint64_t version = 0;
  // Names, from the most to the least urgent tier.
  std::vector<std::string> tiers;
  // In the order in which they are matched.
  std::vector<ClassPolicy> classes;
  std::vector<CustomerPolicy> customers;
  // Labels that operators assign to backend servers, by server ID. They
  // override announced labels of the same name.
  std::map<std::string, Labels> server_labels;
  // Labels assigned to requests by the model they name, such as
  // {"repair-13b": {"model": "repair"}}. A request for a model that is not
  // listed gets the label model=NAME.
  std::map<std::string, Labels> model_labels;

  // @return the class with this name, or nullptr.
  const ClassPolicy* FindClass(std::string_view name) const;
  // @return the first class whose selector matches, or nullptr.
  const ClassPolicy* MatchClass(const Labels& labels) const;
  // @param api_key the API key as sent by the caller.
  // @return the customer, or nullptr.
  const CustomerPolicy* FindCustomer(std::string_view api_key) const;
};

// Parses and validates a configuration document.
// @return the policy, or kConfigurationInvalid naming the key, the value found
// and the accepted values.
Result<Policy> ParsePolicy(const Json::Value& document);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_POLICY_H_
