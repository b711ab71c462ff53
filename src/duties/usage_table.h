// What gateways report of their requests: counts by window and customer, and
// the demand for each service. The same table is used at a gateway, which
// counts, at the replica that it polls, which forwards, and at the leader.
//
// A report has what has changed since the last one that its receiver has
// acknowledged. Counts and totals are absolute, so that a report that arrives
// twice, late or by two ways changes nothing. A receiver names its session in
// its receipts; a report that is not relative to that session is incomplete,
// and the next one has everything.
#ifndef SYCAMOREBEND_SRC_DUTIES_USAGE_TABLE_H_
#define SYCAMOREBEND_SRC_DUTIES_USAGE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/duties.h"

namespace sycamorebend {

// Totals of a gateway for one service since its start.
struct DemandTotals {
  std::uint64_t requests = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  // Requests with a first byte, and the sum of the time to it in thousandths of
  // its target.
  std::uint64_t first_bytes = 0;
  std::uint64_t first_byte_permille = 0;
};

// Entry ID and incarnation of a gateway.
using UsageSource = std::pair<std::string, std::string>;

// Not thread-safe.
class UsageTable {
 public:
  // @param session identifies this table to those that report to it.
  explicit UsageTable(std::string session);

  // Counts a request of a gateway.
  void Count(const UsageSource& source,
             std::uint64_t window,
             const std::string& customer);
  // Sets the totals of a gateway.
  // @param time_ms true time up to which everything is counted.
  // @param measured time of the measurement on this process's clock.
  void SetTotals(const UsageSource& source,
                 std::int64_t time_ms,
                 TimePoint measured,
                 std::map<std::string, DemandTotals> totals);

  // Applies a report.
  // @param is_fixed whether the counts of a window are fixed.
  // @param last_window later windows are ignored.
  // @return the receipt for its sender, or kMalformedRequest.
  Result<Json::Value> Merge(const Json::Value& report,
                            TimePoint now,
                            const std::function<bool(std::uint64_t)>& is_fixed,
                            std::uint64_t last_window);

  // @return the next report for the receiver.
  Json::Value NextReport(TimePoint now);
  // Notes the receipt for a report; anything else is ignored.
  void OnReceipt(const Json::Value& receipt);

  // @return true if all counts were acknowledged.
  bool AllAcknowledged() const;

  // Drops windows before `window`, and gateways without windows whose last
  // report is older than `limit`.
  void Drop(std::uint64_t window, TimePoint limit);

  // @return the sum of all gateways, by customer.
  std::map<std::string, std::uint64_t> Sum(std::uint64_t window) const;
  std::set<std::uint64_t> Windows() const;
  // @return true if each of the gateways has reported all that it counted up to
  // `time_ms`.
  bool HaveReported(const std::vector<EntryInfo>& gateways,
                    std::int64_t time_ms) const;
  DemandReport Demand(const std::vector<EntryInfo>& gateways,
                      TimePoint now) const;
  // Requests that were reported after the counts of their window were fixed.
  std::uint64_t LateCounts() const { return this->late_counts; }

 private:
  struct Cell {
    std::uint64_t count = 0;
    // Sequence number of the first report that has this count.
    std::uint64_t changed = 0;
  };
  struct Sample {
    std::int64_t time_ms = 0;
    TimePoint measured;
    std::map<std::string, DemandTotals> totals;
  };
  struct Gateway {
    std::map<std::uint64_t, std::unordered_map<std::string, Cell>> windows;
    // The newest samples, and the number of the first report that has them.
    Sample newest;
    std::optional<Sample> previous;
    std::uint64_t changed = 0;
  };

  void MergeSource(const Json::Value& item,
                   TimePoint now,
                   bool complete,
                   const std::function<bool(std::uint64_t)>& is_fixed,
                   std::uint64_t last_window);
  void AddSample(Gateway& gateway, Sample sample);
  Json::Value WriteGateway(const UsageSource& source,
                           const Gateway& gateway,
                           TimePoint now) const;

  const std::string session;
  std::map<UsageSource, Gateway> gateways;
  std::uint64_t late_counts = 0;
  // Number of the last report.
  std::uint64_t last_sequence = 0;
  // What the receiver of this session has acknowledged.
  std::string receiver;
  std::uint64_t acknowledged = 0;
  // Reports without a receipt by number, with the session to which they are
  // relative; empty for complete ones.
  std::map<std::uint64_t, std::string> open_reports;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_DUTIES_USAGE_TABLE_H_
