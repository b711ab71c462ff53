#include "ctl/document_diff.h"

#include <fmt/format.h>

#include <map>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

using Members = std::map<std::string, const Json::Value*>;

// @return the items of a list by name; empty if an item has no name or if two
// have the same name.
Members NamedMembers(const Json::Value& list) {
  Members members;
  for (const Json::Value& item : list) {
    const bool named = item.isObject() && item["name"].isString();
    if (!named || !members.emplace(item["name"].asString(), &item).second) {
      return {};
    }
  }
  return members;
}

Members ObjectMembers(const Json::Value& object) {
  Members members;
  for (const std::string& name : object.getMemberNames()) {
    members[name] = &object[name];
  }
  return members;
}

class Comparison {
 public:
  // NOLINTNEXTLINE(misc-no-recursion)
  void Compare(const std::string& path,
               const Json::Value& before,
               const Json::Value& after) {
    if (before == after) {
      return;
    }
    if (before.isObject() && after.isObject()) {
      const std::string prefix = path.empty() ? "" : path + ".";
      this->CompareMembers(prefix, "", ObjectMembers(before),
                           ObjectMembers(after));
      return;
    }
    if (before.isArray() && after.isArray()) {
      const Members old_members = NamedMembers(before);
      const Members new_members = NamedMembers(after);
      const bool by_name = old_members.size() == before.size() &&
                           new_members.size() == after.size();
      if (by_name) {
        const std::size_t known = this->lines.size();
        this->CompareMembers(path + "[", "]", old_members, new_members);
        if (this->lines.size() == known) {
          this->lines.push_back(fmt::format("~ {}: other order", path));
        }
        return;
      }
    }
    this->lines.push_back(fmt::format("~ {}: {} -> {}", path, WriteJson(before),
                                      WriteJson(after)));
  }

  std::vector<std::string> lines;

 private:
  // NOLINTNEXTLINE(misc-no-recursion)
  void CompareMembers(const std::string& prefix,
                      const std::string& suffix,
                      const Members& before,
                      const Members& after) {
    for (const auto& [name, value] : before) {
      const std::string path = fmt::format("{}{}{}", prefix, name, suffix);
      const auto found = after.find(name);
      if (found == after.end()) {
        this->lines.push_back(fmt::format("- {}: {}", path, WriteJson(*value)));
      } else {
        this->Compare(path, *value, *found->second);
      }
    }
    for (const auto& [name, value] : after) {
      if (before.count(name) == 0) {
        this->lines.push_back(fmt::format("+ {}{}{}: {}", prefix, name, suffix,
                                          WriteJson(*value)));
      }
    }
  }
};

}  // namespace

std::vector<std::string> DescribeDifferences(const Json::Value& before,
                                             const Json::Value& after) {
  Comparison comparison;
  const Json::Value empty(Json::objectValue);
  comparison.Compare("", before.isNull() ? empty : before,
                     after.isNull() ? empty : after);
  return std::move(comparison.lines);
}

}  // namespace sycamorebend
