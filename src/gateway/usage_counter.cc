#include "gateway/usage_counter.h"

#include <utility>

namespace sycamorebend::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
// Minimum time between two reports. Polls are sent every 500 ms, so that there
// is one report in each second.
constexpr Duration kReportInterval = milliseconds(900);
constexpr double kPermille = 1000;

}  // namespace

bool ShowsThatItRan(int status, bool authentic, bool not_executed) {
  // A server that rejects a request for its content does not run it.
  const bool served = status >= kOk && status < kFirstClientError;
  return authentic && !not_executed && (served || status >= kFirstServerError);
}

UsageCounter::UsageCounter(UsageScheduleOptions options,
                           UsageSource self,
                           const Clock& clock)
    : schedule(options),
      self(std::move(self)),
      clock(clock),
      table(RandomId()) {}

void UsageCounter::CountBegun(const std::string& customer) {
  std::lock_guard lock(this->mutex);
  const std::int64_t now_ms =
      this->time.Read(this->clock.Now(), this->clock.WallTimeMs());
  this->table.Count(this->self, this->schedule.WindowAt(now_ms), customer);
  ++this->counted;
}

void UsageCounter::CountRequest(const std::string& service,
                                std::uint64_t prompt_tokens) {
  std::lock_guard lock(this->mutex);
  DemandTotals& demand = this->totals[service];
  ++demand.requests;
  demand.prompt_tokens += prompt_tokens;
}

void UsageCounter::CountEnd(const std::string& service,
                            const RequestResult& result,
                            std::uint64_t output_tokens) {
  std::lock_guard lock(this->mutex);
  DemandTotals& demand = this->totals[service];
  demand.output_tokens += output_tokens;
  demand.refused += result.outcome == RequestOutcome::kRefused ? 1 : 0;
  demand.late += result.outcome == RequestOutcome::kLate ? 1 : 0;
  if (result.first_event > Duration(0) && result.target > Duration(0)) {
    ++demand.first_bytes;
    demand.first_byte_permille += static_cast<std::uint64_t>(
        kPermille * static_cast<double>(result.first_event.count()) /
        static_cast<double>(result.target.count()));
  }
}

Json::Value UsageCounter::NextReport() {
  std::lock_guard lock(this->mutex);
  const TimePoint now = this->clock.Now();
  if (now < this->next_report) {
    return {};
  }
  this->next_report = now + kReportInterval;
  const std::int64_t now_ms = this->time.Read(now, this->clock.WallTimeMs());
  this->table.Drop(this->schedule.FirstKept(now_ms), now);
  this->table.SetTotals(this->self, now_ms, now, this->totals);
  ++this->reports;
  return this->table.NextReport(now);
}

void UsageCounter::OnReceipt(const Json::Value& receipt) {
  std::lock_guard lock(this->mutex);
  ++this->receipts;
  this->table.OnReceipt(receipt);
}

bool UsageCounter::AllReported() const {
  std::lock_guard lock(this->mutex);
  return this->table.AllAcknowledged();
}

void UsageCounter::Publish(Metrics& metrics) const {
  std::lock_guard lock(this->mutex);
  const auto total = [&metrics](const std::string& name,
                                const std::string& help, std::uint64_t value) {
    metrics.SetTotal("sycamorebend_gateway_usage_" + name + "_total", help, {},
                     static_cast<double>(value));
  };
  total("requests", "Requests of customers that servers began to run.",
        this->counted);
  total("reports", "Reports of usage that were sent with polls.",
        this->reports);
  total("receipts", "Reports of usage that were acknowledged.", this->receipts);
  total("clock_jumps", "Jumps of the wall clock that were noticed.",
        this->time.Jumps());
}

}  // namespace sycamorebend::gateway
