// Evidence about requests that crash backend servers.
#ifndef SYCAMOREBEND_SRC_CONTROL_FINDING_TABLE_H_
#define SYCAMOREBEND_SRC_CONTROL_FINDING_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class FindingTable {
 public:
  explicit FindingTable(const ControlLimits& limits) : limits(limits) {}

  // Applies `finding.report`: adds candidates to the crash that `server_id`
  // and `incarnation` identify.
  // @return {quarantined}, true if the fingerprint is quarantined already.
  Result<Json::Value> Report(const Json::Value& command, std::int64_t now_ms);

  // Draws conclusions from crashes that all entry daemons had time to report.
  // @return fingerprints that are quarantined from now on.
  std::vector<std::string> Settle(std::int64_t now_ms);
  bool NeedsSettle(std::int64_t now_ms) const;

  const std::set<std::string>& Quarantined() const { return this->quarantined; }
  std::size_t Crashes() const { return this->crashes.size(); }

  using RecordSink = std::function<void(std::string_view)>;
  // Passes each record of the table to `write`.
  void Save(const RecordSink& write) const;
  // @return false if the record is damaged.
  bool Load(std::string_view record);

 private:
  struct Crash {
    std::string id;
    std::int64_t time_ms = 0;
    bool settled = false;
    std::set<std::string> candidates;
  };

  // Oldest first; few are kept, so that they are searched in sequence.
  std::vector<Crash> crashes;
  std::set<std::string> quarantined;
  std::vector<std::string> quarantined_oldest_first;
  const ControlLimits& limits;

  bool IsExplained(const Crash& crash) const;
  bool IsGuilty(const std::string& fingerprint) const;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_FINDING_TABLE_H_
