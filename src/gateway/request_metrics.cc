#include "gateway/request_metrics.h"

#include <algorithm>
#include <array>

namespace sycamorebend::gateway {

namespace {

constexpr std::array<std::string_view, 5> kOutcomeNames = {
    "in_time", "late", "refused", "failed", "caller_left"};

// Maximum number of tenants with a label of their own. Further tenants share
// one, which bounds the number of time series.
constexpr std::size_t kMaxTenantLabels = 50;
constexpr const char* kOtherTenants = "other";

// Upper bounds of the histogram buckets, in seconds.
const std::vector<double>& Bounds() {
  static const std::vector<double> kBounds = {
      0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 1, 2, 4, 8, 16};
  return kBounds;
}

double ToSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

std::string_view RequestOutcomeName(RequestOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

void RequestMetrics::Observe(Histogram& histogram, Duration value) {
  histogram.counts.resize(Bounds().size() + 1);
  const double number = ToSeconds(value);
  const auto bound = std::lower_bound(Bounds().begin(), Bounds().end(), number);
  ++histogram.counts[static_cast<std::size_t>(bound - Bounds().begin())];
  histogram.sum += number;
}

void RequestMetrics::Add(const RequestResult& result) {
  const bool own_label = this->tenants.count(result.tenant) > 0 ||
                         this->tenants.size() < kMaxTenantLabels;
  if (own_label) {
    this->tenants.insert(result.tenant);
  }
  ++this->requests[{result.route, own_label ? result.tenant : kOtherTenants,
                    result.outcome, result.status}];
  this->attempts[result.route] += static_cast<std::uint64_t>(result.attempts);
  if (result.first_event > Duration{0}) {
    Observe(this->first_event[result.route], result.first_event);
  }
  if (result.longest_gap > Duration{0}) {
    Observe(this->longest_gaps[result.route], result.longest_gap);
  }
}

void RequestMetrics::Publish(Metrics& metrics) {
  for (const auto& [key, count] : this->requests) {
    const auto& [route, tenant, outcome, status] = key;
    metrics.SetTotal("sycamorebend_gateway_requests_total",
                     "Requests by route, tenant, outcome and status.",
                     {{"route", route},
                      {"tenant", tenant},
                      {"outcome", std::string(RequestOutcomeName(outcome))},
                      {"status", std::to_string(status)}},
                     static_cast<double>(count));
  }
  for (const auto& [route, count] : this->attempts) {
    metrics.SetTotal("sycamorebend_gateway_attempts_total",
                     "Sendings of requests to backend servers.",
                     {{"route", route}}, static_cast<double>(count));
  }
  for (const auto& [key, count] : this->attempt_ends) {
    metrics.SetTotal("sycamorebend_gateway_attempt_ends_total",
                     "Ends of attempts by framing of the response and outcome.",
                     {{"framing", key.first}, {"outcome", key.second}},
                     static_cast<double>(count));
  }
  for (const auto& [status, count] : this->rejected) {
    metrics.SetTotal("sycamorebend_gateway_rejected_total",
                     "Requests that were not forwarded, by status.",
                     {{"status", std::to_string(status)}},
                     static_cast<double>(count));
  }
  metrics.SetTotal("sycamorebend_gateway_unconfirmed_requests_total",
                   "Requests that arrived while the configuration in force was "
                   "not confirmed in time.",
                   {}, static_cast<double>(this->unconfirmed));
  for (auto& [route, histogram] : this->first_event) {
    metrics.AddToHistogram("sycamorebend_gateway_first_event_seconds",
                           "Time to the first event or the whole answer.",
                           {{"route", route}}, Bounds(), histogram.counts,
                           histogram.sum);
    histogram = {};
  }
  for (auto& [route, histogram] : this->longest_gaps) {
    metrics.AddToHistogram("sycamorebend_gateway_longest_pause_seconds",
                           "Longest pause of each stream.", {{"route", route}},
                           Bounds(), histogram.counts, histogram.sum);
    histogram = {};
  }
}

}  // namespace sycamorebend::gateway
