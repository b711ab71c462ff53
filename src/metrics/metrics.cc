#include "sycamorebend/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>
#include <sstream>

namespace sycamorebend {

struct Metrics::Registry {
  prometheus::Registry registry;
  // Serializes read-and-raise in SetTotal.
  std::mutex mutex;

  prometheus::Counter& Counter(const std::string& name,
                               const std::string& help,
                               const MetricLabels& labels) {
    // Register and Add return what exists when called again.
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(this->registry)
        .Add(labels);
  }
};

Metrics::Metrics() : registry(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name,
                    const std::string& help,
                    const MetricLabels& labels,
                    double step) {
  this->registry->Counter(name, help, labels).Increment(step);
}

void Metrics::SetTotal(const std::string& name,
                       const std::string& help,
                       const MetricLabels& labels,
                       double total) {
  std::lock_guard lock(this->registry->mutex);
  prometheus::Counter& counter = this->registry->Counter(name, help, labels);
  if (total > counter.Value()) {
    counter.Increment(total - counter.Value());
  }
}

void Metrics::SetGauge(const std::string& name,
                       const std::string& help,
                       const MetricLabels& labels,
                       double value) {
  prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Register(this->registry->registry)
      .Add(labels)
      .Set(value);
}

void Metrics::AddToHistogram(const std::string& name,
                             const std::string& help,
                             const MetricLabels& labels,
                             const std::vector<double>& bounds,
                             const std::vector<double>& counts,
                             double sum) {
  if (counts.empty()) {
    return;
  }
  prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(this->registry->registry)
      .Add(labels, bounds)
      .ObserveMultiple(counts, sum);
}

std::string Metrics::Text() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text,
                                         this->registry->registry.Collect());
  return text.str();
}

}  // namespace sycamorebend
