// Labels of backend servers and requests, and selectors over them.
#ifndef SYCAMOREBEND_SELECTOR_H_
#define SYCAMOREBEND_SELECTOR_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Label names to values. Names and values have 1 to 63 characters out of
// letters, digits, '-', '_', '.' and '/'; a value may be empty.
using Labels = std::map<std::string, std::string, std::less<>>;

// Reads "a=b,c=d". An empty text gives no labels.
// @return the labels, or kInvalidLabel naming the part that is malformed.
Result<Labels> ParseLabels(std::string_view text);

// @return "a=b,c=d", ordered by name.
std::string FormatLabels(const Labels& labels);

// A conjunction of requirements on labels. An empty selector matches
// everything.
class Selector {
 public:
  Selector() = default;

  // Reads requirements separated by commas: `a=b`, `a!=b`, `a in (x,y)`,
  // `a notin (x,y)`, `a` (present), `!a` (absent). `a!=b` and `notin` also
  // match when the label is absent.
  // @return the selector, or kInvalidSelector naming the part that is
  // malformed.
  static Result<Selector> Parse(std::string_view text);

  bool Matches(const Labels& labels) const;

  // @return the text that Parse read.
  const std::string& Text() const { return this->text; }

 private:
  enum class Operator : int { kIn = 0, kNotIn = 1, kPresent = 2, kAbsent = 3 };

  struct Requirement {
    std::string name;
    Operator op;
    std::vector<std::string> values;
  };

  static Result<Requirement> ParseRequirement(std::string_view part);
  static Result<Requirement> ParseSetRequirement(std::string_view part,
                                                 std::size_t space);

  std::string text;
  std::vector<Requirement> requirements;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SELECTOR_H_
