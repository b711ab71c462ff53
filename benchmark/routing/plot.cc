#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>

#include "report.h"

namespace sycamorebend::benchmark {

namespace {

constexpr int kBarWidth = 10;
constexpr int kGroupWidth = 70;
constexpr int kPanelHeight = 160;
constexpr int kTop = 40;
constexpr int kLeft = 60;
constexpr std::array<const char*, 5> kColours = {
    "#1b5e20", "#9e9e9e", "#c0a060", "#6090c0", "#b06080"};

std::string Text(int x, int y, const std::string& text, const char* extra) {
  return fmt::format("<text x=\"{}\" y=\"{}\" font-size=\"10\" {}>{}</text>\n",
                     x, y, extra, text);
}

template <typename Value>
std::string Panel(const std::vector<Row>& rows,
                  int top,
                  const std::string& title,
                  Value value) {
  std::string svg = Text(kLeft, top - 8, title, "font-weight=\"bold\"");
  double largest = 1e-9;
  for (const Row& row : rows) {
    largest = std::max(largest, value(row));
  }
  svg += Text(5, top + 10, fmt::format("{:.4g}", largest), "");
  int group = -1;
  std::size_t bar = 0;
  std::string last;
  for (const Row& row : rows) {
    if (row.scenario != last) {
      last = row.scenario;
      ++group;
      bar = 0;
      svg += Text(kLeft + group * kGroupWidth, top + kPanelHeight + 10,
                  row.scenario.substr(0, 13), "");
    }
    const int height =
        static_cast<int>(value(row) / largest * (kPanelHeight - 5));
    svg += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"{}\">"
        "<title>{} {}: {:.4g}</title></rect>\n",
        kLeft + group * kGroupWidth + static_cast<int>(bar) * kBarWidth,
        top + kPanelHeight - height, kBarWidth - 1, height,
        kColours[bar % kColours.size()], row.scenario, row.scheduler,
        value(row));
    ++bar;
  }
  return svg;
}

}  // namespace

bool WriteSvg(const std::vector<Row>& rows, const std::string& path) {
  std::ofstream file(path);
  std::string body;
  int top = kTop;
  std::size_t widest = 0;
  std::vector<std::string> names;
  for (const Row& row : rows) {
    if (std::find(names.begin(), names.end(), row.deployment) == names.end()) {
      names.push_back(row.deployment);
    }
  }
  for (const std::string& name : names) {
    std::vector<Row> own;
    std::copy_if(rows.begin(), rows.end(), std::back_inserter(own),
                 [&name](const Row& row) { return row.deployment == name; });
    widest = std::max(widest, own.size());
    for (const auto& [title, value] :
         {std::pair{"urgent attainment", &UrgentAttainment},
          std::pair{"goodput, tokens", &Goodput},
          std::pair{"wasted tokens", &WastedTokens}}) {
      body += Panel(own, top, name + ": " + title,
                    [value = value](const Row& row) { return value(row.run); });
      top += kPanelHeight + kTop;
    }
  }
  std::string legend;
  for (std::size_t i = 0; i < kColours.size() && i < rows.size(); ++i) {
    legend +=
        Text(kLeft + 300 + static_cast<int>(i) * 120, 15, rows[i].scheduler,
             fmt::format("fill=\"{}\"", kColours[i]).c_str());
  }
  file << fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\">\n<rect width=\"100%\" height=\"100%\" "
      "fill=\"white\"/>\n{}{}</svg>\n",
      kLeft + static_cast<int>(widest / kColours.size() + 1) * kGroupWidth, top,
      legend, body);
  return static_cast<bool>(file);
}

}  // namespace sycamorebend::benchmark
