#include <tuple>

#include "sycamorebend/placement.h"

namespace sycamorebend {

bool ModelVersion::operator<(const ModelVersion& other) const {
  return std::tie(this->model, this->version) <
         std::tie(other.model, other.version);
}

bool ModelVersion::operator==(const ModelVersion& other) const {
  return this->model == other.model && this->version == other.version;
}

std::string_view EngineRoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "unknown";
}

std::string_view EngineCommandKindName(EngineCommandKind kind) {
  switch (kind) {
    case EngineCommandKind::kLoadModel:
      return "load_model";
    case EngineCommandKind::kUnloadModel:
      return "unload_model";
  }
  return "unknown";
}

}  // namespace sycamorebend
