// Metrics in the text format of Prometheus. A thin wrapper over prometheus-cpp,
// which does not appear in this header.
#ifndef SYCAMOREBEND_METRICS_H_
#define SYCAMOREBEND_METRICS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamorebend {

using MetricLabels = std::map<std::string, std::string>;

// Content type of Metrics::Text().
inline constexpr const char* kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

// The metrics of one process. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter, which is created with 0 at its first use.
  // @param name ends in "_total".
  void Count(const std::string& name,
             const std::string& help,
             const MetricLabels& labels,
             double step = 1);

  // Raises a counter to `total`, which another component counts. A lower total
  // is ignored.
  void SetTotal(const std::string& name,
                const std::string& help,
                const MetricLabels& labels,
                double total);

  void SetGauge(const std::string& name,
                const std::string& help,
                const MetricLabels& labels,
                double value);

  // Adds values to a histogram, which is created at its first use.
  // @param bounds upper bounds of the buckets, ascending; always the same for a
  // name.
  // @param counts values in each bucket, and above the last bound; one longer
  // than `bounds`, or empty for none.
  // @param sum of these values.
  void AddToHistogram(const std::string& name,
                      const std::string& help,
                      const MetricLabels& labels,
                      const std::vector<double>& bounds,
                      const std::vector<double>& counts,
                      double sum);

  // @return the page for /metrics.
  std::string Text() const;

 private:
  struct Registry;
  std::unique_ptr<Registry> registry;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_METRICS_H_
