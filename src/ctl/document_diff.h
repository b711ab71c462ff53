// Differences between two configuration documents, for people.
#ifndef SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_
#define SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

#include <json/value.h>

namespace sycamorebend {

// @return one line for each difference: "+ PATH: NEW", "- PATH: OLD" or
// "~ PATH: OLD -> NEW". Members of a list that have a name are matched by it.
std::vector<std::string> DescribeDifferences(const Json::Value& before,
                                             const Json::Value& after);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CTL_DOCUMENT_DIFF_H_
