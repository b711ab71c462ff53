// Results of accepted changes, kept to make retries idempotent.
#ifndef SYCAMOREBEND_SRC_CONTROL_CHANGE_TABLE_H_
#define SYCAMOREBEND_SRC_CONTROL_CHANGE_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

// @return the creation time in a change ID of the form "MILLISECONDS-REST",
// where MILLISECONDS has 13 digits; nullopt for other forms.
std::optional<std::int64_t> ChangeIdTime(const std::string& change_id);

class ChangeTable {
 public:
  explicit ChangeTable(const ControlLimits& limits) : limits(limits) {}

  // Looks up an earlier change with this ID.
  // @return its result; null for a new ID; kChangeIdReused if the earlier
  // change had another digest; kChangeIdExpired if the ID is older than the
  // changes that are kept; kMalformedRequest if its time is too far in the
  // future.
  Result<Json::Value> Find(const std::string& change_id,
                           const std::string& digest,
                           std::int64_t now_ms) const;

  void Add(const std::string& change_id,
           const std::string& digest,
           const Json::Value& result,
           std::int64_t now_ms);

  // Removes changes that are older than the retention time.
  void Expire(std::int64_t now_ms);

  std::size_t Size() const { return this->changes.size(); }

  using RecordSink = std::function<void(std::string_view)>;
  // Passes each record of the table to `write`.
  void Save(const RecordSink& write) const;
  Json::Value SaveHeader() const;
  void LoadHeader(const Json::Value& header);
  // @return false if the record is damaged.
  bool Load(std::string_view record);

 private:
  struct Change {
    std::string digest;
    std::string result;  // JSON text.
    std::int64_t time_ms = 0;
  };

  void EvictOldest();

  const ControlLimits& limits;
  std::map<std::string, Change> changes;
  std::deque<std::string> oldest_first;
  // No change with a later creation time was ever removed.
  std::int64_t evicted_until_ms = 0;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_CHANGE_TABLE_H_
