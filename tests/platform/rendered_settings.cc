#include "platform/rendered_settings.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

namespace sycamorebend::platform {

const TemplateFields& DefaultTemplateFields() {
  static const TemplateFields kFields = {
      {"ip", "10.1.0.19"},
      {"node_name|json", "\"edge-a-1\""},
      {"zone|json", "\"a\""},
      {"listen.frontend|json", "\"10.1.0.19:8740\""},
      {"listen.readiness|json", "\"10.1.0.19:8749\""},
      {"listen.control_plane|json", "\"10.1.0.19:8748\""},
      {"listen.registry|json", "\"10.1.0.19:8747\""},
      {"internal_ports.0", "7200"},
      {"seed_nodes|json", R"(["10.1.0.22:8748", "10.2.0.16:8748"])"},
      {"data_dir|json", "\"/data\""},
      {"bootstrap", "true"},
      {"fault_tolerance.nodes", "1"},
      {"limits.memory_mb", "160"},
      {"limits.max_fds", "4100"},
      {"bounds.grace_s", "8"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_slack", "56"},
      {"bounds.config_apply_ms", "2000"},
      {"cloud_api.rate_per_s", "50.0"},
      {"cloud_api.duty_per_s", "50.0"},
      {"cloud_api.duties|json", R"(["metering","autoscaler"])"},
      {"bounds.lease_ms", "3000"},
      {"bounds.thaw_ms", "300"},
      {"bounds.report_window_s", "5"},
      {"bounds.usage_delay_s", "10"}};
  return kFields;
}

namespace {

// @return true if `name` has fields of its own.
bool IsTable(const std::string& name, const TemplateFields& fields) {
  const auto first = fields.lower_bound(name + '.');
  return first != fields.end() && first->first.rfind(name + '.', 0) == 0;
}

// Renders the sections whose field is given, and removes the others. The
// platform renders a section over a table once for each entry: the settings
// would name its keys several times, and the process would not start.
void RenderSections(std::string& text, const TemplateFields& fields) {
  for (auto begin = text.find("{{#"); begin != std::string::npos;
       begin = text.find("{{#", begin)) {
    const auto name_end = text.find("}}", begin);
    BOOST_REQUIRE(name_end != std::string::npos);
    const std::string name = text.substr(begin + 3, name_end - begin - 3);
    const std::string end_mark = "{{/" + name + "}}";
    const auto end = text.find(end_mark, name_end);
    BOOST_REQUIRE_MESSAGE(end != std::string::npos, name);
    BOOST_REQUIRE_MESSAGE(!IsTable(name, DefaultTemplateFields()), name);
    const std::string content =
        fields.count(name) > 0 ? text.substr(name_end + 2, end - name_end - 2)
                               : std::string();
    text.replace(begin, end + end_mark.size() - begin, content);
  }
}

}  // namespace

std::string RenderTemplate(const std::string& name,
                           const TemplateFields& changes) {
  const char* const root = std::getenv("SB_SOURCE_DIR");
  BOOST_REQUIRE(root != nullptr);
  std::ostringstream file;
  file << std::ifstream(std::string(root) + "/deploy/" + name).rdbuf();
  std::string text = file.str();
  RenderSections(text, changes);
  for (auto begin = text.find("{{"); begin != std::string::npos;
       begin = text.find("{{", begin)) {
    const auto end = text.find("}}", begin);
    BOOST_REQUIRE(end != std::string::npos);
    const std::string field = text.substr(begin + 2, end - begin - 2);
    const auto changed = changes.find(field);
    const bool is_default = changed == changes.end();
    const auto known =
        is_default ? DefaultTemplateFields().find(field) : changed;
    BOOST_REQUIRE_MESSAGE(!is_default || known != DefaultTemplateFields().end(),
                          field);
    text.replace(begin, end + 2 - begin, known->second);
  }
  return text;
}

}  // namespace sycamorebend::platform
