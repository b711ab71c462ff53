#include <algorithm>
#include <cctype>

#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

constexpr std::string_view kNameSymbols = "!#$%&'*+-.^_`|~";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7f;

}  // namespace

bool IsHeaderName(std::string_view name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](char symbol) {
           return std::isalnum(static_cast<unsigned char>(symbol)) != 0 ||
                  kNameSymbols.find(symbol) != std::string_view::npos;
         });
}

bool IsHeaderValue(std::string_view value) {
  return std::all_of(value.begin(), value.end(), [](char symbol) {
    const auto byte = static_cast<unsigned char>(symbol);
    return byte == '\t' || (byte >= kFirstPrintable && byte != kDelete);
  });
}

}  // namespace sycamorebend
