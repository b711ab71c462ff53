// Reads settings and shows the error for an unknown key.
#include <fmt/format.h>

#include "sycamorebend/settings.h"

int main() {
  const char* const text = R"({
    // The address this program listens on.
    "address": "127.0.0.1:8080",
    "poll_ms": 500
  })";
  auto settings =
      sycamorebend::SettingsObject::Parse(text, "example.json").value();
  const std::string address = settings.GetAddress("address");
  const sycamorebend::Duration poll = settings.GetMilliseconds(
      "poll_ms", sycamorebend::milliseconds(1), sycamorebend::seconds(60));
  const sycamorebend::Status finished = settings.Finish();
  fmt::print("listen on {}, poll every {} ms, {}\n", address,
             sycamorebend::ToMilliseconds(poll),
             finished ? "accepted" : "refused");

  auto misspelt = sycamorebend::SettingsObject::Parse(
                      R"({"adress": "127.0.0.1:8080"})", "bad.json")
                      .value();
  misspelt.GetAddress("address", "127.0.0.1:80");
  const sycamorebend::Status refused = misspelt.Finish();
  if (!refused) {
    fmt::print("{}\n", refused.error().message);
  }
  return finished && !refused ? 0 : 1;
}
