#include "fakes/announcer.h"

#include <algorithm>
#include <utility>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kReportTargetLifetime = seconds(5);
constexpr Duration kPostTimeout = seconds(1);
constexpr int kStatusOk = 200;
constexpr int kStatusEndOfSuccess = 300;

class PostObserver : public HttpObserver {
 public:
  explicit PostObserver(std::function<void(int, const std::string&)> done)
      : done(std::move(done)) {}

  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view data) override { this->body.append(data); }
  void OnDone(const HttpOutcome& outcome) override {
    this->done(outcome.code == ResultCode::kOk ? outcome.status : 0,
               this->body);
  }

 private:
  const std::function<void(int, const std::string&)> done;
  std::string body;
};

bool Succeeded(int status) {
  return status >= kStatusOk && status < kStatusEndOfSuccess;
}

}  // namespace

Announcer::Announcer(const Clock& clock, Options options)
    : clock(clock),
      options(std::move(options)),
      next_announcement(clock.Now()),
      next_report(clock.Now()),
      thread(clock) {
  this->thread.SubscribePeriodic(kTickPeriod, [this] { this->Tick(); });
}

Announcer::~Announcer() {
  this->thread.Stop();
}

void Announcer::AnnounceNow() {
  this->thread.Post([this] {
    for (auto& [address, target] : this->targets) {
      target.announced = false;
    }
    this->next_announcement = this->clock.Now();
  });
}

void Announcer::Leave() {
  this->thread.PostAndWait([this] {
    this->leaving = true;
    for (const auto& [address, target] : this->targets) {
      this->Post(address, "/backend/v1/leave", this->Identity(),
                 [](int /*status*/, const std::string& /*body*/) {});
    }
    this->next_report = this->clock.Now();
  });
}

void Announcer::SetSilent(bool silent) {
  this->thread.Post([this, silent] { this->silent = silent; });
}

Json::Value Announcer::Identity() const {
  Json::Value body(Json::objectValue);
  body["server_id"] = this->options.server_id;
  body["incarnation"] = this->options.incarnation;
  return body;
}

void Announcer::Tick() {
  const TimePoint now = this->clock.Now();
  if (this->silent || this->options.entry_addresses.empty()) {
    return;
  }
  if (now >= this->next_announcement && !this->leaving) {
    this->next_announcement =
        now + (this->report_to.empty() ? this->report_interval
                                       : this->options.announce_interval);
    // The announcement goes to the configured and the listed addresses in turn,
    // so that it is still repeated when one of them is down.
    std::vector<std::string> announce_addresses = this->options.entry_addresses;
    for (const auto& [address, named] : this->report_to) {
      announce_addresses.push_back(address);
    }
    this->Announce(announce_addresses[this->next_announce_address++ %
                                      announce_addresses.size()]);
  }
  if (now >= this->next_report) {
    this->next_report = now + this->report_interval;
    for (auto item = this->report_to.begin(); item != this->report_to.end();) {
      item = item->second + kReportTargetLifetime < now
                 ? this->report_to.erase(item)
                 : std::next(item);
    }
    for (const auto& [address, named] : this->report_to) {
      if (this->targets[address].announced || this->leaving) {
        this->Report(address);
      } else {
        this->Announce(address);
      }
    }
  }
}

void Announcer::Announce(const std::string& address) {
  Target& target = this->targets[address];
  if (target.call_pending) {
    return;
  }
  target.call_pending = true;
  Json::Value body = this->options.describe();
  const Json::Value identity = this->Identity();
  for (const std::string& name : identity.getMemberNames()) {
    body[name] = identity[name];
  }
  this->Post(address, "/backend/v1/announce", body,
             [this, address](int status, const std::string& answer) {
               this->OnAnnounced(address, status, answer);
             });
}

void Announcer::OnAnnounced(const std::string& address,
                            int status,
                            const std::string& body) {
  Target& target = this->targets[address];
  target.call_pending = false;
  target.announced = Succeeded(status);
  if (target.announced) {
    this->ReadResponse(address, body);
    this->Report(address);
  }
}

void Announcer::ReadResponse(const std::string& address,
                             const std::string& body) {
  const auto answer = ParseJson(body);
  if (!answer || !answer.value().isObject()) {
    return;
  }
  const Json::Value& value = answer.value();
  if (value["report_interval_ms"].isInt()) {
    this->report_interval =
        std::max(kTickPeriod,
                 Duration(milliseconds(value["report_interval_ms"].asInt())));
  }
  const TimePoint now = this->clock.Now();
  if (value["report_to"].isArray()) {
    for (const Json::Value& item : value["report_to"]) {
      this->report_to[item.asString()] = now;
    }
  }
  if (this->report_to.empty()) {
    this->report_to[address] = now;
  }
}

void Announcer::Report(const std::string& address) {
  Target& target = this->targets[address];
  if (target.call_pending) {
    return;
  }
  target.call_pending = true;
  std::uint64_t next_cache_event = target.next_cache_event;
  Json::Value body =
      this->options.report(target.next_cache_event, &next_cache_event);
  body["server_id"] = this->options.server_id;
  body["incarnation"] = this->options.incarnation;
  body["seq"] = static_cast<Json::UInt64>(++this->sequence);
  body["state"] = this->leaving ? "leaving" : "serving";
  this->Post(
      address, "/backend/v1/report", body,
      [this, address, next_cache_event](int status, const std::string& answer) {
        this->OnReported(address, next_cache_event, status, answer);
      });
}

void Announcer::OnReported(const std::string& address,
                           std::uint64_t next_cache_event,
                           int status,
                           const std::string& body) {
  Target& target = this->targets[address];
  target.call_pending = false;
  if (Succeeded(status)) {
    target.next_cache_event = next_cache_event;
    this->ReadResponse(address, body);
  } else if (status != 0) {
    // The entry daemon does not know this server, so it is announced again.
    target.announced = false;
    target.next_cache_event = 1;
  }
}

void Announcer::Post(const std::string& address,
                     const std::string& path,
                     const Json::Value& body,
                     std::function<void(int, const std::string&)> done) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + path;
  call.headers = {{"Content-Type", "application/json"}};
  call.body = WriteJson(body);
  call.first_byte_timeout = kPostTimeout;
  call.total_timeout = kPostTimeout;
  this->client->Start(
      std::move(call),
      std::make_shared<PostObserver>(
          [this, done = std::move(done)](int status,
                                         const std::string& answer) {
            this->thread.Post([done, status, answer] { done(status, answer); });
          }));
}

}  // namespace sycamorebend
