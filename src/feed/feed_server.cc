#include "feed/feed_server.h"

#include <algorithm>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// Minimum time between two updates of a follower. Encoding and reading an
// update takes milliseconds, and each change goes to all followers: when many
// daemons restart at once, a response for each change would take more processor
// time than small VMs have. It grows with the number of followers, which bounds
// the responses per second.
constexpr Duration kMinUpdateInterval = milliseconds(100);
constexpr Duration kUpdateTimePerFollower = milliseconds(2);
constexpr Duration kMaxUpdateInterval = milliseconds(500);

}  // namespace

FeedServer::FeedServer(std::size_t max_followers, const Clock& clock)
    : clock(clock), followers(max_followers) {
  this->buffer.SetUpdateInterval(kMinUpdateInterval);
}

void FeedServer::Publish(std::shared_ptr<const SharedState> state) {
  this->buffer.Publish(std::move(state));
}

std::shared_ptr<const SharedState> FeedServer::Current() const {
  return this->buffer.Current();
}

bool FeedServer::Admit(const FeedPoll& poll) {
  std::lock_guard lock(this->mutex);
  const bool admitted = this->followers.Admit(poll, this->clock.Now());
  this->redirects += admitted ? 0 : 1;
  this->buffer.SetUpdateInterval(std::clamp(
      kUpdateTimePerFollower * static_cast<int>(this->followers.Size()),
      kMinUpdateInterval, kMaxUpdateInterval));
  return admitted;
}

Result<HttpBody> FeedServer::Serve(const FeedPoll& poll,
                                   const Json::Value& path,
                                   const Json::Value& receipt,
                                   const ConfirmationReader& confirmed_at) {
  const bool admitted = this->Admit(poll);
  if (!this->buffer.Wait(poll.have_epoch, poll.have_version,
                         admitted ? poll.wait : Duration(0))) {
    return MakeError(ResultCode::kShuttingDown, "this process is stopping");
  }
  // Read before the state: any state read later contains what was committed
  // when the quorum confirmed it.
  std::optional<TimePoint> confirmed = confirmed_at();
  Json::Value response;
  response["path"] = path;
  if (!receipt.isNull()) {
    response[kReceiptKey] = receipt;
  }
  HttpBody update;
  if (!this->buffer.WriteUpdate(poll.have_epoch, poll.have_version, admitted,
                                confirmed, response, update)) {
    std::lock_guard lock(this->mutex);
    this->followers.Remove(poll.entry_id);
    return MakeError(ResultCode::kConfigurationUnconfirmed,
                     "there is no shared state yet");
  }
  // Rounded up, so that the age is never understated.
  response["confirmed_age_ms"] = Json::Int64(
      confirmed ? ToMilliseconds(this->clock.Now() - *confirmed) + 1 : -1);
  if (!admitted) {
    std::lock_guard lock(this->mutex);
    response["busy"] = true;
    response["relays"] = this->followers.NameRelays();
  }
  std::string head = WriteJson(response);
  if (update.empty()) {
    return HttpBody{std::make_shared<SharedText>(std::move(head))};
  }
  // The update is the last member.
  head.back() = ',';
  update.insert(update.begin(), std::make_shared<SharedText>(std::move(head)));
  update.push_back(std::make_shared<SharedText>("}"));
  return update;
}

FeedSourceStatus FeedServer::GetStatus() const {
  std::lock_guard lock(this->mutex);
  return {this->followers.Size(), this->redirects};
}

void FeedServer::Stop() {
  this->buffer.Stop();
}

}  // namespace internal
}  // namespace sycamorebend
