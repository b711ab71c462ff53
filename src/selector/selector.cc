#include "sycamorebend/selector.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace sycamorebend {

namespace {

constexpr std::size_t kMaxLabelLength = 63;

bool IsLabelText(std::string_view text) {
  return text.size() <= kMaxLabelLength &&
         std::all_of(text.begin(), text.end(), [](char symbol) {
           return std::isalnum(static_cast<unsigned char>(symbol)) != 0 ||
                  std::string_view("-_./").find(symbol) !=
                      std::string_view::npos;
         });
}

bool IsLabelName(std::string_view text) {
  return !text.empty() && IsLabelText(text);
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

// Splits at commas outside parentheses.
std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> parts;
  std::size_t start = 0;
  int depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    depth += text[i] == '(' ? 1 : 0;
    depth -= text[i] == ')' ? 1 : 0;
    if (text[i] == ',' && depth == 0) {
      parts.push_back(Trim(text.substr(start, i - start)));
      start = i + 1;
    }
  }
  parts.push_back(Trim(text.substr(start)));
  return parts;
}

Error InvalidSelector(std::string_view part) {
  return MakeError(
      ResultCode::kInvalidSelector,
      fmt::format("\"{}\" is not a requirement; accepted: a=b, a!=b, "
                  "a in (x,y), a notin (x,y), a, !a",
                  part));
}

}  // namespace

Result<Labels> ParseLabels(std::string_view text) {
  Labels labels;
  if (Trim(text).empty()) {
    return labels;
  }
  for (const std::string_view part : SplitList(text)) {
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos ||
        !IsLabelName(part.substr(0, equals)) ||
        !IsLabelText(part.substr(equals + 1))) {
      return MakeError(ResultCode::kInvalidLabel,
                       fmt::format("\"{}\" is not a label; accepted: "
                                   "name=value with letters, digits and -_./",
                                   part));
    }
    const bool inserted =
        labels.emplace(part.substr(0, equals), part.substr(equals + 1)).second;
    if (!inserted) {
      return MakeError(
          ResultCode::kInvalidLabel,
          fmt::format("label \"{}\" is given twice", part.substr(0, equals)));
    }
  }
  return labels;
}

std::string FormatLabels(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += fmt::format("{}{}={}", text.empty() ? "" : ",", name, value);
  }
  return text;
}

Result<Selector> Selector::Parse(std::string_view text) {
  Selector selector;
  selector.text = std::string(text);
  if (Trim(text).empty()) {
    return selector;
  }
  for (const std::string_view part : SplitList(text)) {
    BOOST_OUTCOME_TRY(requirement, ParseRequirement(part));
    selector.requirements.push_back(std::move(requirement));
  }
  return selector;
}

Result<Selector::Requirement> Selector::ParseRequirement(
    std::string_view part) {
  const std::size_t space = part.find(' ');
  if (space != std::string_view::npos) {
    return ParseSetRequirement(part, space);
  }
  Requirement requirement;
  const std::size_t equals = part.find('=');
  if (equals == std::string_view::npos) {
    const bool absent = !part.empty() && part.front() == '!';
    requirement.op = absent ? Operator::kAbsent : Operator::kPresent;
    requirement.name = std::string(part.substr(absent ? 1 : 0));
  } else {
    const bool negated = equals > 0 && part[equals - 1] == '!';
    requirement.op = negated ? Operator::kNotIn : Operator::kIn;
    requirement.name = std::string(part.substr(0, equals - (negated ? 1 : 0)));
    requirement.values.emplace_back(part.substr(equals + 1));
  }
  if (!IsLabelName(requirement.name) ||
      !std::all_of(requirement.values.begin(), requirement.values.end(),
                   IsLabelText)) {
    return InvalidSelector(part);
  }
  return requirement;
}

Result<Selector::Requirement> Selector::ParseSetRequirement(
    std::string_view part,
    std::size_t space) {
  Requirement requirement;
  requirement.name = std::string(part.substr(0, space));
  std::string_view rest = Trim(part.substr(space));
  const std::size_t open = rest.find('(');
  if (open == std::string_view::npos || rest.back() != ')') {
    return InvalidSelector(part);
  }
  const std::string_view op = Trim(rest.substr(0, open));
  if (op != "in" && op != "notin") {
    return InvalidSelector(part);
  }
  requirement.op = op == "in" ? Operator::kIn : Operator::kNotIn;
  rest = rest.substr(open + 1, rest.size() - open - 2);
  for (const std::string_view value : SplitList(rest)) {
    if (!IsLabelText(value)) {
      return InvalidSelector(part);
    }
    requirement.values.emplace_back(value);
  }
  if (!IsLabelName(requirement.name)) {
    return InvalidSelector(part);
  }
  return requirement;
}

bool Selector::Matches(const Labels& labels) const {
  const auto satisfied = [&labels](const Requirement& requirement) {
    const auto label = labels.find(requirement.name);
    const bool present = label != labels.end();
    const bool listed =
        present &&
        std::find(requirement.values.begin(), requirement.values.end(),
                  label->second) != requirement.values.end();
    switch (requirement.op) {
      case Operator::kIn:
        return listed;
      case Operator::kNotIn:
        return !listed;
      case Operator::kPresent:
        return present;
      case Operator::kAbsent:
        return !present;
    }
    return false;
  };
  return std::all_of(this->requirements.begin(), this->requirements.end(),
                     satisfied);
}

}  // namespace sycamorebend
