// Grants of duties. Their fencing tokens come from the counter of `fence.take`,
// so that a number is issued only once in a deployment.
#ifndef SYCAMOREBEND_SRC_CONTROL_DUTY_TABLE_H_
#define SYCAMOREBEND_SRC_CONTROL_DUTY_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class DutyTable {
 public:
  explicit DutyTable(const ControlLimits& limits) : limits(limits) {}

  // Applies `duty.grant`, which names the token of the grant that it replaces;
  // 0 if there is none.
  // @param fence newest number that was issued; raised.
  // @return {token}, or kVersionConflict if another grant is the newest.
  Result<Json::Value> Grant(const Json::Value& command,
                            std::int64_t now_ms,
                            std::uint64_t& fence);
  // Applies `duty.release`; changes nothing if its token is not the newest.
  // @return {released}.
  Result<Json::Value> Release(const Json::Value& command);

  const std::map<std::string, DutyGrantRecord>& Grants() const {
    return this->grants;
  }

  Json::Value Save() const;
  void Load(const Json::Value& value);

 private:
  const ControlLimits& limits;
  std::map<std::string, DutyGrantRecord> grants;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_DUTY_TABLE_H_
