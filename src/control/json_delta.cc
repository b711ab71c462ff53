#include <algorithm>
#include <utility>

#include "sycamorebend/control.h"

namespace sycamorebend {

namespace {

// A patch is an object with one member: "=" gives a new value, "members" the
// patches of an object's members (null removes a member), and "range" replaces
// elements of an array: [start, number removed, elements inserted]. JSON merge
// patches (RFC 7396) are unsuitable: they cannot set a member to null, and they
// repeat a whole list when one element changes.
const char kValue[] = "=";
const char kMembers[] = "members";
const char kRange[] = "range";
constexpr Json::ArrayIndex kRangeParts = 3;

Json::Value DiffArrays(const Json::Value& before, const Json::Value& after) {
  const Json::ArrayIndex shorter = std::min(before.size(), after.size());
  Json::ArrayIndex start = 0;
  while (start < shorter && before[start] == after[start]) {
    ++start;
  }
  Json::ArrayIndex tail = 0;
  while (tail < shorter - start &&
         before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
    ++tail;
  }
  Json::Value inserted(Json::arrayValue);
  for (Json::ArrayIndex i = start; i < after.size() - tail; ++i) {
    inserted.append(after[i]);
  }
  Json::Value range(Json::arrayValue);
  range.append(start);
  range.append(before.size() - tail - start);
  range.append(std::move(inserted));
  Json::Value patch;
  patch[kRange] = std::move(range);
  return patch;
}

Json::Value DiffObjects(const Json::Value& before, const Json::Value& after) {
  Json::Value members(Json::objectValue);
  for (const std::string& name : before.getMemberNames()) {
    if (!after.isMember(name)) {
      members[name] = Json::nullValue;
    }
  }
  for (const std::string& name : after.getMemberNames()) {
    if (!before.isMember(name)) {
      members[name][kValue] = after[name];
    } else if (before[name] != after[name]) {
      members[name] = DiffJson(before[name], after[name]);
    }
  }
  Json::Value patch;
  patch[kMembers] = std::move(members);
  return patch;
}

Error PatchMismatch() {
  return MakeError(ResultCode::kProtocolError,
                   "the patch does not apply to the value");
}

Result<Json::Value> PatchObject(Json::Value value, const Json::Value& members) {
  if (!value.isObject() || !members.isObject()) {
    return PatchMismatch();
  }
  for (const std::string& name : members.getMemberNames()) {
    if (members[name].isNull()) {
      value.removeMember(name);
      continue;
    }
    Json::Value member;
    if (value.isMember(name)) {
      member.swap(value[name]);
    }
    BOOST_OUTCOME_TRY(patched, PatchJson(std::move(member), members[name]));
    value[name] = std::move(patched);
  }
  return value;
}

Result<Json::Value> PatchArray(const Json::Value& value,
                               const Json::Value& range) {
  const bool well_formed = value.isArray() && range.isArray() &&
                           range.size() == kRangeParts && range[0].isUInt() &&
                           range[1].isUInt() && range[2].isArray();
  if (!well_formed || range[0].asUInt() > value.size() ||
      range[1].asUInt() > value.size() - range[0].asUInt()) {
    return PatchMismatch();
  }
  const Json::ArrayIndex start = range[0].asUInt();
  Json::Value result(Json::arrayValue);
  for (Json::ArrayIndex i = 0; i < start; ++i) {
    result.append(value[i]);
  }
  for (const Json::Value& item : range[2]) {
    result.append(item);
  }
  for (Json::ArrayIndex i = start + range[1].asUInt(); i < value.size(); ++i) {
    result.append(value[i]);
  }
  return result;
}

}  // namespace

// NOLINTNEXTLINE(misc-no-recursion)
Json::Value DiffJson(const Json::Value& before, const Json::Value& after) {
  if (before.isObject() && after.isObject()) {
    return DiffObjects(before, after);
  }
  if (before.isArray() && after.isArray()) {
    return DiffArrays(before, after);
  }
  Json::Value patch;
  patch[kValue] = after;
  return patch;
}

void AddMemberPatch(Json::Value& patch,
                    const std::string& name,
                    Json::Value member_patch) {
  patch[kMembers][name] = std::move(member_patch);
}

std::optional<Json::Value> TakeMemberPatch(Json::Value& patch,
                                           const std::string& name) {
  if (!patch.isObject()) {
    return std::nullopt;
  }
  Json::Value taken;
  if (patch.isMember(kMembers)) {
    Json::Value& members = patch[kMembers];
    return members.isObject() && members.removeMember(name, &taken)
               ? std::make_optional(std::move(taken))
               : std::nullopt;
  }
  if (!patch.isMember(kValue) || !patch[kValue].isObject()) {
    return std::nullopt;
  }
  Json::Value member_patch;
  if (patch[kValue].removeMember(name, &taken)) {
    member_patch[kValue] = std::move(taken);
  }
  return member_patch;
}

// NOLINTNEXTLINE(misc-no-recursion)
Result<Json::Value> PatchJson(Json::Value value, const Json::Value& patch) {
  if (!patch.isObject() || patch.size() != 1) {
    return PatchMismatch();
  }
  if (patch.isMember(kValue)) {
    return patch[kValue];
  }
  if (patch.isMember(kMembers)) {
    return PatchObject(std::move(value), patch[kMembers]);
  }
  if (patch.isMember(kRange)) {
    return PatchArray(value, patch[kRange]);
  }
  return PatchMismatch();
}

}  // namespace sycamorebend
