#include "logs/log_reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>

#include <fmt/format.h>
#include <json/reader.h>

namespace sycamorebend::logs {

namespace {

std::string LastWord(const std::string& text) {
  const std::size_t end = text.find_last_not_of(' ');
  if (end == std::string::npos) {
    return {};
  }
  const std::size_t before = text.find_last_of(' ', end);
  const std::size_t begin = before == std::string::npos ? 0 : before + 1;
  return text.substr(begin, end + 1 - begin);
}

std::optional<LogLine> ParseLine(Json::CharReader& reader,
                                 const std::string& text,
                                 const std::string& process) {
  const std::size_t begin = text.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  LogLine line;
  std::string error;
  const char* const end = text.data() + text.size();
  if (!reader.parse(text.data() + begin, end, &line.fields, &error) ||
      !line.fields.isObject() || !line.fields["time_ms"].isInt64() ||
      !line.fields["name"].isString()) {
    return std::nullopt;
  }
  line.time_ms = line.fields["time_ms"].asInt64();
  line.event = line.fields["name"].asString();
  line.process = LastWord(text.substr(0, begin));
  if (line.process.empty()) {
    line.process = process;
  }
  return line;
}

}  // namespace

std::string LogLine::Text(const char* field) const {
  const Json::Value& value = this->fields[field];
  return value.isString() ? value.asString() : std::string();
}

std::int64_t LogLine::Number(const char* field) const {
  const Json::Value& value = this->fields[field];
  return value.isInt64() ? value.asInt64() : 0;
}

void ReadLog(std::istream& input, const std::string& process, LogLines& logs) {
  const std::unique_ptr<Json::CharReader> reader(
      Json::CharReaderBuilder().newCharReader());
  std::string text;
  while (std::getline(input, text)) {
    std::optional<LogLine> line = ParseLine(*reader, text, process);
    if (line) {
      logs.lines.push_back(std::move(*line));
    } else {
      ++logs.skipped;
    }
  }
}

Result<LogLines> ReadLogFiles(const std::vector<std::string>& paths) {
  LogLines logs;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    if (!file) {
      return MakeError(ResultCode::kSettingsUnreadable,
                       fmt::format("log {} cannot be read", path));
    }
    ReadLog(file, std::filesystem::path(path).stem().string(), logs);
  }
  std::stable_sort(
      logs.lines.begin(), logs.lines.end(),
      [](const LogLine& a, const LogLine& b) { return a.time_ms < b.time_ms; });
  return logs;
}

}  // namespace sycamorebend::logs
