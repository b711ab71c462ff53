// Learns how fast each server is from the times to first events that gateways
// measure, and shares the measurements between gateways. No threads, no I/O;
// the current time is passed in.
#ifndef SYCAMOREBEND_SRC_GATEWAY_SERVER_SPEED_H_
#define SYCAMOREBEND_SRC_GATEWAY_SERVER_SPEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sycamorebend/base.h"

namespace sycamorebend::gateway {

// Recent measurements of one server, with decaying weights. Sums of several
// gateways are added.
struct SpeedSum {
  std::uint32_t server_hash = 0;  // StableHash32 of the server key.
  // Time that the measured requests would have taken at pace 1, and that they
  // took.
  std::int64_t nominal_ms = 0;
  std::int64_t measured_ms = 0;
};

// What a server last stated about its host.
struct HostTime {
  std::uint32_t server_hash = 0;
  // Time that work takes now; 100 is usual.
  int percent = 100;
  Duration age{0};
};

// Measurements for the other gateways.
struct SpeedNews {
  std::vector<SpeedSum> sums;
  std::vector<HostTime> host_times;

  bool Empty() const { return this->sums.empty() && this->host_times.empty(); }
};

// A pace is the time that work takes at a server, relative to the starting
// values of the balancer's estimates: 2 is half as fast.
class ServerSpeed {
 public:
  // @param nominal_ms expected time of the work at pace 1.
  // @param measured_ms time that it took.
  void Record(std::uint32_t server,
              double nominal_ms,
              double measured_ms,
              TimePoint now);
  void RecordHostTime(std::uint32_t server, int percent, TimePoint now);

  // @param of_domain the news are the sum of a failure domain `sender`.
  void OnPeerNews(bool of_domain,
                  const std::string& sender,
                  const SpeedNews& news,
                  TimePoint now);
  // @param of_domain include what is known from gateways heard directly.
  // @return news that are due; mostly empty, since a pace changes slowly.
  SpeedNews NewsDue(bool of_domain, TimePoint now);

  // @return the pace learned over seconds, of all gateways' measurements.
  // @param usual pace assumed without measurements.
  double Pace(std::uint32_t server, double usual, TimePoint now);
  // @return the pace at this moment relative to Pace(), from what the server
  // last stated about its host.
  double HostFactor(std::uint32_t server, TimePoint now) const;
  // @return the median pace of the servers that have been measured, or 1.
  double MedianPace(const std::vector<std::uint32_t>& servers, TimePoint now);

  void Forget(std::uint32_t server);

 private:
  struct Measured {
    double nominal_ms = 0;
    double measured_ms = 0;

    void Add(const Measured& other, double weight = 1);
  };
  struct Own {
    Measured sum;
    TimePoint at;
  };
  struct Peer {
    std::vector<SpeedSum> sums;
    TimePoint received_at;
  };
  struct HostState {
    int percent = 100;
    TimePoint at;
    bool own = false;  // Stated to this gateway.
  };
  using PeerKey = std::pair<bool, std::string>;

  void AddPeer(const Peer& peer, int sign);
  void Expire(TimePoint now);
  // @return the measurements of all gateways.
  Measured Total(std::uint32_t server, TimePoint now);
  Measured OwnSum(const Own& own, TimePoint now) const;

  std::unordered_map<std::uint32_t, Own> own;
  std::map<PeerKey, Peer> peers;
  // Sums of all peers; integers, so that removing a peer leaves no error.
  std::unordered_map<std::uint32_t, SpeedSum> peer_totals;
  std::unordered_map<std::uint32_t, HostState> host_states;
  // Average of the stated host times.
  double usual_percent = 100;
  TimePoint next_expiry = TimePoint::max();
  std::map<bool, TimePoint> next_sums;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_SERVER_SPEED_H_
