// Settings file of sycamorebend-control.
#ifndef SYCAMOREBEND_SRC_CONTROLD_CONTROL_SETTINGS_H_
#define SYCAMOREBEND_SRC_CONTROLD_CONTROL_SETTINGS_H_

#include <string>

#include "sycamorebend/consensus.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

struct ControlSettings {
  ReplicatedLogOptions log;
  FeedSourceOptions feed;
  std::string failure_domain;
  Severity log_threshold = Severity::kInfo;
};

// @return the settings, or a 1xx error naming file, line, key and the accepted
// values.
Result<ControlSettings> ReadControlSettings(SettingsObject root);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_SETTINGS_H_
