// Selects servers by their labels.
#include <fmt/format.h>

#include "sycamorebend/selector.h"

int main() {
  const auto selector =
      sycamorebend::Selector::Parse("model in (repair,chat), !drained").value();
  int matches = 0;
  for (const char* const text :
       {"model=repair,pool=a", "model=seats", "model=chat,drained=yes"}) {
    const sycamorebend::Labels labels = sycamorebend::ParseLabels(text).value();
    const bool match = selector.Matches(labels);
    matches += match ? 1 : 0;
    fmt::print("{:<24} {}\n", text, match ? "matches" : "does not match");
  }
  return matches == 1 ? 0 : 1;
}
