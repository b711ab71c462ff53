// The current configuration and the changes that led to it.
#ifndef SYCAMOREBEND_SRC_CONTROL_CONFIGURATION_HISTORY_H_
#define SYCAMOREBEND_SRC_CONTROL_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class ConfigurationHistory {
 public:
  explicit ConfigurationHistory(const ControlLimits& limits) : limits(limits) {}

  // Accepts `document` as `new_version`, which must be higher than Version().
  void Add(std::uint64_t new_version,
           const std::string& change_id,
           const std::string& operator_name,
           std::int64_t time_ms,
           SharedDocument document);

  std::uint64_t Version() const { return this->version; }
  const SharedDocument& Document() const { return this->document; }
  // @return when the newest version was accepted, Unix milliseconds; 0 without
  // a change.
  std::int64_t TimeMs() const {
    return this->changes.empty() ? 0 : this->changes.back().time_ms;
  }

  // @return a description of the change that conflicts with a change that was
  // based on version `expected`.
  std::string DescribeConflict(std::uint64_t expected) const;

  // @return {version, change_id, operator, time_ms, document}, or kNotFound.
  Result<Json::Value> Show(std::uint64_t wanted) const;
  // @return the newest `limit` changes without documents, newest first.
  Json::Value List(std::size_t limit) const;

  std::size_t Size() const { return this->changes.size(); }
  std::size_t Bytes() const { return this->bytes; }

  using RecordSink = std::function<void(std::string_view)>;
  // Passes each record of the table to `write`.
  void Save(const RecordSink& write) const;
  Json::Value SaveHeader() const;
  void LoadHeader(const Json::Value& header);
  // @return false if the record is damaged.
  bool Load(std::string_view record);

 private:
  struct Change {
    std::uint64_t version = 0;
    std::string change_id;
    std::string operator_name;
    std::int64_t time_ms = 0;
    // Patch from this version's document to the previous one, as JSON text.
    // Takes memory for the changed part instead of the whole document.
    std::string reverse_patch;
  };

  static Json::Value Describe(const Change& change);
  const Change* Find(std::uint64_t wanted) const;
  void Trim();

  const ControlLimits& limits;
  std::uint64_t version = 0;
  SharedDocument document;
  std::deque<Change> changes;  // Oldest first.
  std::size_t bytes = 0;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_CONFIGURATION_HISTORY_H_
