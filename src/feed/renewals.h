// Lease renewals of entry daemons, which are forwarded to the leader.
#ifndef SYCAMOREBEND_SRC_FEED_RENEWALS_H_
#define SYCAMOREBEND_SRC_FEED_RENEWALS_H_

#include <map>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/control.h"
#include "sycamorebend/feed.h"

namespace sycamorebend {
namespace internal {

// A renewal received by this process.
struct Renewal {
  EntryInfo entry;
  // Time of receipt minus the age stated by the sender, on this process's
  // clock.
  TimePoint sent;
};

// Parameters of one `feed.poll`.
struct FeedPoll {
  std::string have_epoch;
  std::uint64_t have_version = 0;
  Duration wait{0};
  // The caller needs no state.
  bool renewals_only = false;
  // The caller's entry_id; empty for a control replica that forwards renewals.
  std::string entry_id;
  // The caller's own renewal, if it is an entry daemon, and those that it
  // forwards.
  std::vector<Renewal> renewals;
};

// @return the poll, or kMalformedRequest naming the parameter.
Result<FeedPoll> ReadFeedPoll(const Json::Value& params, TimePoint now);

// Names of a report in the parameters of a poll, and of its receipt in the
// response.
inline constexpr const char* kReportKey = "report";
inline constexpr const char* kReceiptKey = "receipt";

// Adds the report that is due, if there is one, to the parameters of a poll.
void AddReport(FeedReporter& reporter, Json::Value& params);
// Passes on the receipt in a response, if there is one.
void PassReceipt(FeedReporter& reporter, const Json::Value& response);

Json::Value RenewalToJson(const Renewal& renewal, TimePoint now);

// The newest renewal of each entry daemon. Not thread-safe.
class RenewalTable {
 public:
  // Keeps `renewal` unless a newer one is known.
  void Add(const Renewal& renewal);
  // Drops renewals sent before `limit`.
  void DropBefore(TimePoint limit);
  Json::Value ToJson(TimePoint now) const;

  const std::map<std::string, Renewal>& All() const { return this->renewals; }

 private:
  std::map<std::string, Renewal> renewals;
};

// The daemons that poll this process directly. Not thread-safe.
class FollowerTable {
 public:
  explicit FollowerTable(std::size_t limit) : limit(limit) {}

  // Records the caller as a follower. Control replicas are always admitted.
  // @return false if this process has its maximum number of followers. The
  // caller gets what is new and looks for a place elsewhere.
  bool Admit(const FeedPoll& poll, TimePoint now);

  // Frees the place of a follower that was admitted and got no state.
  void Remove(const std::string& entry_id);

  // @return addresses of some followers that serve the feed, for a caller that
  // was not admitted.
  Json::Value NameRelays();

  std::size_t Size() const { return this->followers.size(); }

 private:
  struct Follower {
    // Empty if it does not serve the feed.
    std::string feed_address;
    TimePoint last_poll;
  };

  const std::size_t limit;
  std::map<std::string, Follower> followers;
  TimePoint next_expiry;
  // ID of the last follower that NameRelays has named.
  std::string last_named;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_FEED_RENEWALS_H_
