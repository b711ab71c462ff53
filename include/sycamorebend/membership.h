// The registry of backend servers at an entry daemon, the choice of the entry
// daemons that a backend server reports to, and the address list for callers.
// Nothing here starts threads, does I/O or reads a clock. See
// docs/membership.md.
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

// The attributes with which a backend server registers.
struct ServerAnnouncement {
  std::string server_id;
  // Changes with each restart of the server.
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

// Consecutive cache events. The sequence number of the first one is
// `first_sequence`.
struct CacheEventBatch {
  std::uint64_t first_sequence = 0;
  std::vector<CacheEvent> events;
};

// A load report.
struct ServerReport {
  std::string server_id;
  std::string incarnation;
  // Increases with every report of an incarnation.
  std::uint64_t sequence = 0;
  std::vector<int> running_by_tier;
  std::vector<int> queued_by_tier;
  std::int64_t free_kv_tokens = 0;
  std::optional<CacheEventBatch> cache_events;
  bool leaving = false;
};

// A change that must be passed on to the Scheduler.
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

// A registered server, as listed by `entry.servers`.
struct RegisteredServer {
  ServerAnnouncement announcement;
  ServerState state;
  std::int64_t free_kv_tokens = 0;
  bool leaving = false;
  bool drained = false;
  TimePoint lease_end;
};

// A server without a report for this long is removed.
inline constexpr Duration kServerLease = milliseconds(2500);
inline constexpr Duration kServerReportInterval = milliseconds(500);
// Maximum number of entry daemons that a server reports to.
inline constexpr std::size_t kDefaultReportFanout = 16;

// The backend servers that report to this entry daemon. Not thread-safe.
class ServerRegistry {
 public:
  explicit ServerRegistry(Duration lease = kServerLease);

  // Registers a server or updates its attributes. A new incarnation replaces
  // the old one.
  // @return kServerUnknown for an incarnation that has already been replaced.
  Status Announce(const ServerAnnouncement& announcement, TimePoint now);

  // Applies a report. A duplicate or out-of-order report (by its sequence
  // number) has no effect and does not renew the lease.
  // @return kServerUnknown if the server must announce itself again.
  Status Report(const ServerReport& report, TimePoint now);

  // Marks the server as leaving: it gets no new requests, and is removed when
  // its lease expires.
  // @return kServerUnknown for an unknown server or incarnation.
  Status Leave(const std::string& server_id, const std::string& incarnation);

  // Replaces the set of servers drained by operators.
  void SetDrained(std::set<std::string> server_ids);
  // Replaces the labels that operators assign to servers, by server ID.
  void SetLabelOverrides(std::map<std::string, Labels> overrides);

  // Removes the servers whose lease has expired.
  void Expire(TimePoint now);
  // @return the earliest end of a lease, or TimePoint::max().
  TimePoint NextExpiry() const;

  // @return the changes since the last call, in order, and clears them.
  std::vector<ServerChange> TakeChanges();

  // @return nullptr for an unknown server.
  const RegisteredServer* Find(const std::string& server_id) const;
  std::vector<RegisteredServer> Servers() const;

 private:
  struct Record {
    RegisteredServer server;
    // Sequence number of the next cache event; empty before the first batch.
    std::optional<std::uint64_t> next_cache_event;
  };

  // @return the record of the server, or nullptr if the server is unknown or
  // registered with another incarnation.
  Record* FindIncarnation(const std::string& server_id,
                          const std::string& incarnation);
  void ApplyCacheEvents(Record& record, const CacheEventBatch& batch);
  // Recomputes the labels and `accepting`, and records the change.
  void Publish(Record& record);
  void Retire(const std::string& server_id, const std::string& incarnation);
  bool IsRetired(const std::string& server_id,
                 const std::string& incarnation) const;

  const Duration lease;
  std::map<std::string, Record> records;
  // Server ID and incarnation of replaced incarnations, newest last. A delayed
  // announcement of one of them must not replace its successor.
  std::deque<std::pair<std::string, std::string>> retired;
  std::set<std::string> drained;
  std::map<std::string, Labels> label_overrides;
  std::vector<ServerChange> changes;
};

// Chooses the entry daemons that a server reports to: all of them if there are
// at most `fanout`, otherwise `fanout` of them by rendezvous hashing. Half of
// these are in the server's own failure domain and the others are spread over
// the other failure domains, so that a daemon whose failure domain has no
// server for some model still knows one elsewhere. Draining daemons are
// included, because they still serve requests and need reports.
// @return addresses.
std::vector<std::string> ChooseReportTargets(
    const std::string& server_id,
    const std::string& failure_domain,
    const std::vector<EntryInfo>& entries,
    std::size_t fanout = kDefaultReportFanout);

// Lists the addresses of the entry daemons that are not draining, those in the
// caller's failure domain first. Both groups are rotated by `rotation`, so that
// successive callers start with different daemons.
std::vector<std::string> ListCallerAddresses(
    const std::vector<EntryInfo>& entries,
    const std::string& failure_domain,
    std::uint64_t rotation);

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_MEMBERSHIP_H_
