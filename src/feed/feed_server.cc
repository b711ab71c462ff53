#include "feed/feed_server.h"

#include <utility>

namespace sycamorebend {
namespace internal {

FeedServer::FeedServer(std::size_t max_followers, const Clock& clock)
    : clock(clock), followers(max_followers) {}

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
  return admitted;
}

Result<Json::Value> FeedServer::Serve(const FeedPoll& poll,
                                      const Json::Value& path,
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
  if (!this->buffer.WriteUpdate(poll.have_epoch, poll.have_version, admitted,
                                confirmed, response)) {
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
  return response;
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
