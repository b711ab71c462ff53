// Counts, for each customer and window, the requests that servers began to run,
// and the demand for each service, and reports both with the polls of the feed.
#ifndef SYCAMOREBEND_SRC_GATEWAY_USAGE_COUNTER_H_
#define SYCAMOREBEND_SRC_GATEWAY_USAGE_COUNTER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "duties/true_time.h"
#include "duties/usage_schedule.h"
#include "duties/usage_table.h"
#include "gateway/request_metrics.h"
#include "net/http_reader.h"
#include "sycamorebend/base.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/metrics.h"

namespace sycamorebend::gateway {

// @return true if a response with this head shows that the server began to run
// the request: it was served, or failed while it ran.
// @param not_executed the server guarantees that it has not run the request.
bool ShowsThatItRan(int status, bool authentic, bool not_executed);

// Requests are counted on the thread of the event loop; reports are written on
// that of the feed follower.
class UsageCounter : public FeedReporter {
 public:
  UsageCounter(UsageScheduleOptions options,
               UsageSource self,
               const Clock& clock);

  // Counts a request that a server began to run.
  void CountBegun(const std::string& customer);
  // Counts a request that arrived for a service.
  void CountRequest(const std::string& service, std::uint64_t prompt_tokens);
  // Counts the end of a request.
  void CountEnd(const std::string& service,
                const RequestResult& result,
                std::uint64_t output_tokens);

  Json::Value NextReport() override;
  void OnReceipt(const Json::Value& receipt) override;

  // @return true if a control replica has all counts.
  bool AllReported() const;

  void Publish(Metrics& metrics) const;

 private:
  const UsageSchedule schedule;
  const UsageSource self;
  const Clock& clock;
  mutable std::mutex mutex;
  TrueTime time;
  UsageTable table;
  std::map<std::string, DemandTotals> totals;
  TimePoint next_report;
  std::uint64_t counted = 0;
  std::uint64_t reports = 0;
  std::uint64_t receipts = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_USAGE_COUNTER_H_
