#include "control/usage_records.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <utility>

#include "control/field_reader.h"
#include "control/record_codec.h"

namespace sycamorebend {
namespace internal {

Result<Json::Value> UsageRecords::Fix(const Json::Value& command) {
  FieldReader reader(command);
  const std::uint64_t window = reader.Unsigned("window");
  const Json::Value& counts = command["counts"];
  auto usage = std::make_shared<FixedUsage>();
  if (!counts.isObject()) {
    reader.Reject("counts", "an object");
  } else {
    for (auto count = counts.begin(); count != counts.end(); ++count) {
      if (!count->isUInt64()) {
        reader.Reject("counts", "an object of numbers");
        break;
      }
      usage->counts[count.name()] = count->asUInt64();
    }
  }
  BOOST_OUTCOME_TRY(reader.Finish());
  if (window < this->table.first_window) {
    return MakeError(ResultCode::kVersionConflict,
                     fmt::format("window {} is older than {}, the first that "
                                 "can be fixed",
                                 window, this->table.first_window));
  }
  const bool fixed =
      this->table.windows.try_emplace(window, std::move(usage)).second;
  if (this->table.windows.size() > this->limits.usage_windows) {
    this->table.first_window = this->table.windows.begin()->first + 1;
    this->table.windows.erase(this->table.windows.begin());
  }
  Json::Value response;
  response["fixed"] = fixed;
  return response;
}

Result<Json::Value> UsageRecords::RecordSent(const Json::Value& command) {
  FieldReader reader(command);
  const std::uint64_t window = reader.Unsigned("window");
  BOOST_OUTCOME_TRY(reader.Finish());
  const auto found = this->table.windows.find(window);
  const bool changed =
      found != this->table.windows.end() && !found->second->sent;
  if (changed) {
    auto usage = std::make_shared<FixedUsage>(*found->second);
    usage->sent = true;
    found->second = std::move(usage);
  }
  Json::Value response;
  response["changed"] = changed;
  return response;
}

Json::Value UsageRecords::SaveHeader() const {
  Json::Value value;
  value["first_window"] = Json::UInt64(this->table.first_window);
  return value;
}

void UsageRecords::LoadHeader(const Json::Value& value) {
  // Null in a snapshot of an earlier release.
  this->table.first_window = value["first_window"].asUInt64();
}

void UsageRecords::Save(const RecordSink& write) const {
  std::string bytes;
  for (const auto& [window, usage] : this->table.windows) {
    bytes.clear();
    RecordWriter record(bytes);
    record.Number(window);
    record.Number(usage->sent ? 1 : 0);
    for (const auto& [customer, count] : usage->counts) {
      record.Text(customer);
      record.Number(count);
    }
    write(bytes);
  }
}

bool UsageRecords::Load(std::string_view record) {
  RecordReader reader(record);
  const std::uint64_t window = reader.Number();
  auto usage = std::make_shared<FixedUsage>();
  usage->sent = reader.Number() != 0;
  while (!reader.Failed() && !reader.AtEnd()) {
    std::string customer(reader.Text());
    usage->counts[std::move(customer)] = reader.Number();
  }
  this->table.windows[window] = std::move(usage);
  return !reader.Failed();
}

}  // namespace internal
}  // namespace sycamorebend
