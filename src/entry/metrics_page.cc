// The /metrics page of the entry daemon.
#include <algorithm>

#include "entry/daemon.h"

namespace sycamorebend::entry {

namespace {

constexpr int kStatusOk = 200;

void SetClassMetrics(Metrics& metrics,
                     const SchedulerStats::ClassStats& stats) {
  const MetricLabels labels{{"class", stats.class_name}};
  const auto set_total = [&](const char* name, const char* help,
                             std::uint64_t value) {
    metrics.SetTotal(name, help, labels, static_cast<double>(value));
  };
  metrics.SetGauge("sycamorebend_queued", "Requests that wait for a server.",
                   labels, stats.queued);
  metrics.SetGauge("sycamorebend_in_flight", "Requests that run at a server.",
                   labels, stats.in_flight);
  set_total("sycamorebend_submitted_total", "Requests that were admitted.",
            stats.submitted);
  set_total("sycamorebend_finished_total", "Requests that were answered.",
            stats.finished);
  set_total("sycamorebend_within_target_total",
            "Requests that were answered within their targets.",
            stats.within_target);
  set_total("sycamorebend_class_refused_total", "Requests that were refused.",
            stats.refused);
  set_total("sycamorebend_retried_total", "Attempts after the first one.",
            stats.retried);
  set_total("sycamorebend_output_tokens_total", "Tokens passed on to callers.",
            stats.output_tokens);
  set_total("sycamorebend_goodput_tokens_total",
            "Tokens of requests that were answered within their targets.",
            stats.goodput_tokens);
  set_total("sycamorebend_class_wasted_tokens_total",
            "Tokens that were cancelled, or too late to use.",
            stats.wasted_tokens);
  const std::uint64_t ended = stats.finished + stats.refused;
  if (ended > 0) {
    metrics.SetGauge(
        "sycamorebend_attainment",
        "Share of the ended requests that met their targets.", labels,
        static_cast<double>(stats.within_target) / static_cast<double>(ended));
  }
}

}  // namespace

void EntryDaemon::ServeMetrics(const std::shared_ptr<HttpExchange>& exchange) {
  this->control.Post([this, exchange] {
    for (const auto& stats : this->router->GetScheduler().GetStats().classes) {
      SetClassMetrics(this->metrics, stats);
    }
    const SharedSnapshot snapshot = this->view.Current();
    const auto set_gauge = [this](const char* name, const char* help,
                                  double value) {
      this->metrics.SetGauge(name, help, {}, value);
    };
    set_gauge("sycamorebend_servers", "Backend servers that report here.",
              static_cast<double>(this->router->Registry().Servers().size()));
    set_gauge("sycamorebend_open_requests",
              "Requests that are not answered yet.",
              static_cast<double>(this->router->OpenRequests()));
    set_gauge(
        "sycamorebend_configuration_version", "Configuration in force.",
        snapshot.policy ? static_cast<double>(snapshot.policy->version) : 0);
    set_gauge("sycamorebend_entries", "Entry daemons in the shared state.",
              snapshot.state
                  ? static_cast<double>(snapshot.state->entries.size())
                  : 0);
    const Duration age = this->view.ConfirmationAge();
    set_gauge("sycamorebend_confirmation_age_seconds",
              "Time since the configuration was confirmed; -1 if it never was.",
              age == Duration::max()
                  ? -1.0
                  : std::chrono::duration<double>(age).count());
    set_gauge("sycamorebend_ready", "1 while new requests are accepted.",
              this->view.CheckConfirmed() ? 1 : 0);
    exchange->Respond(kStatusOk, {{"Content-Type", kMetricsContentType}},
                      this->metrics.Text());
  });
}

}  // namespace sycamorebend::entry
