#include "feed/feed_buffer.h"

#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// A reader that polls every 0.5 s is 256 versions behind only after changes at
// 512/s. Beyond that a snapshot is sent.
constexpr std::size_t kMaxDeltas = 256;
constexpr std::size_t kMaxDeltaBytes = 2 << 20;

// Json::Value's own comparison tells signed from unsigned numbers.
bool IsNumber(const Json::Value& value, std::uint64_t number) {
  return value.isUInt64() && value.asUInt64() == number;
}

Result<SharedState> ApplyDelta(Json::Value& json, const Json::Value& delta) {
  BOOST_OUTCOME_TRY(patched, PatchJson(std::move(json), delta["patch"]));
  json = std::move(patched);
  return SharedStateFromJson(json);
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

bool FeedBuffer::Fill(const std::string& epoch,
                      std::uint64_t version,
                      Json::Value& answer) const {
  std::lock_guard lock(this->mutex);
  if (this->current == nullptr || this->current->epoch.empty()) {
    return false;
  }
  answer["epoch"] = this->current->epoch;
  answer["version"] = Json::UInt64(this->current->version);
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
    answer["snapshot"] = this->encoded_json;
  } else {
    answer["deltas"] = std::move(list);
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

Result<std::shared_ptr<const SharedState>> ReadFeedAnswer(
    const Json::Value& answer,
    std::shared_ptr<const SharedState> have) {
  const Json::Value& deltas = answer["deltas"];
  if (answer.isMember("snapshot")) {
    BOOST_OUTCOME_TRY(state, SharedStateFromJson(answer["snapshot"]));
    have = std::make_shared<SharedState>(std::move(state));
  } else if (deltas.isArray() && !deltas.empty()) {
    if (have == nullptr) {
      return MakeError(ResultCode::kProtocolError,
                       "the first answer of a feed has no snapshot");
    }
    Json::Value json = SharedStateToJson(*have);
    for (const Json::Value& delta : deltas) {
      if (!delta.isObject() || !IsNumber(delta["from"], have->version)) {
        return MakeError(ResultCode::kProtocolError,
                         "a delta of the feed starts at another version");
      }
      BOOST_OUTCOME_TRY(state, ApplyDelta(json, delta));
      have = std::make_shared<SharedState>(std::move(state));
    }
  }
  if (have == nullptr || !IsNumber(answer["version"], have->version) ||
      answer["epoch"] != have->epoch) {
    return MakeError(ResultCode::kProtocolError,
                     "the feed's answer does not lead to the version that it "
                     "names");
  }
  return have;
}

}  // namespace internal
}  // namespace sycamorebend
