#include <fmt/format.h>

#include <algorithm>

#include "sycamorebend/placement.h"

namespace sycamorebend {

CommandAdmission::CommandAdmission(const CommandAdmissionOptions& options)
    : options(options) {}

void CommandAdmission::OnFenceGranted(std::uint64_t fence,
                                      TimePoint asked_at,
                                      TimePoint now) {
  if (fence <= this->fence) {
    return;
  }
  this->fence = fence;
  this->lease_until = asked_at + this->options.fence_lease;
  // The previous holder may send until its lease ends, and the engine may start
  // its last command up to one lifetime later.
  this->earlier_commands_expire_at =
      now + this->options.fence_lease + this->options.command_lifetime;
  this->read_at.clear();
}

void CommandAdmission::OnFenceLost() {
  this->lease_until = TimePoint();
}

void CommandAdmission::OnFenceRenewed(std::uint64_t fence, TimePoint asked_at) {
  if (fence == this->fence) {
    this->lease_until =
        std::max(this->lease_until, asked_at + this->options.fence_lease);
  }
}

void CommandAdmission::OnEngineStateRead(const std::string& server_id,
                                         TimePoint asked_at) {
  this->read_at[server_id] = asked_at;
}

void CommandAdmission::OnCommandSent(const std::string& server_id) {
  this->read_at.erase(server_id);
}

Result<FencedCommand> CommandAdmission::Admit(const EngineCommand& command,
                                              bool checks_fence,
                                              TimePoint now) const {
  if (this->fence == 0 || now >= this->lease_until) {
    return MakeError(ResultCode::kFenceTooOld,
                     "the lease of the fencing token has expired");
  }
  if (!checks_fence && now < this->earlier_commands_expire_at) {
    return MakeError(
        ResultCode::kFenceTooOld,
        fmt::format("{} does not check fencing tokens; commands of a previous "
                    "holder can still arrive for {} ms",
                    command.server_id,
                    ToMilliseconds(this->earlier_commands_expire_at - now)));
  }
  const auto read = this->read_at.find(command.server_id);
  const bool current =
      read != this->read_at.end() &&
      (checks_fence || read->second >= this->earlier_commands_expire_at);
  if (!current) {
    return MakeError(
        ResultCode::kServerUnknown,
        fmt::format("the state of {} must be read before a command is sent",
                    command.server_id));
  }
  return FencedCommand{command, this->fence, this->options.command_lifetime};
}

}  // namespace sycamorebend
