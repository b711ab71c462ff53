#include "gateway/server_speed.h"

#include <algorithm>
#include <cmath>

namespace sycamorebend::gateway {

namespace {

// A measurement counts half after this time: hosts keep their kind for long,
// while their momentary state changes within a second and has to average out.
constexpr double kHalfLifeSeconds = 6;
// Weight of the usual pace, as nominal work: about two prompts.
constexpr double kPriorMs = 400;
// Nominal work after which a server counts for the median.
constexpr double kMeasuredMs = 150;
// Bounds of one measurement: a stream that hung says little about the speed.
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 6;
// Work whose time is mostly the delay of the network is not measured.
constexpr double kMinNominalMs = 5;
// Interval between two reports of sums by a gateway, and by a gateway about its
// failure domain, for which all gateways of the domain take turns.
constexpr Duration kSumsInterval = seconds(1);
constexpr Duration kDomainSumsInterval = seconds(4);
// Sums of a peer are dropped after this time without new ones: several
// intervals, in case datagrams are lost.
constexpr Duration kPeerTtl = seconds(10);
// Time constant with which a stated host time loses its meaning: about the
// period in which hosts change.
constexpr double kHostSeconds = 0.5;
// Stated host times older than this are not reported.
constexpr Duration kMaxHostAge = seconds(1);
constexpr int kUsualPercent = 100;
constexpr double kUsualPercentWeight = 0.02;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

void ServerSpeed::Measured::Add(const Measured& other, double weight) {
  this->nominal_ms += weight * other.nominal_ms;
  this->measured_ms += weight * other.measured_ms;
}

ServerSpeed::Measured ServerSpeed::OwnSum(const Own& own, TimePoint now) const {
  Measured sum;
  sum.Add(own.sum, std::exp2(-SecondsBetween(own.at, now) / kHalfLifeSeconds));
  return sum;
}

void ServerSpeed::Record(std::uint32_t server,
                         double nominal_ms,
                         double measured_ms,
                         TimePoint now) {
  if (nominal_ms < kMinNominalMs) {
    return;
  }
  Own& entry = this->own[server];
  entry.sum = this->OwnSum(entry, now);
  entry.at = now;
  entry.sum.Add({nominal_ms, std::clamp(measured_ms, kMinRatio * nominal_ms,
                                        kMaxRatio * nominal_ms)});
}

void ServerSpeed::RecordHostTime(std::uint32_t server,
                                 int percent,
                                 TimePoint now) {
  this->host_states[server] = {percent, now, true};
  this->usual_percent += kUsualPercentWeight * (percent - this->usual_percent);
}

void ServerSpeed::AddPeer(const Peer& peer, int sign) {
  for (const SpeedSum& sum : peer.sums) {
    SpeedSum& total = this->peer_totals[sum.server_hash];
    total.server_hash = sum.server_hash;
    total.nominal_ms += sign * sum.nominal_ms;
    total.measured_ms += sign * sum.measured_ms;
    if (total.nominal_ms == 0 && total.measured_ms == 0) {
      this->peer_totals.erase(sum.server_hash);
    }
  }
}

void ServerSpeed::OnPeerNews(bool of_domain,
                             const std::string& sender,
                             const SpeedNews& news,
                             TimePoint now) {
  for (const HostTime& host : news.host_times) {
    const TimePoint at = now - host.age;
    HostState& state = this->host_states[host.server_hash];
    if (state.at < at) {
      state = {host.percent, at, false};
    }
  }
  this->Expire(now);
  if (news.sums.empty()) {
    return;
  }
  Peer& peer = this->peers[{of_domain, sender}];
  this->AddPeer(peer, -1);
  peer = {news.sums, now};
  this->AddPeer(peer, 1);
  this->next_expiry = std::min(this->next_expiry, now + kPeerTtl);
}

void ServerSpeed::Expire(TimePoint now) {
  if (now < this->next_expiry) {
    return;
  }
  this->next_expiry = TimePoint::max();
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const TimePoint expiry = it->second.received_at + kPeerTtl;
    if (now >= expiry) {
      this->AddPeer(it->second, -1);
      it = this->peers.erase(it);
      continue;
    }
    this->next_expiry = std::min(this->next_expiry, expiry);
    ++it;
  }
}

SpeedNews ServerSpeed::NewsDue(bool of_domain, TimePoint now) {
  SpeedNews news;
  for (const auto& [server, state] : this->host_states) {
    // The usual state needs no report: receivers assume it.
    if (state.percent != kUsualPercent && (state.own || of_domain) &&
        now - state.at < kMaxHostAge) {
      news.host_times.push_back({server, state.percent, now - state.at});
    }
  }
  TimePoint& next = this->next_sums[of_domain];
  if (now < next) {
    return news;
  }
  next = now + (of_domain ? kDomainSumsInterval : kSumsInterval);
  std::unordered_map<std::uint32_t, Measured> sums;
  for (const auto& [server, entry] : this->own) {
    sums[server].Add(this->OwnSum(entry, now));
  }
  if (of_domain) {
    for (const auto& [key, peer] : this->peers) {
      for (const SpeedSum& sum : peer.sums) {
        if (!key.first) {
          sums[sum.server_hash].Add({static_cast<double>(sum.nominal_ms),
                                     static_cast<double>(sum.measured_ms)});
        }
      }
    }
  }
  for (const auto& [server, sum] : sums) {
    if (sum.nominal_ms >= kMinNominalMs) {
      news.sums.push_back({server, std::llround(sum.nominal_ms),
                           std::llround(sum.measured_ms)});
    }
  }
  return news;
}

ServerSpeed::Measured ServerSpeed::Total(std::uint32_t server, TimePoint now) {
  this->Expire(now);
  Measured total;
  const auto entry = this->own.find(server);
  if (entry != this->own.end()) {
    total = this->OwnSum(entry->second, now);
  }
  const auto peer = this->peer_totals.find(server);
  if (peer != this->peer_totals.end()) {
    total.Add({static_cast<double>(peer->second.nominal_ms),
               static_cast<double>(peer->second.measured_ms)});
  }
  return total;
}

double ServerSpeed::Pace(std::uint32_t server, double usual, TimePoint now) {
  const Measured total = this->Total(server, now);
  return (kPriorMs * usual + total.measured_ms) / (kPriorMs + total.nominal_ms);
}

double ServerSpeed::HostFactor(std::uint32_t server, TimePoint now) const {
  const auto state = this->host_states.find(server);
  if (state == this->host_states.end()) {
    return 1;
  }
  const double relative = state->second.percent / this->usual_percent;
  return 1 + (relative - 1) * std::exp(-SecondsBetween(state->second.at, now) /
                                       kHostSeconds);
}

double ServerSpeed::MedianPace(const std::vector<std::uint32_t>& servers,
                               TimePoint now) {
  std::vector<double> paces;
  for (const std::uint32_t server : servers) {
    const Measured total = this->Total(server, now);
    if (total.nominal_ms >= kMeasuredMs) {
      paces.push_back(total.measured_ms / total.nominal_ms);
    }
  }
  if (paces.empty()) {
    return 1;
  }
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

void ServerSpeed::Forget(std::uint32_t server) {
  this->own.erase(server);
  this->host_states.erase(server);
}

}  // namespace sycamorebend::gateway
