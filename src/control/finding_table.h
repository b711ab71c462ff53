// Finds requests that crash backend servers.
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

// Collects, for each crash, the fingerprints of the requests that were in
// flight. Quarantines a fingerprint once it is the only one common to several
// crashes that no quarantined request explains.
class FindingTable {
 public:
  explicit FindingTable(const ControlLimits& limits) : limits(limits) {}

  // Applies `finding.report`: adds candidates to the crash that `server_id`
  // and `incarnation` identify.
  // @return {quarantined}: true if the fingerprint is already quarantined.
  Result<Json::Value> Report(const Json::Value& command, std::int64_t now_ms);

  // Applies `finding.record`: keeps what a gateway found until its quarantine
  // ends, or prolongs it.
  // @return {changed}: false if it was known.
  Result<Json::Value> Record(const Json::Value& command, std::int64_t now_ms);
  // Removes the findings whose quarantine has ended.
  // @return true if there were any.
  bool ExpireRecorded(std::int64_t now_ms);
  bool HasExpiredRecorded(std::int64_t now_ms) const;
  std::vector<CrashFinding> Recorded() const;

  // Evaluates crashes that all entry daemons have had time to report, and
  // removes crashes that are older than the retention time.
  // @return the newly quarantined fingerprints.
  std::vector<std::string> EvaluateCrashes(std::int64_t now_ms);
  bool HasCrashesToEvaluate(std::int64_t now_ms) const;

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
    bool evaluated = false;
    std::set<std::string> candidates;
  };

  // Oldest first. Few enough for a linear search.
  std::vector<Crash> crashes;
  // Findings of gateways by content.
  std::map<std::string, CrashFinding> recorded;
  std::set<std::string> quarantined;
  std::vector<std::string> quarantined_oldest_first;
  const ControlLimits& limits;

  // @return true if a quarantined request explains the crash.
  bool HasQuarantinedCandidate(const Crash& crash) const;
  // @return true if `fingerprint` is the only candidate common to enough
  // unexplained crashes, all of which have been evaluated.
  bool IsCrashCause(const std::string& fingerprint) const;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_FINDING_TABLE_H_
