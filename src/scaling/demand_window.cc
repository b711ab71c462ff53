#include "scaling/demand_window.h"

#include <algorithm>
#include <vector>

namespace sycamorebend::internal {

namespace {

constexpr Duration kWindow = seconds(60);
constexpr Duration kPresent = seconds(10);
// Work that lasts longer than a burst (9 s as observed) is the new steady work.
constexpr Duration kLastingWork = seconds(12);
// Reports are due each second; after a longer gap a peak may have been missed.
constexpr Duration kMaxGap = seconds(5);

}  // namespace

void DemandWindow::Add(double work, TimePoint now) {
  if (!this->samples.empty() && now - this->samples.back().time > kMaxGap) {
    this->known_since.reset();
  }
  if (!this->known_since && work > 0) {
    this->known_since = now;
  }
  this->samples.push_back({now, work});
  while (now - this->samples.front().time > kWindow) {
    this->samples.pop_front();
  }
}

double DemandWindow::Present(TimePoint now) const {
  double highest = 0;
  for (const Sample& sample : this->samples) {
    if (now - sample.time <= kPresent) {
      highest = std::max(highest, sample.work);
    }
  }
  return highest;
}

double DemandWindow::Steady(TimePoint now) const {
  if (this->samples.empty()) {
    return 0;
  }
  std::vector<double> works;
  double lasting = this->samples.back().work;
  for (const Sample& sample : this->samples) {
    works.push_back(sample.work);
    if (now - sample.time <= kLastingWork) {
      lasting = std::min(lasting, sample.work);
    }
  }
  const auto middle =
      works.begin() + static_cast<std::ptrdiff_t>(works.size() / 2);
  std::nth_element(works.begin(), middle, works.end());
  return std::max(lasting, *middle);
}

double DemandWindow::Peak(TimePoint now) const {
  double highest = kBurstFactor * this->Steady(now);
  for (const Sample& sample : this->samples) {
    highest = std::max(highest, sample.work);
  }
  return highest;
}

Duration DemandWindow::KnownFor(TimePoint now) const {
  if (!this->known_since || now - this->samples.back().time > kMaxGap) {
    return Duration{0};
  }
  return now - *this->known_since;
}

}  // namespace sycamorebend::internal
