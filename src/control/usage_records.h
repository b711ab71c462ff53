// Windows of usage whose counts are fixed, so that each report of a window is
// the same.
#ifndef SYCAMOREBEND_SRC_CONTROL_USAGE_RECORDS_H_
#define SYCAMOREBEND_SRC_CONTROL_USAGE_RECORDS_H_

#include <functional>
#include <string_view>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class UsageRecords {
 public:
  explicit UsageRecords(const ControlLimits& limits) : limits(limits) {}

  // Applies `usage.fix`: the first one for a window wins.
  // @return {fixed}: whether it is the first; kVersionConflict if the window is
  // too old.
  Result<Json::Value> Fix(const Json::Value& command);
  // Applies `usage.sent`.
  // @return {changed}.
  Result<Json::Value> RecordSent(const Json::Value& command);

  const FixedUsageTable& Windows() const { return this->table; }

  Json::Value SaveHeader() const;
  void LoadHeader(const Json::Value& value);
  using RecordSink = std::function<void(std::string_view)>;
  // Passes the record of each window to `write`.
  void Save(const RecordSink& write) const;
  // @return false if the record is damaged.
  bool Load(std::string_view record);

 private:
  const ControlLimits& limits;
  FixedUsageTable table;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_USAGE_RECORDS_H_
