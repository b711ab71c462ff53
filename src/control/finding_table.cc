#include "control/finding_table.h"

#include <fmt/format.h>

#include <algorithm>

#include "control/field_reader.h"
#include "control/record_codec.h"

namespace sycamorebend {
namespace internal {

namespace {

constexpr std::size_t kMinCrashesToQuarantine = 2;
constexpr std::size_t kMaxContentBytes = 4096;
// Findings whose quarantines end within this time of each other are the same.
constexpr std::int64_t kSameFindingMs = 60LL * 1000;
// Begins the record of a finding of a gateway in a snapshot. The ID of a crash
// begins with a digit.
constexpr std::string_view kRecordedTag = "recorded";

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
  Json::Value result;
  result["quarantined"] = this->quarantined.count(fingerprint) > 0;
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
  return result;
}

Result<Json::Value> FindingTable::Record(const Json::Value& command,
                                         std::int64_t now_ms) {
  FieldReader reader(command);
  CrashFinding finding;
  finding.content = reader.Name("content", kMaxContentBytes);
  const std::uint64_t quarantine_ms = reader.Unsigned("quarantine_ms");
  finding.findings = reader.Unsigned("findings");
  BOOST_OUTCOME_TRY(reader.Finish());
  const auto longest =
      static_cast<std::uint64_t>(this->limits.max_quarantine_ms);
  finding.until_ms =
      now_ms + static_cast<std::int64_t>(std::min(quarantine_ms, longest));
  Json::Value result;
  const auto known = this->recorded.find(finding.content);
  // Several gateways report the same finding.
  result["changed"] =
      known == this->recorded.end() ||
      known->second.until_ms + kSameFindingMs < finding.until_ms;
  if (!result["changed"].asBool()) {
    return result;
  }
  if (known == this->recorded.end() &&
      this->recorded.size() >= this->limits.crash_findings) {
    this->recorded.erase(
        std::min_element(this->recorded.begin(), this->recorded.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.until_ms < b.second.until_ms;
                         }));
  }
  this->recorded[finding.content] = finding;
  return result;
}

bool FindingTable::ExpireRecorded(std::int64_t now_ms) {
  const std::size_t before = this->recorded.size();
  for (auto it = this->recorded.begin(); it != this->recorded.end();) {
    it = it->second.until_ms <= now_ms ? this->recorded.erase(it)
                                       : std::next(it);
  }
  return this->recorded.size() != before;
}

bool FindingTable::HasExpiredRecorded(std::int64_t now_ms) const {
  return std::any_of(this->recorded.begin(), this->recorded.end(),
                     [now_ms](const auto& finding) {
                       return finding.second.until_ms <= now_ms;
                     });
}

std::vector<CrashFinding> FindingTable::Recorded() const {
  std::vector<CrashFinding> findings;
  findings.reserve(this->recorded.size());
  for (const auto& [content, finding] : this->recorded) {
    findings.push_back(finding);
  }
  return findings;
}

bool FindingTable::HasQuarantinedCandidate(const Crash& crash) const {
  return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                     [this](const std::string& candidate) {
                       return this->quarantined.count(candidate) > 0;
                     });
}

bool FindingTable::IsCrashCause(const std::string& fingerprint) const {
  std::size_t seen = 0;
  std::set<std::string> common;
  for (const Crash& crash : this->crashes) {
    if (crash.candidates.count(fingerprint) == 0 ||
        this->HasQuarantinedCandidate(crash)) {
      continue;
    }
    if (!crash.evaluated) {
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
  return seen >= kMinCrashesToQuarantine && common.size() == 1;
}

std::vector<std::string> FindingTable::EvaluateCrashes(std::int64_t now_ms) {
  this->crashes.erase(
      std::remove_if(this->crashes.begin(), this->crashes.end(),
                     [&](const Crash& crash) {
                       return crash.time_ms + this->limits.crash_retention_ms <
                              now_ms;
                     }),
      this->crashes.end());
  std::set<std::string> candidates;
  for (Crash& crash : this->crashes) {
    if (!crash.evaluated &&
        crash.time_ms + this->limits.crash_report_window_ms <= now_ms) {
      crash.evaluated = true;
      candidates.insert(crash.candidates.begin(), crash.candidates.end());
    }
  }
  std::vector<std::string> newly_quarantined;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(newly_quarantined),
               [this](const std::string& candidate) {
                 return this->quarantined.count(candidate) == 0 &&
                        this->IsCrashCause(candidate);
               });
  for (const std::string& fingerprint : newly_quarantined) {
    this->quarantined.insert(fingerprint);
    this->quarantined_oldest_first.push_back(fingerprint);
    if (this->quarantined.size() > this->limits.quarantined) {
      this->quarantined.erase(this->quarantined_oldest_first.front());
      this->quarantined_oldest_first.erase(
          this->quarantined_oldest_first.begin());
    }
  }
  return newly_quarantined;
}

bool FindingTable::HasCrashesToEvaluate(std::int64_t now_ms) const {
  return std::any_of(
      this->crashes.begin(), this->crashes.end(), [&](const Crash& crash) {
        return !crash.evaluated &&
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
    record.Number(crash.evaluated ? 1 : 0);
    for (const std::string& candidate : crash.candidates) {
      record.Text(candidate);
    }
    write(bytes);
  }
  for (const auto& [content, finding] : this->recorded) {
    bytes.clear();
    RecordWriter record(bytes);
    record.Text(kRecordedTag);
    record.Text(content);
    record.Number(static_cast<std::uint64_t>(finding.until_ms));
    record.Number(finding.findings);
    write(bytes);
  }
  // A record with a single text is a quarantined fingerprint.
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
  if (crash.id == kRecordedTag) {
    CrashFinding finding;
    finding.content = reader.Text();
    finding.until_ms = reader.Signed();
    finding.findings = reader.Number();
    this->recorded[finding.content] = finding;
    return !reader.Failed();
  }
  crash.time_ms = reader.Signed();
  crash.evaluated = reader.Number() != 0;
  while (!reader.AtEnd() && !reader.Failed()) {
    crash.candidates.emplace(reader.Text());
  }
  this->crashes.push_back(std::move(crash));
  return !reader.Failed();
}

}  // namespace internal
}  // namespace sycamorebend
