// Reads the structured logs of several processes.
#ifndef SYCAMOREBEND_SRC_LOGS_LOG_READER_H_
#define SYCAMOREBEND_SRC_LOGS_LOG_READER_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"

namespace sycamorebend::logs {

// One line of a log.
struct LogLine {
  std::int64_t time_ms = 0;  // Wall clock of the process that wrote it.
  std::string process;
  std::string event;  // Event name, such as "request_finished".
  Json::Value fields;

  // @return an empty string or 0 if the line has no such field.
  std::string Text(const char* field) const;
  std::int64_t Number(const char* field) const;
};

// The lines of all processes. ReadLogFiles sorts them by time.
struct LogLines {
  std::vector<LogLine> lines;
  // Lines that could not be parsed as structured log lines.
  std::size_t skipped = 0;
};

// Appends the lines of one log. A line may have text before its JSON object;
// the last word of that text, if any, is the name of the process.
// @param process name of the process for lines without such text.
void ReadLog(std::istream& input, const std::string& process, LogLines& logs);

// Reads the files and sorts their lines by time.
// @return kSettingsUnreadable if a file cannot be read.
Result<LogLines> ReadLogFiles(const std::vector<std::string>& paths);

}  // namespace sycamorebend::logs

#endif  // SYCAMOREBEND_SRC_LOGS_LOG_READER_H_
