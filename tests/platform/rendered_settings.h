// The settings templates in deploy/, filled in as the platform does.
#ifndef SYCAMOREBEND_TESTS_PLATFORM_RENDERED_SETTINGS_H_
#define SYCAMOREBEND_TESTS_PLATFORM_RENDERED_SETTINGS_H_

#include <map>
#include <string>

namespace sycamorebend::platform {

// Placeholders with the JSON text that the platform puts in their place.
using TemplateFields = std::map<std::string, std::string>;

// Fields of an entry VM and of a control VM in failure domain "a".
const TemplateFields& DefaultTemplateFields();

// @param name file in deploy/.
// @param changes fields that replace the default ones.
// @return the template with each placeholder replaced; one that is unknown is
// an error of the test.
std::string RenderTemplate(const std::string& name,
                           const TemplateFields& changes);

}  // namespace sycamorebend::platform

#endif  // SYCAMOREBEND_TESTS_PLATFORM_RENDERED_SETTINGS_H_
