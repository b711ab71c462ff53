#include "ctl/table.h"

#include <fmt/format.h>

#include <algorithm>

#include "sycamorebend/settings.h"

namespace sycamorebend {

std::string FormatCell(const Json::Value& value) {
  if (value.isNull()) {
    return "-";
  }
  if (value.isString()) {
    return value.asString().empty() ? "-" : value.asString();
  }
  if (value.isArray()) {
    std::string text;
    for (const Json::Value& item : value) {
      text += (text.empty() ? "" : ",");
      text += item.isString() ? item.asString() : WriteJson(item);
    }
    return text.empty() ? "-" : text;
  }
  if (value.isObject()) {
    std::string text;
    for (const std::string& name : value.getMemberNames()) {
      text += (text.empty() ? "" : ",") + name + "=";
      text += value[name].isString() ? value[name].asString()
                                     : WriteJson(value[name]);
    }
    return text.empty() ? "-" : text;
  }
  return WriteJson(value);
}

std::string FormatTable(const std::vector<Column>& columns,
                        const Json::Value& rows) {
  std::vector<std::vector<std::string>> lines(1);
  for (const Column& column : columns) {
    lines[0].push_back(column.title);
  }
  for (const Json::Value& row : rows) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const Column& column : columns) {
      cells.push_back(row.isObject() ? FormatCell(row[column.key]) : "-");
    }
    lines.push_back(std::move(cells));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& cells : lines) {
    for (std::size_t i = 0; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  std::string text;
  for (const auto& cells : lines) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      line += fmt::format("{:<{}}  ", cells[i], widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace sycamorebend
