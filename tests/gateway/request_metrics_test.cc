#include "gateway/request_metrics.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

RequestResult MakeResult(const std::string& tenant, RequestOutcome outcome) {
  RequestResult result;
  result.route = "ask";
  result.tenant = tenant;
  result.outcome = outcome;
  result.status = 200;
  result.attempts = 2;
  result.first_event = milliseconds(150);
  result.longest_gap = milliseconds(40);
  return result;
}

std::string Publish(RequestMetrics& requests, Metrics& metrics) {
  requests.Publish(metrics);
  return metrics.Text();
}

bool Contains(const std::string& text, const std::string& line) {
  return text.find(line) != std::string::npos;
}

}  // namespace

// Guards against metrics that do not attribute late requests to a tenant.
BOOST_AUTO_TEST_CASE(RequestsAreCountedByTenantAndOutcome) {
  RequestMetrics requests;
  Metrics metrics;
  requests.Add(MakeResult("one", RequestOutcome::kInTime));
  requests.Add(MakeResult("two", RequestOutcome::kLate));
  requests.AddRejected(404);
  requests.AddAttempt("until_close", "connection_lost");
  const std::string text = Publish(requests, metrics);
  BOOST_TEST(Contains(
      text, R"(requests_total{outcome="late",route="ask",status="200",)"
            R"(tenant="two"} 1)"));
  BOOST_TEST(Contains(text, R"(attempts_total{route="ask"} 4)"));
  BOOST_TEST(Contains(text, R"(rejected_total{status="404"} 1)"));
  BOOST_TEST(Contains(text, R"(attempt_ends_total{framing="until_close",)"
                            R"(outcome="connection_lost"} 1)"));
  BOOST_TEST(
      Contains(text, R"(first_event_seconds_bucket{route="ask",le="0.2"} 2)"));
  BOOST_TEST(
      Contains(text, R"(first_event_seconds_bucket{route="ask",le="0.1"} 0)"));
}

// Guards against a histogram that counts values again each time it is
// published.
BOOST_AUTO_TEST_CASE(PublishingTwiceCountsOnce) {
  RequestMetrics requests;
  Metrics metrics;
  requests.Add(MakeResult("one", RequestOutcome::kInTime));
  const std::string first_event = Publish(requests, metrics);
  BOOST_TEST(Publish(requests, metrics) == first_event);
}

// Guards against a number of time series that grows with the number of tenants.
BOOST_AUTO_TEST_CASE(ManyTenantsShareALabel) {
  RequestMetrics requests;
  Metrics metrics;
  for (int i = 0; i < 80; ++i) {
    requests.Add(MakeResult("t" + std::to_string(i), RequestOutcome::kInTime));
  }
  const std::string text = Publish(requests, metrics);
  BOOST_TEST(Contains(text, R"(tenant="t49"} 1)"));
  BOOST_TEST(!Contains(text, R"(tenant="t50")"));
  BOOST_TEST(Contains(text, R"(tenant="other"} 30)"));
}

}  // namespace sycamorebend::gateway
