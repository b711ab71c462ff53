// Human-readable differences between two configuration documents.
#ifndef SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_
#define SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace sycamorebend {

// @return one line for each difference: "+ PATH: NEW", "- PATH: OLD" or
// "~ PATH: OLD -> NEW". List items are matched by name if every item has a
// unique one.
std::vector<std::string> DescribeDifferences(const Json::Value& before,
                                             const Json::Value& after);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_
