// Runs commands on a control state.
#ifndef SYCAMOREBEND_TESTS_CONTROL_CONTROL_FIXTURE_H_
#define SYCAMOREBEND_TESTS_CONTROL_CONTROL_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include <json/value.h>
#include <json/writer.h>

#include "sycamorebend/control.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

struct ControlFixture {
  ControlFixture() { this->Create({}); }

  void Create(ControlLimits limits) {
    this->limits = limits;
    this->state = ControlState::Create(
        [this](std::shared_ptr<const SharedState> shared) {
          this->published.push_back(std::move(shared));
        },
        limits);
  }

  // @param text a command as JSON.
  Result<Json::Value> Run(const std::string& text) {
    return DecodeCommandResult(
        this->state->Apply(++this->index, this->now_ms, text));
  }

  Result<Json::Value> Configure(const std::string& change_id,
                                std::uint64_t expected,
                                int content,
                                const std::string& operator_name = "alice") {
    Json::Value command;
    command["type"] = "config.apply";
    command["change_id"] = change_id;
    command["operator"] = operator_name;
    command["expected_version"] = Json::UInt64(expected);
    command["document"]["content"] = content;
    return this->Run(WriteJson(command));
  }

  // Continues with a state restored from a snapshot, as after a restart.
  Status Restart() {
    const std::string snapshot = this->state->Snapshot();
    this->Create(this->limits);
    return this->state->Restore(snapshot);
  }

  ControlLimits limits;
  LogIndex index = 0;
  std::int64_t now_ms = 1764806400000;
  std::vector<std::shared_ptr<const SharedState>> published;
  std::unique_ptr<ControlState> state;
};

inline ResultCode CodeOf(const Result<Json::Value>& result) {
  return result ? ResultCode::kOk : result.error().code;
}

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_CONTROL_CONTROL_FIXTURE_H_
