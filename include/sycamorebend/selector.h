// Labels of backend servers and requests, and selectors over them.
#ifndef SYCAMOREBEND_SELECTOR_H_
#define SYCAMOREBEND_SELECTOR_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend {

// Maps label names to values. Names and values have up to 63 characters:
// letters, digits, '-', '_', '.' and '/'. A value may be empty, a name may not.
using Labels = std::map<std::string, std::string, std::less<>>;

// Parses labels such as "a=b,c=d". An empty string yields no labels.
// @return the labels, or kInvalidLabel naming the malformed part.
Result<Labels> ParseLabels(std::string_view text);

// @return the labels as "a=b,c=d", ordered by name.
std::string FormatLabels(const Labels& labels);

// A conjunction of requirements on labels. An empty selector matches any
// labels.
class Selector {
 public:
  Selector() = default;

  // Parses comma-separated requirements: `a=b`, `a!=b`, `a in (x,y)`,
  // `a notin (x,y)`, `a` (present), `!a` (absent). `a!=b` and `notin` also
  // match if the label is absent.
  // @return the selector, or kInvalidSelector naming the malformed part.
  static Result<Selector> Parse(std::string_view text);

  bool Matches(const Labels& labels) const;

  // @return the text that was parsed.
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
