#include "feed/source_list.h"

#include <algorithm>

#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// Relays from the shared state that are tried in one round, others in the next
// one. Trying all of 380 relays while the control replicas are down would delay
// the next attempt to reach these.
constexpr std::size_t kMaxRelaysPerRound = 6;
// Relays of one redirect that are tried before the other sources, for the same
// reason.
constexpr std::size_t kMaxRedirects = 6;

}  // namespace

SourceList::SourceList(const FeedFollowerOptions& options)
    : options(options), replicas(options.replicas) {}

std::string SourceList::Next(const std::shared_ptr<const SharedState>& state) {
  if (this->remaining.empty()) {
    this->Refill(state);
  }
  if (this->remaining.empty()) {
    return {};
  }
  std::string next = std::move(this->remaining.back());
  this->remaining.pop_back();
  return next;
}

void SourceList::Restart(const std::shared_ptr<const SharedState>& state,
                         const std::string& left_source) {
  this->remaining.clear();
  this->Refill(state);
  this->remaining.erase(
      std::remove(this->remaining.begin(), this->remaining.end(), left_source),
      this->remaining.end());
}

void SourceList::AddRedirects(const Json::Value& relays) {
  std::vector<std::string> addresses;
  for (const Json::Value& relay : relays) {
    if (relay.isString() && IsAddress(relay.asString()) &&
        relay.asString() != this->options.self.feed_address) {
      addresses.push_back(relay.asString());
    }
  }
  addresses.resize(std::min(addresses.size(), kMaxRedirects));
  this->Prepend(std::move(addresses));
}

void SourceList::SetNoticed(const std::vector<std::string>& addresses) {
  this->noticed = addresses;
  this->Prepend(addresses);
}

void SourceList::Prepend(std::vector<std::string> addresses) {
  this->remaining.erase(
      std::remove_if(this->remaining.begin(), this->remaining.end(),
                     [&addresses](const std::string& source) {
                       return std::find(addresses.begin(), addresses.end(),
                                        source) != addresses.end();
                     }),
      this->remaining.end());
  std::vector<std::string> other_sources;
  std::swap(other_sources, this->remaining);
  this->Append(std::move(addresses));
  // The end of the list is tried first.
  std::reverse(this->remaining.begin(), this->remaining.end());
  this->remaining.insert(this->remaining.begin(), other_sources.begin(),
                         other_sources.end());
}

void SourceList::Refill(const std::shared_ptr<const SharedState>& state) {
  std::vector<std::string> known = this->replicas;
  known.insert(known.end(), this->noticed.begin(), this->noticed.end());
  std::vector<std::string> entries;
  if (state != nullptr) {
    known.insert(known.end(), state->replicas.begin(), state->replicas.end());
    for (const EntryInfo& entry : state->entries) {
      if (!entry.draining && IsAddress(entry.feed_address) &&
          entry.entry_id != this->options.self.entry_id) {
        entries.push_back(entry.feed_address);
      }
    }
  }
  // Those that were configured are not tried first: all daemons know the same
  // few.
  this->Append(std::move(known));
  this->Append(this->options.relays);
  this->AppendSomeRelays(std::move(entries));
  std::reverse(this->remaining.begin(), this->remaining.end());
}

void SourceList::AppendSomeRelays(std::vector<std::string> relays) {
  this->Sort(relays);
  std::vector<std::string> some;
  const std::size_t count = std::min(relays.size(), kMaxRelaysPerRound);
  for (std::size_t i = 0; i < count; ++i) {
    some.push_back(
        relays[(this->round * kMaxRelaysPerRound + i) % relays.size()]);
  }
  ++this->round;
  this->Append(std::move(some));
}

void SourceList::Sort(std::vector<std::string>& addresses) const {
  const auto rank = [this](const std::string& address) {
    return StableHash64(this->options.self.entry_id + " " + address);
  };
  std::sort(addresses.begin(), addresses.end(),
            [&](const std::string& left, const std::string& right) {
              return rank(left) < rank(right);
            });
}

void SourceList::Append(std::vector<std::string> addresses) {
  this->Sort(addresses);
  for (std::string& address : addresses) {
    if (std::find(this->remaining.begin(), this->remaining.end(), address) ==
        this->remaining.end()) {
      this->remaining.push_back(std::move(address));
    }
  }
}

}  // namespace internal
}  // namespace sycamorebend
