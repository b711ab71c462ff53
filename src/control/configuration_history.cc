#include "control/configuration_history.h"

#include <algorithm>

#include <fmt/format.h>

#include "control/record_codec.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

void ConfigurationHistory::Add(std::uint64_t new_version,
                               const std::string& change_id,
                               const std::string& operator_name,
                               std::int64_t time_ms,
                               SharedDocument document) {
  Change change;
  change.version = new_version;
  this->version = new_version;
  change.change_id = change_id;
  change.operator_name = operator_name;
  change.time_ms = time_ms;
  change.reverse_patch = WriteJson(DiffJson(*document, *this->document));
  this->document = std::move(document);
  this->bytes += change.reverse_patch.size();
  this->changes.push_back(std::move(change));
  this->Trim();
}

void ConfigurationHistory::Trim() {
  // Keeps at least the newest change, because conflict messages name it.
  while (this->changes.size() > 1 &&
         (this->changes.size() > this->limits.history_changes ||
          this->bytes > this->limits.history_bytes)) {
    this->bytes -= this->changes.front().reverse_patch.size();
    this->changes.pop_front();
  }
}

const ConfigurationHistory::Change* ConfigurationHistory::Find(
    std::uint64_t wanted) const {
  // Versions increase, but not always by one.
  const auto found =
      std::lower_bound(this->changes.begin(), this->changes.end(), wanted,
                       [](const Change& change, std::uint64_t version) {
                         return change.version < version;
                       });
  return found == this->changes.end() || found->version != wanted ? nullptr
                                                                  : &*found;
}

std::string ConfigurationHistory::DescribeConflict(
    std::uint64_t expected) const {
  std::string text =
      fmt::format("version {} was expected, but version {} is in force",
                  expected, this->version);
  const Change* conflicting = this->Find(expected + 1);
  if (conflicting == nullptr) {
    conflicting = this->Find(this->version);
  }
  if (conflicting != nullptr) {
    text += fmt::format("; version {} is change \"{}\" of operator \"{}\"",
                        conflicting->version, conflicting->change_id,
                        conflicting->operator_name);
  }
  return text;
}

Json::Value ConfigurationHistory::Describe(const Change& change) {
  Json::Value value;
  value["version"] = Json::UInt64(change.version);
  value["change_id"] = change.change_id;
  value["operator"] = change.operator_name;
  value["time_ms"] = Json::Int64(change.time_ms);
  return value;
}

Result<Json::Value> ConfigurationHistory::Show(std::uint64_t wanted) const {
  if (wanted == 0 && this->version == 0) {
    Json::Value empty = Describe({});
    empty["document"] = Json::nullValue;
    return empty;
  }
  const Change* change = this->Find(wanted);
  if (change == nullptr) {
    return MakeError(
        ResultCode::kNotFound,
        fmt::format("version {} is no longer kept; versions {} to {} are",
                    wanted,
                    this->changes.empty() ? this->version
                                          : this->changes.front().version,
                    this->version));
  }
  Json::Value found = *this->document;
  for (auto newer = this->changes.rbegin();
       newer != this->changes.rend() && newer->version > wanted; ++newer) {
    BOOST_OUTCOME_TRY(reverse_patch, ParseStoredJson(newer->reverse_patch));
    BOOST_OUTCOME_TRY(older, PatchJson(std::move(found), reverse_patch));
    found = std::move(older);
  }
  Json::Value value = Describe(*change);
  value["document"] = std::move(found);
  return value;
}

Json::Value ConfigurationHistory::List(std::size_t limit) const {
  Json::Value list(Json::arrayValue);
  for (auto change = this->changes.rbegin();
       change != this->changes.rend() && list.size() < limit; ++change) {
    list.append(Describe(*change));
  }
  return list;
}

void ConfigurationHistory::Save(const RecordSink& write) const {
  std::string bytes;
  for (const Change& change : this->changes) {
    bytes.clear();
    RecordWriter record(bytes);
    record.Number(change.version);
    record.Text(change.change_id);
    record.Text(change.operator_name);
    record.Number(static_cast<std::uint64_t>(change.time_ms));
    record.Text(change.reverse_patch);
    write(bytes);
  }
}

Json::Value ConfigurationHistory::SaveHeader() const {
  Json::Value header;
  header["version"] = Json::UInt64(this->version);
  header["document"] = *this->document;
  return header;
}

void ConfigurationHistory::LoadHeader(const Json::Value& header) {
  this->version = header["version"].asUInt64();
  this->document = header["document"];
}

bool ConfigurationHistory::Load(std::string_view record) {
  RecordReader reader(record);
  Change change;
  change.version = reader.Number();
  change.change_id = reader.Text();
  change.operator_name = reader.Text();
  change.time_ms = reader.Signed();
  change.reverse_patch = reader.Text();
  if (reader.Failed() || !reader.AtEnd()) {
    return false;
  }
  this->bytes += change.reverse_patch.size();
  this->changes.push_back(std::move(change));
  return true;
}

}  // namespace internal
}  // namespace sycamorebend
