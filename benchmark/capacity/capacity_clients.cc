// Simulates the control traffic of many entry daemons or backend servers to put
// load on one daemon, whose resource use scripts/measure_capacity.py measures.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "sycamorebend/http.h"
#include "sycamorebend/rpc.h"
#include "sycamorebend/settings.h"

ABSL_FLAG(std::string, target, "", "IP:port of the daemon under load");
ABSL_FLAG(std::string,
          mode,
          "feed",
          "feed (entry daemons) or report (servers)");
ABSL_FLAG(int, count, 10, "number of simulated clients");
ABSL_FLAG(int, seconds, 10, "duration of the load");
ABSL_FLAG(int,
          warmup_seconds,
          3,
          "time before the duration; its messages are not counted, because the "
          "first poll of each client fetches the whole state");
ABSL_FLAG(int, period_ms, 500, "time between the messages of one client");
ABSL_FLAG(int, models, 22, "models over which servers are spread");

namespace sycamorebend {

namespace {

constexpr int kClientThreads = 2;
constexpr int kFailureDomains = 9;
constexpr Duration kCallTimeout = seconds(5);

struct Totals {
  void Reset() {
    this->messages = 0;
    this->failures = 0;
    this->bytes_sent = 0;
    this->bytes_received = 0;
  }

  std::atomic<std::uint64_t> messages{0};
  std::atomic<std::uint64_t> failures{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
};

// Adds the size of one exchange to the totals and passes its body on.
class CountingObserver : public HttpObserver {
 public:
  using Callback = std::function<void(int status, const std::string& body)>;

  CountingObserver(Totals& totals, Callback callback)
      : totals(totals), callback(std::move(callback)) {}

  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view data) override { this->body.append(data); }
  void OnDone(const HttpOutcome& outcome) override {
    ++this->totals.messages;
    this->totals.bytes_sent += outcome.bytes_sent;
    this->totals.bytes_received += outcome.bytes_received;
    if (outcome.code != ResultCode::kOk || outcome.status != 200) {
      ++this->totals.failures;
    }
    if (this->callback) {
      this->callback(outcome.status, this->body);
    }
  }

 private:
  Totals& totals;
  const Callback callback;
  std::string body;
};

struct SimulatedClient {
  int number = 0;
  bool announced = false;
  std::uint64_t sequence = 0;
  std::atomic<bool> busy{false};
  std::atomic<std::uint64_t> version{0};
  std::string epoch;
};

class LoadGenerator {
 public:
  LoadGenerator()
      : target(absl::GetFlag(FLAGS_target)),
        feed(absl::GetFlag(FLAGS_mode) == "feed"),
        models(absl::GetFlag(FLAGS_models)),
        incarnation(RandomId()),
        client(HttpClient::Create(kClientThreads)) {
    for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
      this->clients.push_back(std::make_unique<SimulatedClient>());
      this->clients.back()->number = i;
    }
  }

  void Run() {
    const Duration period = milliseconds(absl::GetFlag(FLAGS_period_ms));
    this->SendUntil(
        this->clock.Now() + seconds(absl::GetFlag(FLAGS_warmup_seconds)),
        period);
    this->totals.Reset();
    fmt::print("started\n");
    std::fflush(stdout);
    this->SendUntil(this->clock.Now() + seconds(absl::GetFlag(FLAGS_seconds)),
                    period);
    this->Print();
  }

 private:
  void SendUntil(TimePoint end, Duration period) {
    const auto count = static_cast<int>(this->clients.size());
    while (this->clock.Now() < end) {
      // Spreads the messages evenly over the period.
      const TimePoint start = this->clock.Now();
      for (int i = 0; i < count; ++i) {
        std::this_thread::sleep_until(start + period * i / count);
        this->Send(*this->clients[static_cast<std::size_t>(i)]);
      }
      std::this_thread::sleep_until(start + period);
    }
  }

  void Send(SimulatedClient& simulated) {
    // A feed poll is a long poll: the next one follows the response.
    if (simulated.busy.exchange(true)) {
      return;
    }
    HttpCall call;
    call.method = "POST";
    call.headers = {{"Content-Type", "application/json"}};
    call.first_byte_timeout = kCallTimeout;
    if (this->feed) {
      call.url = fmt::format("http://{}{}", this->target, kRpcPath);
      call.body = this->PollBody(simulated);
    } else {
      call.url = fmt::format("http://{}/backend/v1/{}", this->target,
                             simulated.announced ? "report" : "announce");
      call.body = simulated.announced ? ReportBody(simulated)
                                      : this->AnnounceBody(simulated);
      simulated.announced = true;
    }
    const bool feed = this->feed;
    this->client->Start(
        std::move(call),
        std::make_shared<CountingObserver>(
            this->totals,
            [&simulated, feed](int /*status*/, const std::string& body) {
              if (feed) {
                const Result<Json::Value> reply = ParseJson(body);
                if (reply && reply.value()["result"].isObject()) {
                  const Json::Value& result = reply.value()["result"];
                  simulated.version = result["version"].asUInt64();
                  simulated.epoch = result["epoch"].asString();
                }
              }
              simulated.busy = false;
            }));
  }

  std::string PollBody(const SimulatedClient& simulated) const {
    Json::Value params;
    params["have_version"] = Json::UInt64(simulated.version.load());
    params["have_epoch"] = simulated.epoch;
    params["entry_id"] = fmt::format("entry-{}", simulated.number);
    params["incarnation"] = this->incarnation;
    params["wait_ms"] = absl::GetFlag(FLAGS_period_ms);
    params["address"] = fmt::format("127.1.{}.{}:8080", simulated.number / 250,
                                    1 + simulated.number % 250);
    params["failure_domain"] =
        fmt::format("fd-{}", simulated.number % kFailureDomains);
    params["draining"] = false;
    params["relayed_renewals"] = Json::Value(Json::arrayValue);
    Json::Value request;
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = "feed.poll";
    request["params"]["params"] = params;
    return WriteJson(request);
  }

  std::string AnnounceBody(const SimulatedClient& simulated) const {
    Json::Value body;
    body["server_id"] = fmt::format("server-{}", simulated.number);
    body["incarnation"] = this->incarnation;
    body["address"] = fmt::format("127.2.{}.{}:9000", simulated.number / 250,
                                  1 + simulated.number % 250);
    body["kind"] = "engine";
    const std::string model =
        fmt::format("model-{}", simulated.number % this->models);
    body["labels"]["model"] = model;
    body["models"].append(model);
    body["failure_domain"] =
        fmt::format("fd-{}", simulated.number % kFailureDomains);
    body["slots"] = 16;
    body["checks_fence"] = true;
    body["roles"].append("mixed");
    return WriteJson(body);
  }

  std::string ReportBody(SimulatedClient& simulated) const {
    Json::Value body;
    body["server_id"] = fmt::format("server-{}", simulated.number);
    body["incarnation"] = this->incarnation;
    body["seq"] = Json::UInt64(++simulated.sequence);
    for (int tier = 0; tier < 4; ++tier) {
      body["running_by_tier"].append(tier);
      body["queued_by_tier"].append(0);
    }
    body["free_kv_tokens"] = 100000;
    body["state"] = "serving";
    return WriteJson(body);
  }

  void Print() const {
    fmt::print("messages {} failures {} bytes_sent {} bytes_received {}\n",
               this->totals.messages.load(), this->totals.failures.load(),
               this->totals.bytes_sent.load(),
               this->totals.bytes_received.load());
  }

  SystemClock clock;
  const std::string target;
  const bool feed;
  const int models;
  // Unique for each run, because sequence numbers restart and the daemon drops
  // reports with old ones.
  const std::string incarnation;
  Totals totals;
  std::vector<std::unique_ptr<SimulatedClient>> clients;
  std::unique_ptr<HttpClient> client;
};

}  // namespace

}  // namespace sycamorebend

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  sycamorebend::LoadGenerator().Run();
  return 0;
}
