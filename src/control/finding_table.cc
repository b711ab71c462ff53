#include "control/finding_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "control/field_reader.h"
#include "control/record_codec.h"

namespace sycamorebend {
namespace internal {

namespace {

constexpr std::size_t kCrashesForGuilt = 2;

}  // namespace

Result<Json::Value> FindingTable::Report(const Json::Value& command,
                                         std::int64_t now_ms) {
  FieldReader reader(command);
  const std::string fingerprint = reader.Name("fingerprint");
  const std::string server_id = reader.Name("server_id");
  const std::string incarnation = reader.Name("incarnation");
  std::vector<std::string> candidates = reader.Names("candidates");
  BOOST_OUTCOME_TRY(reader.Finish());
  candidates.push_back(fingerprint);
  Json::Value answer;
  answer["quarantined"] = this->quarantined.count(fingerprint) > 0;
  const std::string id =
      fmt::format("{}:{}{}", server_id.size(), server_id, incarnation);
  auto crash = std::find_if(this->crashes.begin(), this->crashes.end(),
                            [&](const Crash& known) { return known.id == id; });
  if (crash == this->crashes.end()) {
    if (this->crashes.size() >= this->limits.crashes) {
      this->crashes.erase(this->crashes.begin());
    }
    this->crashes.push_back({id, now_ms, false, {}});
    crash = std::prev(this->crashes.end());
  }
  crash->candidates.insert(candidates.begin(), candidates.end());
  return answer;
}

bool FindingTable::IsExplained(const Crash& crash) const {
  return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                     [this](const std::string& candidate) {
                       return this->quarantined.count(candidate) > 0;
                     });
}

bool FindingTable::IsGuilty(const std::string& fingerprint) const {
  std::size_t seen = 0;
  std::set<std::string> common;
  for (const Crash& crash : this->crashes) {
    if (crash.candidates.count(fingerprint) == 0 || this->IsExplained(crash)) {
      continue;
    }
    if (!crash.settled) {
      return false;
    }
    if (seen++ == 0) {
      common = crash.candidates;
      continue;
    }
    std::set<std::string> both;
    std::set_intersection(common.begin(), common.end(),
                          crash.candidates.begin(), crash.candidates.end(),
                          std::inserter(both, both.end()));
    common = std::move(both);
  }
  return seen >= kCrashesForGuilt && common.size() == 1;
}

std::vector<std::string> FindingTable::Settle(std::int64_t now_ms) {
  this->crashes.erase(
      std::remove_if(this->crashes.begin(), this->crashes.end(),
                     [&](const Crash& crash) {
                       return crash.time_ms + this->limits.crash_retention_ms <
                              now_ms;
                     }),
      this->crashes.end());
  std::set<std::string> suspects;
  for (Crash& crash : this->crashes) {
    if (!crash.settled &&
        crash.time_ms + this->limits.crash_report_window_ms <= now_ms) {
      crash.settled = true;
      suspects.insert(crash.candidates.begin(), crash.candidates.end());
    }
  }
  std::vector<std::string> guilty;
  std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(guilty),
               [this](const std::string& suspect) {
                 return this->quarantined.count(suspect) == 0 &&
                        this->IsGuilty(suspect);
               });
  for (const std::string& fingerprint : guilty) {
    this->quarantined.insert(fingerprint);
    this->quarantined_oldest_first.push_back(fingerprint);
    if (this->quarantined.size() > this->limits.quarantined) {
      this->quarantined.erase(this->quarantined_oldest_first.front());
      this->quarantined_oldest_first.erase(
          this->quarantined_oldest_first.begin());
    }
  }
  return guilty;
}

bool FindingTable::NeedsSettle(std::int64_t now_ms) const {
  return std::any_of(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return !crash.settled &&
               crash.time_ms + this->limits.crash_report_window_ms <= now_ms;
      });
}

void FindingTable::Save(const RecordSink& write) const {
  std::string bytes;
  for (const Crash& crash : this->crashes) {
    bytes.clear();
    RecordWriter record(bytes);
    record.Text(crash.id);
    record.Number(static_cast<std::uint64_t>(crash.time_ms));
    record.Number(crash.settled ? 1 : 0);
    for (const std::string& candidate : crash.candidates) {
      record.Text(candidate);
    }
    write(bytes);
  }
  // A record of one text is a quarantined fingerprint.
  for (const std::string& fingerprint : this->quarantined_oldest_first) {
    bytes.clear();
    RecordWriter(bytes).Text(fingerprint);
    write(bytes);
  }
}

bool FindingTable::Load(std::string_view record) {
  RecordReader reader(record);
  Crash crash;
  crash.id = reader.Text();
  if (reader.AtEnd() && !reader.Failed()) {
    this->quarantined.insert(crash.id);
    this->quarantined_oldest_first.push_back(std::move(crash.id));
    return true;
  }
  crash.time_ms = reader.Signed();
  crash.settled = reader.Number() != 0;
  while (!reader.AtEnd() && !reader.Failed()) {
    crash.candidates.emplace(reader.Text());
  }
  this->crashes.push_back(std::move(crash));
  return !reader.Failed();
}

}  // namespace internal
}  // namespace sycamorebend
