#include "feed/feed_buffer.h"

#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// A reader that polls every 0.5 s falls 256 versions behind only at 512 changes
// per second. A reader that is further behind gets a snapshot.
constexpr std::size_t kMaxDeltas = 256;
constexpr std::size_t kMaxDeltaBytes = 2 << 20;

// Compares by value, because Json::Value::operator== treats a signed and an
// unsigned number as different.
bool IsNumber(const Json::Value& value, std::uint64_t number) {
  return value.isUInt64() && value.asUInt64() == number;
}

}  // namespace

void FeedBuffer::Publish(std::shared_ptr<const SharedState> state) {
  {
    std::lock_guard lock(this->mutex);
    if (this->current != nullptr && this->current->epoch == state->epoch &&
        state->version <= this->current->version) {
      return;
    }
    this->current = std::move(state);
  }
  this->changed.notify_all();
}

void FeedBuffer::Encode() const {
  if (this->encoded == this->current) {
    return;
  }
  Json::Value json = SharedStateToJson(*this->current);
  if (this->encoded != nullptr &&
      this->encoded->epoch == this->current->epoch) {
    Delta delta;
    delta.from = this->encoded->version;
    delta.patch = DiffJson(this->encoded_json, json);
    delta.bytes = WriteJson(delta.patch).size();
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
  this->encoded = this->current;
  this->encoded_json = std::move(json);
}

std::shared_ptr<const SharedState> FeedBuffer::Current() const {
  std::lock_guard lock(this->mutex);
  return this->current;
}

bool FeedBuffer::Wait(const std::string& epoch,
                      std::uint64_t version,
                      Duration wait) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, wait, [&] {
    return this->stopped ||
           (this->current != nullptr && (this->current->epoch != epoch ||
                                         this->current->version > version));
  });
  return !this->stopped;
}

bool FeedBuffer::WriteUpdate(const std::string& epoch,
                             std::uint64_t version,
                             Json::Value& response) const {
  std::lock_guard lock(this->mutex);
  if (this->current == nullptr || this->current->epoch.empty()) {
    return false;
  }
  response["epoch"] = this->current->epoch;
  response["version"] = Json::UInt64(this->current->version);
  if (epoch == this->current->epoch && version >= this->current->version) {
    return true;
  }
  this->Encode();
  Json::Value list(Json::arrayValue);
  if (epoch == this->current->epoch) {
    for (const Delta& delta : this->deltas) {
      if (delta.from == version || !list.empty()) {
        Json::Value item;
        item["from"] = Json::UInt64(delta.from);
        item["patch"] = delta.patch;
        list.append(std::move(item));
      }
    }
  }
  if (list.empty()) {
    response["snapshot"] = this->encoded_json;
  } else {
    response["deltas"] = std::move(list);
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
