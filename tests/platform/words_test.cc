// The platform's names may occur in platform/ and deploy/ only.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::platform {

namespace {

namespace fs = std::filesystem;

constexpr const char* kPlatformNames[] = {
    "route_table",        "\"backends\"", "warmup_left_ms",
    "heartbeat_addr",     "kv-move",      "kv-pin",
    "hold-take",          "Kv-From",      "Kv-Fetch",
    "Token-Usage",        "Prefix-Hash",  "Not-Executed",
    "Response-Signature", "seed_nodes",   "in_tolerance",
    "machine_class",      "api/resolve",  "api/readyz",
    "config/replace",     "api/instances"};

}  // namespace

// Guards against a dependency of src/ or include/ on the platform's names and
// formats.
BOOST_AUTO_TEST_CASE(SourcesDoNotUsePlatformNames) {
  const char* const root = std::getenv("SB_SOURCE_DIR");
  BOOST_REQUIRE(root != nullptr);
  for (const char* folder : {"src", "include"}) {
    for (const auto& item :
         fs::recursive_directory_iterator(fs::path(root) / folder)) {
      if (!item.is_regular_file()) {
        continue;
      }
      std::ostringstream text;
      text << std::ifstream(item.path()).rdbuf();
      for (const char* name : kPlatformNames) {
        BOOST_TEST(text.str().find(name) == std::string::npos,
                   item.path() << " has " << name);
      }
    }
  }
}

}  // namespace sycamorebend::platform
