#include "feed/feed_buffer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// A reader that gets an update every 0.1 s falls 256 encoded versions behind
// only when it has missed 25 s. A reader that is further behind gets a
// snapshot.
constexpr std::size_t kMaxDeltas = 256;
constexpr std::size_t kMaxDeltaBytes = 2 << 20;

// Compares by value, because Json::Value::operator== treats a signed and an
// unsigned number as different.
bool IsNumber(const Json::Value& value, std::uint64_t number) {
  return value.isUInt64() && value.asUInt64() == number;
}

// The deltas as the member `deltas`.
template <typename Iterator>
HttpBody JoinDeltas(Iterator first, Iterator last) {
  static const auto kStart = std::make_shared<SharedText>(R"("deltas":[)");
  static const auto kSeparator = std::make_shared<SharedText>(",");
  static const auto kEnd = std::make_shared<SharedText>("]");
  HttpBody text;
  for (Iterator delta = first; delta != last; ++delta) {
    text.push_back(text.empty() ? kStart : kSeparator);
    text.push_back(delta->text);
  }
  text.push_back(kEnd);
  return text;
}

// Patches the configuration separately, and only if it changed: copying and
// decoding it takes longer than all other fields.
Result<SharedState> ApplyDeltas(Json::Value& deltas, const SharedState& base) {
  Json::Value records = SharedRecordsToJson(base);
  SharedDocument configuration = base.configuration;
  for (Json::Value& delta : deltas) {
    if (!delta.isObject() || !records.isObject() ||
        !records["version"].isUInt64() ||
        !IsNumber(delta["from"], records["version"].asUInt64())) {
      return MakeError(ResultCode::kProtocolError,
                       "a delta of the feed does not start at the known "
                       "version");
    }
    Json::Value& patch = delta["patch"];
    const std::optional<Json::Value> configuration_patch =
        TakeMemberPatch(patch, kConfigurationMember);
    if (configuration_patch && configuration_patch->isNull()) {
      configuration = SharedDocument();
    } else if (configuration_patch) {
      BOOST_OUTCOME_TRY(patched,
                        PatchJson(*configuration, *configuration_patch));
      configuration = std::move(patched);
    }
    BOOST_OUTCOME_TRY(patched_records, PatchJson(std::move(records), patch));
    records = std::move(patched_records);
  }
  // Decoded once, not for each delta: that takes as long as for a snapshot.
  BOOST_OUTCOME_TRY(state, SharedStateFromJson(std::move(records)));
  state.configuration = std::move(configuration);
  return state;
}

bool IsNewer(const std::shared_ptr<const SharedState>& state,
             const std::string& epoch,
             std::uint64_t version) {
  return state != nullptr && !state->epoch.empty() &&
         (state->epoch != epoch || state->version > version);
}

}  // namespace

void FeedBuffer::Publish(std::shared_ptr<const SharedState> state) {
  {
    std::lock_guard lock(this->mutex);
    if (this->current != nullptr && this->current->epoch == state->epoch &&
        state->version <= this->current->version) {
      return;
    }
    // Readers that wait for the end of the interval need not be woken again by
    // each change.
    const bool known = this->current != this->encoded &&
                       SteadyClock::now() < this->next_encoding;
    this->current = std::move(state);
    if (known) {
      return;
    }
  }
  this->changed.notify_all();
}

void FeedBuffer::Encode(const std::shared_ptr<const SharedState>& state) {
  Json::Value records = SharedRecordsToJson(*state);
  const bool same_configuration =
      this->encoded != nullptr &&
      this->encoded->configuration.SharesWith(state->configuration);
  if (this->encoded != nullptr && this->encoded->epoch == state->epoch) {
    Json::Value patch = DiffJson(this->encoded_records, records);
    if (!same_configuration &&
        *this->encoded->configuration != *state->configuration) {
      AddMemberPatch(
          patch, kConfigurationMember,
          DiffJson(*this->encoded->configuration, *state->configuration));
    }
    Json::Value item;
    item["from"] = Json::UInt64(this->encoded->version);
    item["patch"].swap(patch);
    Delta delta{this->encoded->version,
                std::make_shared<SharedText>(WriteJson(item))};
    this->bytes += delta.text->Text().size();
    this->deltas.push_back(std::move(delta));
  } else {
    this->deltas.clear();
    this->bytes = 0;
  }
  while (this->deltas.size() > kMaxDeltas || this->bytes > kMaxDeltaBytes) {
    this->bytes -= this->deltas.front().text->Text().size();
    this->deltas.pop_front();
  }
  this->encoded_records.swap(records);
  this->records_text = nullptr;
  if (!same_configuration) {
    this->configuration_text = nullptr;
  }
  std::lock_guard lock(this->mutex);
  this->encoded = state;
  this->next_encoding = SteadyClock::now() + this->update_interval;
}

HttpBody FeedBuffer::EncodeSnapshot() {
  if (this->configuration_text == nullptr) {
    this->configuration_text =
        std::make_shared<SharedText>(WriteJson(*this->encoded->configuration));
  }
  if (this->records_text == nullptr) {
    // Continues the object after the configuration.
    std::string text = WriteJson(this->encoded_records);
    text.front() = ',';
    this->records_text = std::make_shared<SharedText>(std::move(text));
  }
  static const auto kStart = std::make_shared<SharedText>(
      fmt::format(R"("snapshot":{{"{}":)", kConfigurationMember));
  return {kStart, this->configuration_text, this->records_text};
}

void FeedBuffer::SetUpdateInterval(Duration interval) {
  std::lock_guard lock(this->mutex);
  this->update_interval = interval;
}

std::shared_ptr<const SharedState> FeedBuffer::Current() const {
  std::lock_guard lock(this->mutex);
  return this->current;
}

bool FeedBuffer::HasUpdate(const std::string& epoch,
                           std::uint64_t version) const {
  return IsNewer(this->current, epoch, version) &&
         (IsNewer(this->encoded, epoch, version) ||
          SteadyClock::now() >= this->next_encoding);
}

bool FeedBuffer::Wait(const std::string& epoch,
                      std::uint64_t version,
                      Duration wait) {
  std::unique_lock lock(this->mutex);
  const SteadyClock::time_point end = SteadyClock::now() + wait;
  while (!this->stopped && !this->HasUpdate(epoch, version) &&
         SteadyClock::now() < end) {
    const bool held_back = IsNewer(this->current, epoch, version);
    this->changed.wait_until(
        lock, held_back ? std::min(end, this->next_encoding) : end);
  }
  return !this->stopped;
}

bool FeedBuffer::WriteUpdate(const std::string& epoch,
                             std::uint64_t version,
                             bool newest,
                             std::optional<TimePoint>& confirmed_at,
                             Json::Value& response,
                             HttpBody& update) {
  std::lock_guard encode_lock(this->encode_mutex);
  std::shared_ptr<const SharedState> state;
  bool due = false;
  {
    std::lock_guard lock(this->mutex);
    state = this->current;
    due = SteadyClock::now() >= this->next_encoding;
  }
  if (state == nullptr || state->epoch.empty()) {
    return false;
  }
  const bool comparable =
      this->encoded != nullptr && this->encoded->epoch == state->epoch;
  const bool same_epoch = epoch == state->epoch;
  const bool has_update = comparable && IsNewer(this->encoded, epoch, version);
  const bool ahead =
      comparable && same_epoch && version > this->encoded->version;
  if (this->encoded != state &&
      (!comparable || due || ahead || (newest && !has_update))) {
    this->Encode(state);
  }
  if (this->encoded == state) {
    this->encoded_confirmed_at = confirmed_at;
  } else {
    // Changes that are not in the response were committed since.
    confirmed_at = this->encoded_confirmed_at;
  }
  response["epoch"] = state->epoch;
  response["version"] = Json::UInt64(this->encoded->version);
  if (same_epoch && version >= this->encoded->version) {
    return true;
  }
  auto first = this->deltas.end();
  if (same_epoch) {
    first =
        std::find_if(this->deltas.begin(), this->deltas.end(),
                     [&](const Delta& delta) { return delta.from == version; });
  }
  update = first == this->deltas.end() ? this->EncodeSnapshot()
                                       : JoinDeltas(first, this->deltas.end());
  return true;
}

void FeedBuffer::Stop() {
  {
    std::lock_guard lock(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
}

Result<std::shared_ptr<const SharedState>> ReadFeedResponse(
    Json::Value response,
    std::shared_ptr<const SharedState> base) {
  Json::Value& deltas = response["deltas"];
  if (response.isMember("snapshot")) {
    BOOST_OUTCOME_TRY(state,
                      SharedStateFromJson(std::move(response["snapshot"])));
    base = std::make_shared<SharedState>(std::move(state));
  } else if (deltas.isArray() && !deltas.empty()) {
    if (base == nullptr) {
      return MakeError(ResultCode::kProtocolError,
                       "the first response of the feed has no snapshot");
    }
    BOOST_OUTCOME_TRY(state, ApplyDeltas(deltas, *base));
    base = std::make_shared<SharedState>(std::move(state));
  }
  if (base == nullptr || !IsNumber(response["version"], base->version) ||
      response["epoch"] != base->epoch) {
    return MakeError(ResultCode::kProtocolError,
                     "the state in the feed response does not have the version "
                     "that the response names");
  }
  return base;
}

}  // namespace internal
}  // namespace sycamorebend
