#include "feed/feed_buffer.h"

#include <algorithm>
#include <utility>

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
  auto json = std::make_shared<const Json::Value>(SharedStateToJson(*state));
  if (this->encoded != nullptr && this->encoded->epoch == state->epoch) {
    Delta delta;
    delta.from = this->encoded->version;
    delta.patch = std::make_shared<const Json::Value>(
        DiffJson(*this->encoded_json, *json));
    delta.bytes = WriteJson(*delta.patch).size();
    this->bytes += delta.bytes;
    this->deltas.push_back(std::move(delta));
  } else {
    this->deltas.clear();
    this->bytes = 0;
  }
  while (this->deltas.size() > kMaxDeltas || this->bytes > kMaxDeltaBytes) {
    this->bytes -= this->deltas.front().bytes;
    this->deltas.pop_front();
  }
  this->encoded_json = std::move(json);
  std::lock_guard lock(this->mutex);
  this->encoded = state;
  this->next_encoding = SteadyClock::now() + this->update_interval;
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
                             Json::Value& response) {
  std::shared_ptr<const Json::Value> snapshot;
  std::vector<Delta> updates;
  {
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
    const bool has_update =
        comparable && IsNewer(this->encoded, epoch, version);
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
    if (same_epoch) {
      const auto first = std::find_if(
          this->deltas.begin(), this->deltas.end(),
          [&](const Delta& delta) { return delta.from == version; });
      updates.assign(first, this->deltas.end());
    }
    snapshot = this->encoded_json;
  }
  if (updates.empty()) {
    response["snapshot"] = *snapshot;
    return true;
  }
  Json::Value& list = response["deltas"] = Json::Value(Json::arrayValue);
  for (const Delta& delta : updates) {
    Json::Value item;
    item["from"] = Json::UInt64(delta.from);
    item["patch"] = *delta.patch;
    list.append(std::move(item));
  }
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
    const Json::Value& response,
    std::shared_ptr<const SharedState> base) {
  const Json::Value& deltas = response["deltas"];
  if (response.isMember("snapshot")) {
    BOOST_OUTCOME_TRY(state, SharedStateFromJson(response["snapshot"]));
    base = std::make_shared<SharedState>(std::move(state));
  } else if (deltas.isArray() && !deltas.empty()) {
    if (base == nullptr) {
      return MakeError(ResultCode::kProtocolError,
                       "the first response of the feed has no snapshot");
    }
    Json::Value json = SharedStateToJson(*base);
    for (const Json::Value& delta : deltas) {
      if (!delta.isObject() || !json.isObject() ||
          !json["version"].isUInt64() ||
          !IsNumber(delta["from"], json["version"].asUInt64())) {
        return MakeError(ResultCode::kProtocolError,
                         "a delta of the feed does not start at the known "
                         "version");
      }
      BOOST_OUTCOME_TRY(patched, PatchJson(std::move(json), delta["patch"]));
      json = std::move(patched);
    }
    // Decoded once, not for each delta: that takes as long as for a snapshot.
    BOOST_OUTCOME_TRY(state, SharedStateFromJson(json));
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
