#include "duties/usage_table.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "control/field_reader.h"

namespace sycamorebend {

namespace {

using internal::FieldReader;

// Reports without a receipt that are remembered.
constexpr std::size_t kMaxOpenReports = 16;
// Older totals do not tell the present demand.
constexpr Duration kMaxSampleAge = seconds(3);
constexpr double kMsPerSecond = 1000;
constexpr double kPermille = 1000;
constexpr std::uint64_t kMaxAgeMs = 60ULL * 1000;

// Order of the totals of a service in a report.
constexpr std::array kTotals = {&DemandTotals::requests,
                                &DemandTotals::prompt_tokens,
                                &DemandTotals::output_tokens,
                                &DemandTotals::refused,
                                &DemandTotals::late,
                                &DemandTotals::first_bytes,
                                &DemandTotals::first_byte_permille};

Json::Value WriteTotals(const DemandTotals& totals) {
  Json::Value list(Json::arrayValue);
  for (const auto total : kTotals) {
    list.append(Json::UInt64(totals.*total));
  }
  return list;
}

DemandTotals ReadTotals(const Json::Value& list) {
  DemandTotals totals;
  for (Json::ArrayIndex i = 0; i < kTotals.size() && i < list.size(); ++i) {
    totals.*kTotals.at(i) = list[i].isUInt64() ? list[i].asUInt64() : 0;
  }
  return totals;
}

// @return the number that `text` states, or nothing.
std::optional<std::uint64_t> ReadWindow(const std::string& text) {
  constexpr std::size_t kMaxDigits = 18;
  if (text.empty() || text.size() > kMaxDigits ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(text);
}

double Rate(std::uint64_t before, std::uint64_t after, double elapsed_s) {
  return after > before ? static_cast<double>(after - before) / elapsed_s : 0;
}

}  // namespace

UsageTable::UsageTable(std::string session) : session(std::move(session)) {}

void UsageTable::Count(const UsageSource& source,
                       std::uint64_t window,
                       const std::string& customer) {
  Cell& cell = this->gateways[source].windows[window][customer];
  ++cell.count;
  cell.changed = this->last_sequence + 1;
}

void UsageTable::SetTotals(const UsageSource& source,
                           std::int64_t time_ms,
                           TimePoint measured,
                           std::map<std::string, DemandTotals> totals) {
  this->AddSample(this->gateways[source],
                  {time_ms, measured, std::move(totals)});
}

void UsageTable::AddSample(Gateway& gateway, Sample sample) {
  if (sample.time_ms <= gateway.newest.time_ms) {
    return;
  }
  if (gateway.newest.time_ms > 0) {
    gateway.previous = std::move(gateway.newest);
  }
  gateway.newest = std::move(sample);
  gateway.changed = this->last_sequence + 1;
}

Result<Json::Value> UsageTable::Merge(
    const Json::Value& report,
    TimePoint now,
    const std::function<bool(std::uint64_t)>& is_fixed,
    std::uint64_t last_window) {
  FieldReader reader(report);
  const std::uint64_t sequence = reader.Unsigned("sequence");
  const std::string base = reader.OptionalString("base");
  BOOST_OUTCOME_TRY(reader.Finish());
  const Json::Value& sources = report["sources"];
  if (!sources.isArray()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "\"sources\" must be a list");
  }
  const bool complete = base.empty() || base == this->session;
  for (const Json::Value& item : sources) {
    const bool well_formed =
        item.isObject() && item["entry_id"].isString() &&
        item["incarnation"].isString() && item["time_ms"].isInt64() &&
        item["age_ms"].isUInt64() &&
        (item["windows"].isNull() || item["windows"].isObject()) &&
        (item["demand"].isNull() || item["demand"].isObject());
    if (!well_formed) {
      return MakeError(ResultCode::kMalformedRequest,
                       "a source of usage lacks a valid entry_id, incarnation, "
                       "time_ms, age_ms, windows or demand");
    }
    this->MergeSource(item, now, complete, is_fixed, last_window);
  }
  Json::Value receipt;
  receipt["session"] = this->session;
  receipt["sequence"] = Json::UInt64(sequence);
  return receipt;
}

void UsageTable::MergeSource(const Json::Value& item,
                             TimePoint now,
                             bool complete,
                             const std::function<bool(std::uint64_t)>& is_fixed,
                             std::uint64_t last_window) {
  Gateway& gateway = this->gateways[{item["entry_id"].asString(),
                                     item["incarnation"].asString()}];
  const Json::Value& windows = item["windows"];
  for (auto counts = windows.begin(); counts != windows.end(); ++counts) {
    const std::optional<std::uint64_t> window = ReadWindow(counts.name());
    if (!window || *window > last_window || !counts->isObject()) {
      continue;
    }
    const bool fixed = is_fixed(*window);
    auto& cells = gateway.windows[*window];
    for (auto count = counts->begin(); count != counts->end(); ++count) {
      const std::uint64_t reported = count->isUInt64() ? count->asUInt64() : 0;
      Cell& cell = cells[count.name()];
      if (reported > cell.count) {
        this->late_counts += fixed ? reported - cell.count : 0;
        cell.count = reported;
        cell.changed = this->last_sequence + 1;
      }
    }
  }
  if (!complete) {
    return;
  }
  Sample sample;
  sample.time_ms = item["time_ms"].asInt64();
  sample.measured = now - milliseconds(std::min<std::uint64_t>(
                              item["age_ms"].asUInt64(), kMaxAgeMs));
  const Json::Value& demand = item["demand"];
  for (auto totals = demand.begin(); totals != demand.end(); ++totals) {
    sample.totals[totals.name()] =
        totals->isArray() ? ReadTotals(*totals) : DemandTotals();
  }
  this->AddSample(gateway, std::move(sample));
}

Json::Value UsageTable::WriteGateway(const UsageSource& source,
                                     const Gateway& gateway,
                                     TimePoint now) const {
  Json::Value item;
  for (const auto& [window, cells] : gateway.windows) {
    const std::string name = std::to_string(window);
    for (const auto& [customer, cell] : cells) {
      if (cell.changed > this->acknowledged) {
        item["windows"][name][customer] = Json::UInt64(cell.count);
      }
    }
  }
  if (item.isNull() && gateway.changed <= this->acknowledged) {
    return item;
  }
  item["entry_id"] = source.first;
  item["incarnation"] = source.second;
  item["time_ms"] = Json::Int64(gateway.newest.time_ms);
  // Rounded up, so that rounding never makes a sample appear newer.
  item["age_ms"] = Json::UInt64(std::clamp<std::int64_t>(
      ToMilliseconds(now - gateway.newest.measured) + 1, 0, kMaxAgeMs));
  for (const auto& [service, totals] : gateway.newest.totals) {
    item["demand"][service] = WriteTotals(totals);
  }
  return item;
}

Json::Value UsageTable::NextReport(TimePoint now) {
  Json::Value report;
  report["sources"] = Json::Value(Json::arrayValue);
  for (const auto& [source, gateway] : this->gateways) {
    Json::Value item = this->WriteGateway(source, gateway, now);
    if (!item.isNull()) {
      report["sources"].append(std::move(item));
    }
  }
  const std::string base =
      this->acknowledged == 0 ? std::string() : this->receiver;
  ++this->last_sequence;
  report["sequence"] = Json::UInt64(this->last_sequence);
  report["base"] = base;
  this->open_reports[this->last_sequence] = base;
  if (this->open_reports.size() > kMaxOpenReports) {
    this->open_reports.erase(this->open_reports.begin());
  }
  return report;
}

void UsageTable::OnReceipt(const Json::Value& receipt) {
  if (!receipt.isObject() || !receipt["session"].isString() ||
      !receipt["sequence"].isUInt64()) {
    return;
  }
  const std::string from = receipt["session"].asString();
  const std::uint64_t sequence = receipt["sequence"].asUInt64();
  const auto report = this->open_reports.find(sequence);
  if (report == this->open_reports.end()) {
    return;
  }
  const std::string base = report->second;
  this->open_reports.erase(report);
  if (!base.empty() && base != from) {
    // The receiver lacks what others have acknowledged.
    this->receiver = from;
    this->acknowledged = 0;
  } else if (from != this->receiver || sequence > this->acknowledged) {
    this->receiver = from;
    this->acknowledged = sequence;
  }
}

bool UsageTable::AllAcknowledged() const {
  for (const auto& [source, gateway] : this->gateways) {
    for (const auto& [window, cells] : gateway.windows) {
      for (const auto& [customer, cell] : cells) {
        if (cell.changed > this->acknowledged) {
          return false;
        }
      }
    }
  }
  return true;
}

void UsageTable::Drop(std::uint64_t window, TimePoint limit) {
  for (auto gateway = this->gateways.begin();
       gateway != this->gateways.end();) {
    auto& windows = gateway->second.windows;
    windows.erase(windows.begin(), windows.lower_bound(window));
    gateway = windows.empty() && gateway->second.newest.measured < limit
                  ? this->gateways.erase(gateway)
                  : std::next(gateway);
  }
}

std::map<std::string, std::uint64_t> UsageTable::Sum(
    std::uint64_t window) const {
  std::map<std::string, std::uint64_t> sum;
  for (const auto& [source, gateway] : this->gateways) {
    const auto cells = gateway.windows.find(window);
    if (cells == gateway.windows.end()) {
      continue;
    }
    for (const auto& [customer, cell] : cells->second) {
      sum[customer] += cell.count;
    }
  }
  return sum;
}

std::set<std::uint64_t> UsageTable::Windows() const {
  std::set<std::uint64_t> windows;
  for (const auto& [source, gateway] : this->gateways) {
    for (const auto& [window, cells] : gateway.windows) {
      windows.insert(window);
    }
  }
  return windows;
}

bool UsageTable::HaveReported(const std::vector<EntryInfo>& gateways,
                              std::int64_t time_ms) const {
  return std::all_of(
      gateways.begin(), gateways.end(), [&](const EntryInfo& gateway) {
        const auto found =
            this->gateways.find({gateway.entry_id, gateway.incarnation});
        return found != this->gateways.end() &&
               found->second.newest.time_ms >= time_ms;
      });
}

DemandReport UsageTable::Demand(const std::vector<EntryInfo>& gateways,
                                TimePoint now) const {
  DemandReport report;
  report.gateways = gateways.size();
  std::map<std::string, DemandTotals> first_bytes;
  for (const EntryInfo& entry : gateways) {
    const auto found = this->gateways.find({entry.entry_id, entry.incarnation});
    if (found == this->gateways.end() || !found->second.previous) {
      continue;
    }
    const Sample& after = found->second.newest;
    const Sample& before = *found->second.previous;
    const double elapsed_s =
        static_cast<double>(after.time_ms - before.time_ms) / kMsPerSecond;
    if (now - after.measured > kMaxSampleAge) {
      continue;
    }
    ++report.reporting_gateways;
    report.oldest_report_age =
        std::max(report.oldest_report_age, now - after.measured);
    for (const auto& [service, totals] : after.totals) {
      const auto earlier = before.totals.find(service);
      const DemandTotals last =
          earlier == before.totals.end() ? DemandTotals() : earlier->second;
      ServiceDemandReport& sum = report.services[service];
      sum.requests_per_s += Rate(last.requests, totals.requests, elapsed_s);
      sum.prompt_tokens_per_s +=
          Rate(last.prompt_tokens, totals.prompt_tokens, elapsed_s);
      sum.output_tokens_per_s +=
          Rate(last.output_tokens, totals.output_tokens, elapsed_s);
      sum.refused_per_s += Rate(last.refused, totals.refused, elapsed_s);
      sum.late_per_s += Rate(last.late, totals.late, elapsed_s);
      DemandTotals& responses = first_bytes[service];
      responses.first_bytes += totals.first_bytes - last.first_bytes;
      responses.first_byte_permille +=
          totals.first_byte_permille - last.first_byte_permille;
    }
  }
  for (const auto& [service, responses] : first_bytes) {
    if (responses.first_bytes > 0) {
      report.services[service].first_byte_of_target =
          static_cast<double>(responses.first_byte_permille) / kPermille /
          static_cast<double>(responses.first_bytes);
    }
  }
  return report;
}

}  // namespace sycamorebend
