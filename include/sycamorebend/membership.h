// Backend servers as one entry daemon knows them, the entry daemons that a
// backend server reports to, and the address list for callers. Nothing here
// has threads, does I/O or reads a clock. See docs/membership.md.
#ifndef SYCAMOREBEND_MEMBERSHIP_H_
#define SYCAMOREBEND_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorebend/base.h"
#include "sycamorebend/feed.h"
#include "sycamorebend/routing.h"
#include "sycamorebend/selector.h"

namespace sycamorebend {

// What a backend server says about itself when it announces.
struct ServerAnnouncement {
  std::string server_id;
  // Differs after each restart of the server.
  std::string incarnation;
  std::string address;  // "IP:port".
  ServerKind kind = ServerKind::kEngine;
  Labels labels;
  std::string failure_domain;
  int slots = 1;
  std::vector<std::string> models;
  bool checks_fence = false;
  std::vector<std::string> roles;
};

struct CacheEvent {
  bool added = true;
  std::uint64_t hash = 0;
};

// Consecutive cache events; the first one has the number `first_sequence`.
struct CacheEventBatch {
  std::uint64_t first_sequence = 0;
  std::vector<CacheEvent> events;
};

// A load report.
struct ServerReport {
  std::string server_id;
  std::string incarnation;
  // Grows with every report of an incarnation.
  std::uint64_t sequence = 0;
  std::vector<int> running_by_tier;
  std::vector<int> queued_by_tier;
  std::int64_t free_kv_tokens = 0;
  std::optional<CacheEventBatch> cache_events;
  bool leaving = false;
};

// A change that the Scheduler must be told.
struct ServerUpdated {
  ServerState state;
};
struct ServerRemoved {
  std::string server_id;
  RemovalReason reason = RemovalReason::kLeft;
};
struct ServerCacheChanged {
  std::string server_id;
  CacheEvents events;
};
using ServerChange =
    std::variant<ServerUpdated, ServerRemoved, ServerCacheChanged>;

// One registered server, for `entry.servers`.
struct RegisteredServer {
  ServerAnnouncement announcement;
  ServerState state;
  std::int64_t free_kv_tokens = 0;
  bool leaving = false;
  bool drained = false;
  TimePoint lease_end;
};

// A server without a report for this long gets no new work.
inline constexpr Duration kServerLease = milliseconds(2500);
inline constexpr Duration kServerReportInterval = milliseconds(500);
// Entry daemons that one server reports to, at most.
inline constexpr std::size_t kDefaultReportFanout = 16;

// The backend servers that report to this entry daemon. Not thread-safe.
class ServerRegistry {
 public:
  explicit ServerRegistry(Duration lease = kServerLease);

  // Registers a server, or replaces what it said before. A new incarnation
  // replaces the old one.
  // @return kServerUnknown for an incarnation that was replaced before.
  Status Announce(const ServerAnnouncement& announcement, TimePoint now);

  // Takes a report. A repeated or late report (by its sequence) changes
  // nothing and does not renew the lease.
  // @return kServerUnknown if the server must announce itself again.
  Status Report(const ServerReport& report, TimePoint now);

  // The server gets no new work; it is removed when its reports cease.
  // @return kServerUnknown for an unknown server or incarnation.
  Status Leave(const std::string& server_id, const std::string& incarnation);

  // Replaces the set of servers that operators drain.
  void SetDrained(std::set<std::string> server_ids);
  // Replaces the labels that operators give to servers, by server ID.
  void SetLabelOverrides(std::map<std::string, Labels> overrides);

  // Removes the servers whose lease has ended.
  void Expire(TimePoint now);
  // @return the end of the earliest lease, or TimePoint::max().
  TimePoint NextExpiry() const;

  // @return the changes since the last call, in order.
  std::vector<ServerChange> TakeChanges();

  // @return nullptr for an unknown server.
  const RegisteredServer* Find(const std::string& server_id) const;
  std::vector<RegisteredServer> Servers() const;

 private:
  struct Record {
    RegisteredServer server;
    // The number of the next cache event; empty before the first batch.
    std::optional<std::uint64_t> next_cache_event;
  };

  // @return the record of the live incarnation, or nullptr.
  Record* FindLive(const std::string& server_id,
                   const std::string& incarnation);
  void ApplyCacheEvents(Record& record, const CacheEventBatch& batch);
  // Computes labels and `accepting`, and records the change.
  void Publish(Record& record);
  void Retire(const std::string& server_id, const std::string& incarnation);
  bool IsRetired(const std::string& server_id,
                 const std::string& incarnation) const;

  const Duration lease;
  std::map<std::string, Record> records;
  // Incarnations that were replaced, the newest last. A late announcement of
  // one of them must not displace its successor.
  std::deque<std::pair<std::string, std::string>> retired;
  std::set<std::string> drained;
  std::map<std::string, Labels> label_overrides;
  std::vector<ServerChange> changes;
};

// Chooses the entry daemons that a server reports to: all of them if there are
// at most `fanout`. Otherwise `fanout` of them by rendezvous hashing, half of
// them in the server's own failure domain, the others spread over the other
// failure domains, so that daemons in a failure domain without servers of some
// model can still reach one elsewhere. Draining daemons count: they still serve
// requests and need reports.
// @return addresses.
std::vector<std::string> ChooseReportTargets(
    const std::string& server_id,
    const std::string& failure_domain,
    const std::vector<EntryInfo>& entries,
    std::size_t fanout = kDefaultReportFanout);

// Lists the addresses for a caller: entry daemons that do not drain, those in
// the caller's failure domain first; both groups are rotated by `rotation`, so
// that successive callers begin with different daemons.
std::vector<std::string> ListCallerAddresses(
    const std::vector<EntryInfo>& entries,
    const std::string& failure_domain,
    std::uint64_t rotation);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_MEMBERSHIP_H_
