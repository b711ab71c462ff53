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
  // Addresses of control replicas that this one contacts. If there are any, the
  // replica set looks after itself: `log.id`, `log.join` and
  // `log.initial_replicas` are not used.
  std::vector<std::string> seeds;
  // The deployment starts for the first time: the seeds found the replica set.
  bool bootstrap = false;
  // Voters that the replica set shall have; with seeds only.
  int voters = 0;
  std::string failure_domain;
  Severity log_threshold = Severity::kInfo;
};

// @return the settings, or a 1xx error naming file, line, key and the accepted
// values.
Result<ControlSettings> ReadControlSettings(SettingsObject root);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_SETTINGS_H_
