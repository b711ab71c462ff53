#include "logs/attainment.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace sycamorebend::logs {

namespace {

constexpr int kFirstFailureStatus = 300;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr double kPercent = 100;

// Size of the SVG chart, in user units.
constexpr double kWidth = 900;
constexpr double kHeight = 260;
constexpr double kMargin = 40;

// One series of the stacked chart.
struct Band {
  const char* name;
  const char* color;
  int OutcomeCounts::*count;
};

constexpr std::array kBands = {
    Band{"in time", "#3a7d44", &OutcomeCounts::in_time},
    Band{"late", "#e0a030", &OutcomeCounts::late},
    Band{"refused", "#5b7fb5", &OutcomeCounts::refused},
    Band{"failed", "#b03a3a", &OutcomeCounts::failed},
};

void CountRequest(const LogLine& line, OutcomeCounts& interval) {
  const std::int64_t status = line.Number("status");
  const std::int64_t latency_ms = line.Number("events") > 0
                                      ? line.Number("first_event_ms")
                                      : line.Number("duration_ms");
  if (status == kTooManyRequests || status == kUnavailable) {
    ++interval.refused;
  } else if (status >= kFirstFailureStatus) {
    ++interval.failed;
  } else {
    const std::int64_t target = line.Number("target_ms");
    ++(target > 0 && latency_ms > target ? interval.late : interval.in_time);
    interval.slowest_ms = std::max(interval.slowest_ms, latency_ms);
  }
}

std::string FormatRow(const std::string& name, const OutcomeCounts& interval) {
  const int all = std::max(1, interval.Total());
  return fmt::format("{:<14}{:>8}{:>8}{:>8}{:>8}{:>9.1f}%{:>11}\n", name,
                     interval.in_time, interval.late, interval.refused,
                     interval.failed, kPercent * interval.in_time / all,
                     interval.slowest_ms);
}

std::string Heading(const char* first) {
  return fmt::format("{:<14}{:>8}{:>8}{:>8}{:>8}{:>10}{:>11}\n", first,
                     "IN TIME", "LATE", "REFUSED", "FAILED", "ATTAINED",
                     "SLOWEST MS");
}

std::string Legend() {
  constexpr double kStep = 110;
  constexpr double kBox = 10;
  constexpr double kTop = 12;
  std::string text;
  double x = kMargin;
  for (const Band& band : kBands) {
    text += fmt::format(
        "<rect x=\"{0}\" y=\"{1}\" width=\"{2}\" height=\"{2}\" "
        "fill=\"{3}\"/><text x=\"{4}\" y=\"{5}\">{6}</text>\n",
        x, kTop, kBox, band.color, x + kBox + 4, kTop + kBox - 1, band.name);
    x += kStep;
  }
  return text;
}

}  // namespace

Attainment ComputeAttainment(const LogLines& logs, std::int64_t interval_ms) {
  Attainment attainment;
  attainment.interval_ms = interval_ms;
  for (const LogLine& line : logs.lines) {
    if (line.event != "request_finished") {
      continue;
    }
    if (attainment.intervals.empty()) {
      attainment.begin_ms = line.time_ms;
    }
    const auto index = static_cast<std::size_t>(
        std::max<std::int64_t>(0, line.time_ms - attainment.begin_ms) /
        interval_ms);
    if (attainment.intervals.size() <= index) {
      attainment.intervals.resize(index + 1);
    }
    CountRequest(line, attainment.intervals[index]);
    CountRequest(line, attainment.by_route[line.Text("route")]);
  }
  return attainment;
}

std::string FormatAttainment(const Attainment& attainment) {
  constexpr double kMsPerSecond = 1000;
  std::string text = Heading("FROM SECOND");
  for (std::size_t i = 0; i < attainment.intervals.size(); ++i) {
    const double from = static_cast<double>(i) *
                        static_cast<double>(attainment.interval_ms) /
                        kMsPerSecond;
    text += FormatRow(fmt::format("{:.1f}", from), attainment.intervals[i]);
  }
  text += "\n" + Heading("ROUTE");
  for (const auto& [route, interval] : attainment.by_route) {
    text += FormatRow(route, interval);
  }
  return text;
}

std::string RenderAttainmentSvg(const Attainment& attainment) {
  std::string text = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
      "height=\"{1}\" font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n",
      kWidth, kHeight);
  text += Legend();
  const double plot_height = kHeight - 2 * kMargin;
  const double step =
      (kWidth - 2 * kMargin) / static_cast<double>(std::max<std::size_t>(
                                   1, attainment.intervals.size()));
  double x = kMargin;
  for (const OutcomeCounts& interval : attainment.intervals) {
    double y = kHeight - kMargin;
    for (const Band& band : kBands) {
      const double height =
          plot_height * (interval.*band.count) / std::max(1, interval.Total());
      y -= height;
      text += fmt::format(
          "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
          "height=\"{:.1f}\" fill=\"{}\"/>\n",
          x, y, step, height, band.color);
    }
    x += step;
  }
  text += fmt::format(
      "<text x=\"{}\" y=\"{}\">share of the requests that ended, one column "
      "for each {} ms</text>\n</svg>\n",
      kMargin, kHeight - kMargin / 2, attainment.interval_ms);
  return text;
}

}  // namespace sycamorebend::logs
