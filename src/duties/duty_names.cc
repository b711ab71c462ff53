#include <array>

#include "sycamorebend/duties.h"

namespace sycamorebend {

namespace {

constexpr std::array<std::string_view, kDuties.size()> kDutyNames = {
    "usage", "server_orders"};
constexpr std::array<std::string_view, kDutyCallResults> kResultNames = {
    "accepted", "rejected", "limited", "unknown", "not_sent"};

}  // namespace

std::string_view DutyName(Duty duty) {
  return kDutyNames.at(static_cast<std::size_t>(duty));
}

std::optional<Duty> FindDuty(std::string_view name) {
  for (const Duty duty : kDuties) {
    if (DutyName(duty) == name) {
      return duty;
    }
  }
  return std::nullopt;
}

std::string_view DutyCallResultName(DutyCallResult result) {
  return kResultNames.at(static_cast<std::size_t>(result));
}

}  // namespace sycamorebend
