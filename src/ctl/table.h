// Plain text tables.
#ifndef SYCAMOREBEND_SRC_CTL_TABLE_H_
#define SYCAMOREBEND_SRC_CTL_TABLE_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace sycamorebend {

struct Column {
  std::string title;
  // Member of the row's object.
  std::string key;
};

// @return a heading and one line for each object in `rows`, in aligned columns.
std::string FormatTable(const std::vector<Column>& columns,
                        const Json::Value& rows);

// @return the value as a table cell: strings without quotes, lists joined with
// commas, "-" for null.
std::string FormatCell(const Json::Value& value);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_TABLE_H_
