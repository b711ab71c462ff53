#include "entry/shared_view.h"

#include <fmt/format.h>

#include <utility>

namespace sycamorebend::entry {

namespace {

// @return the policy of `state`, or nullptr if it cannot be parsed.
std::shared_ptr<const Policy> ReadPolicy(const SharedState& state) {
  if (state.configuration->empty()) {
    // No operator has applied a configuration yet.
    return std::make_shared<Policy>();
  }
  Result<Policy> parsed = ParsePolicy(*state.configuration);
  if (!parsed) {
    LogEvent(Severity::kError, Event::kConfigurationConflict,
             {{"version", state.configuration_version},
              {"message", parsed.error().message}});
    return nullptr;
  }
  parsed.value().version = state.configuration_version;
  return std::make_shared<Policy>(std::move(parsed.value()));
}

}  // namespace

SharedView::SharedView(Duration lease, bool serve_unconfirmed)
    : lease(lease), serve_unconfirmed(serve_unconfirmed) {}

void SharedView::SetFollower(const FeedFollower* follower) {
  std::lock_guard lock(this->mutex);
  this->follower = follower;
}

SharedSnapshot SharedView::Update(std::shared_ptr<const SharedState> state) {
  std::shared_ptr<const Policy> policy = this->Current().policy;
  if (!policy || policy->version != state->configuration_version) {
    if (auto new_policy = ReadPolicy(*state)) {
      policy = std::move(new_policy);
      LogEvent(Severity::kInfo, Event::kConfigurationInForce,
               {{"version", state->configuration_version},
                {"state_version", state->version},
                {"accepted_ms", state->configuration_time_ms}});
    }
  }
  std::lock_guard lock(this->mutex);
  this->snapshot.state = std::move(state);
  this->snapshot.policy = std::move(policy);
  return this->snapshot;
}

SharedSnapshot SharedView::Current() const {
  std::lock_guard lock(this->mutex);
  return this->snapshot;
}

Duration SharedView::ConfirmationAge() const {
  const FeedFollower* current = nullptr;
  {
    std::lock_guard lock(this->mutex);
    current = this->follower;
  }
  return current != nullptr ? current->ConfirmationAge() : Duration::max();
}

Status SharedView::CheckConfirmed() const {
  const Duration age = this->ConfirmationAge();
  std::lock_guard lock(this->mutex);
  const bool has_policy = this->snapshot.policy != nullptr;
  if (has_policy && age <= this->lease) {
    this->unconfirmed_logged = false;
    return Success();
  }
  if (has_policy && this->serve_unconfirmed) {
    return Success();
  }
  if (!this->unconfirmed_logged) {
    this->unconfirmed_logged = true;
    LogEvent(
        Severity::kWarning, Event::kConfigurationUnconfirmed,
        {{"known", has_policy},
         {"lease_ms", static_cast<std::int64_t>(ToMilliseconds(this->lease))}});
  }
  return MakeError(ResultCode::kConfigurationUnconfirmed);
}

}  // namespace sycamorebend::entry
