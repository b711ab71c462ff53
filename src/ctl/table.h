// Formats JSON as plain text tables.
#ifndef SYCAMOREBEND_SRC_CTL_TABLE_H_
#define SYCAMOREBEND_SRC_CTL_TABLE_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace sycamorebend {

struct Column {
  std::string title;
  // Member of the row object that holds the cell's value.
  std::string key;
};

// @return a header line and one line for each object in `rows`, in aligned
// columns.
std::string FormatTable(const std::vector<Column>& columns,
                        const Json::Value& rows);

// @return the value as a table cell: strings without quotes, lists joined with
// commas, objects as NAME=VALUE pairs, "-" for null and empty values.
std::string FormatCell(const Json::Value& value);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_TABLE_H_
