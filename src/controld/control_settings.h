// Settings of sycamorebend-control.
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
  // Addresses of control replicas that this one can contact. If there are any,
  // the replica set manages its own membership, and `log.id`, `log.join` and
  // `log.initial_replicas` are not used.
  std::vector<std::string> seeds;
  // True on the first start of a deployment: the replicas at the seed addresses
  // form the initial replica set.
  bool bootstrap = false;
  // Intended number of voters; used only with seeds.
  int voters = 0;
  std::string failure_domain;
  Severity log_threshold = Severity::kInfo;
};

// @return the settings, or a 1xx error that names the file, line, key and
// accepted values.
Result<ControlSettings> ReadControlSettings(SettingsObject root);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROLD_CONTROL_SETTINGS_H_
