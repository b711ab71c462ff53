#include "load/load_runner.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "load/expected_completion.h"
#include "load/stream_checker.h"

namespace sycamorebend {

namespace {

constexpr int kStatusOk = 200;
constexpr Duration kMinAddressLifetime = milliseconds(100);
constexpr Duration kDefaultAddressLifetime = seconds(2);

// State shared by the arrival loop and the observers.
struct LoadState {
  std::mutex mutex;
  std::condition_variable state_changed;
  LoadReport report;
  std::set<HttpCallId> open;
  std::uint64_t open_count = 0;
  std::vector<std::string> targets;
  TimePoint targets_expire;
  bool fetching_targets = false;
};

int ParseErrorCode(const std::string& body) {
  const auto value = ParseJson(body);
  if (value && value.value().isObject() && value.value()["error"].isObject() &&
      value.value()["error"]["code"].isInt()) {
    return value.value()["error"]["code"].asInt();
  }
  return 0;
}

// Observes one request: checks the response and records its latencies.
class LoadObserver : public HttpObserver {
 public:
  LoadObserver(LoadState& state,
               const LoadClass& load_class,
               const CompletionRequest& request,
               std::string expected_digest)
      : state(state),
        load_class(load_class),
        expected_completion(request),
        checker(this->expected_completion),
        expected_digest(std::move(expected_digest)),
        started(this->clock.Now()) {}

  void OnHeaders(int status, const HttpHeaders& /*headers*/) override {
    this->status = status;
  }

  void OnData(std::string_view data) override {
    if (!this->IsStreamed()) {
      this->body.append(data);
      return;
    }
    const TimePoint now = this->clock.Now();
    const int tokens = this->checker.Add(data);
    for (int i = 0; i < tokens; ++i) {
      if (this->first == TimePoint()) {
        this->first = now;
      } else {
        this->gap.push_back(now - this->last);
      }
      this->last = now;
    }
  }

  void OnDone(const HttpOutcome& outcome) override {
    const TimePoint now = this->clock.Now();
    std::lock_guard lock(this->state.mutex);
    ClassReport& report = this->state.report.classes[this->load_class.name];
    this->Record(report, outcome, now);
    --this->state.open_count;
    this->state.open.erase(this->id);
    this->finished = true;
    this->state.state_changed.notify_all();
  }

  // Set under the state's mutex once the call has an ID.
  HttpCallId id = 0;
  bool finished = false;

 private:
  bool IsStreamed() const {
    return this->load_class.stream && this->status == kStatusOk &&
           this->load_class.kind != LoadKind::kOrder;
  }

  void Record(ClassReport& report, const HttpOutcome& outcome, TimePoint now) {
    report.total.Add(now - this->started);
    if (outcome.code != ResultCode::kOk) {
      ++report.errors[static_cast<int>(outcome.code)];
      return;
    }
    if (this->status != kStatusOk) {
      const int code = ParseErrorCode(this->body);
      ++(code != 0 ? report.errors[code] : report.statuses[this->status]);
      return;
    }
    if (!this->checker.ErrorData().empty()) {
      ++report.errors[ParseErrorCode(this->checker.ErrorData())];
      return;
    }
    const bool correct = this->IsCorrect();
    ++(correct ? report.whole : report.wrong);
    if (!correct) {
      return;
    }
    this->RecordTimes(report, now);
  }

  bool IsCorrect() const {
    if (this->IsStreamed()) {
      return this->checker.IsCorrect();
    }
    if (this->load_class.kind == LoadKind::kOrder) {
      return this->body.find(this->expected_digest) != std::string::npos;
    }
    return this->body == this->expected_completion.WholeBody();
  }

  void RecordTimes(ClassReport& report, TimePoint now) {
    const bool tokens = this->load_class.kind != LoadKind::kOrder;
    const int count = tokens ? this->expected_completion.TokenCount() : 0;
    const TimePoint first = this->IsStreamed() ? this->first : now;
    report.first_token.Add(first - this->started);
    Duration gap_sum{0};
    for (const Duration gap : this->gap) {
      report.gap.Add(gap);
      gap_sum += gap;
    }
    const Duration mean_gap =
        this->gap.empty()
            ? Duration(0)
            : gap_sum / static_cast<std::int64_t>(this->gap.size());
    report.tokens += static_cast<std::uint64_t>(count);
    const bool streamed_in_time =
        !this->IsStreamed() ||
        (first - this->started <= this->load_class.first_token_target &&
         mean_gap <= this->load_class.gap_target);
    if (streamed_in_time && now - this->started <= this->load_class.deadline) {
      ++report.met_targets;
      report.good_tokens += static_cast<std::uint64_t>(count);
    }
  }

  LoadState& state;
  const LoadClass& load_class;
  const SystemClock clock;
  const ExpectedCompletion expected_completion;
  StreamChecker checker;
  const std::string expected_digest;
  const TimePoint started;
  TimePoint first;
  TimePoint last;
  std::vector<Duration> gap;
  int status = 0;
  std::string body;
};

// Receives the response of /v1/addresses.
class AddressObserver : public HttpObserver {
 public:
  explicit AddressObserver(LoadState& state) : state(state) {}
  void OnHeaders(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void OnData(std::string_view data) override { this->body.append(data); }
  void OnDone(const HttpOutcome& outcome) override {
    const auto value = ParseJson(this->body);
    std::lock_guard lock(this->state.mutex);
    this->state.fetching_targets = false;
    Duration lifetime = kDefaultAddressLifetime;
    if (outcome.code == ResultCode::kOk && value && value.value().isObject() &&
        value.value()["addresses"].isArray() &&
        !value.value()["addresses"].empty()) {
      this->state.targets.clear();
      for (const Json::Value& address : value.value()["addresses"]) {
        this->state.targets.push_back(address.asString());
      }
      if (value.value()["valid_for_ms"].isInt()) {
        lifetime = std::max(
            kMinAddressLifetime,
            Duration(milliseconds(value.value()["valid_for_ms"].asInt())));
      }
    }
    this->state.targets_expire = SystemClock().Now() + lifetime;
    this->state.state_changed.notify_all();
  }

 private:
  LoadState& state;
  std::string body;
};

class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options)
      : options(options),
        random(options.seed),
        client(HttpClient::Create(options.threads)) {
    this->state.targets = options.targets;
    for (const LoadClass& load_class : options.classes) {
      this->weights.push_back(load_class.weight);
      this->state.report.classes[load_class.name];
    }
  }

  LoadReport Run() {
    if (!this->options.addresses_from.empty()) {
      this->RefreshTargets();
      std::unique_lock lock(this->state.mutex);
      this->state.state_changed.wait(
          lock, [this] { return !this->state.fetching_targets; });
    }
    const TimePoint start = this->clock.Now();
    TimePoint next = start;
    std::exponential_distribution<double> interarrival_time(
        this->options.requests_per_second);
    for (std::int64_t i = 0; i < this->options.count; ++i) {
      next += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(interarrival_time(this->random)));
      if (next - start >= this->options.duration) {
        break;
      }
      std::this_thread::sleep_until(next);
      this->RefreshTargets();
      this->StartRequest(i);
    }
    this->Drain();
    std::lock_guard lock(this->state.mutex);
    this->state.report.elapsed = this->clock.Now() - start;
    return this->state.report;
  }

 private:
  void RefreshTargets() {
    {
      std::lock_guard lock(this->state.mutex);
      if (this->options.addresses_from.empty() ||
          this->state.fetching_targets ||
          this->clock.Now() < this->state.targets_expire) {
        return;
      }
      this->state.fetching_targets = true;
    }
    HttpCall call;
    call.url = "http://" + this->options.addresses_from + "/v1/addresses";
    call.total_timeout = seconds(5);
    this->client->Start(std::move(call),
                        std::make_shared<AddressObserver>(this->state));
  }

  std::string MakePrompt(const LoadClass& load_class, std::int64_t number) {
    std::string prompt(
        static_cast<std::size_t>(
            std::min(load_class.shared_prefix_bytes, load_class.prompt_bytes)),
        'p');
    prompt += "request " + std::to_string(this->options.seed) + "-" +
              std::to_string(number) + " ";
    while (prompt.size() < static_cast<std::size_t>(load_class.prompt_bytes)) {
      prompt += static_cast<char>('a' + this->random() % 26);
    }
    return prompt;
  }

  HttpCall MakeCall(const LoadClass& load_class,
                    const CompletionRequest& request) {
    HttpCall call;
    call.method = "POST";
    call.headers.push_back({"Content-Type", "application/json"});
    if (!load_class.labels.empty()) {
      call.headers.push_back({"X-Sycamorebend-Labels", load_class.labels});
    }
    if (!load_class.api_key.empty()) {
      call.headers.push_back({"Authorization", "Bearer " + load_class.api_key});
    }
    call.headers.push_back(
        {"X-Sycamorebend-Deadline-Ms",
         std::to_string(ToMilliseconds(load_class.deadline))});
    call.first_byte_timeout = load_class.deadline;
    call.gap_timeout = load_class.deadline;
    call.total_timeout = load_class.deadline + seconds(5);
    if (load_class.kind == LoadKind::kOrder) {
      call.headers.push_back({"Idempotency-Key", RandomId()});
      call.body = request.prompt;
      call.url = load_class.path;
      call.fresh_connection = true;
      return call;
    }
    Json::Value body(Json::objectValue);
    body["model"] = request.model;
    body["stream"] = request.stream;
    if (request.max_tokens > 0) {
      body["max_tokens"] = request.max_tokens;
    }
    if (request.chat) {
      body["messages"][0]["role"] = "user";
      body["messages"][0]["content"] = request.prompt;
    } else {
      body["prompt"] = request.prompt;
    }
    call.body = WriteJson(body);
    call.url = request.chat ? "/v1/chat/completions" : "/v1/completions";
    return call;
  }

  void StartRequest(std::int64_t number) {
    std::discrete_distribution<std::size_t> pick(this->weights.begin(),
                                                 this->weights.end());
    const LoadClass& load_class = this->options.classes[pick(this->random)];
    CompletionRequest request;
    request.chat = load_class.kind == LoadKind::kChat;
    request.model = load_class.model;
    request.stream = load_class.stream;
    request.prompt = this->MakePrompt(load_class, number);
    request.max_tokens = std::uniform_int_distribution<int>(
        load_class.minimum_tokens, load_class.maximum_tokens)(this->random);
    HttpCall call = this->MakeCall(load_class, request);
    {
      std::lock_guard lock(this->state.mutex);
      ClassReport& report = this->state.report.classes[load_class.name];
      if (this->state.targets.empty() ||
          this->state.open_count >=
              static_cast<std::uint64_t>(this->options.max_open)) {
        ++report.not_sent;
        return;
      }
      ++report.started;
      ++this->state.open_count;
      call.url = "http://" +
                 this->state.targets[static_cast<std::size_t>(number) %
                                     this->state.targets.size()] +
                 call.url;
    }
    auto observer = std::make_shared<LoadObserver>(
        this->state, load_class, request,
        load_class.kind == LoadKind::kOrder ? Sha256Hex(request.prompt)
                                            : std::string());
    const HttpCallId id = this->client->Start(std::move(call), observer);
    std::lock_guard lock(this->state.mutex);
    if (!observer->finished) {
      observer->id = id;
      this->state.open.insert(id);
    }
  }

  void Drain() {
    const auto none_open = [this] { return this->state.open_count == 0; };
    std::unique_lock lock(this->state.mutex);
    if (this->state.state_changed.wait_for(lock, this->options.drain_limit,
                                           none_open)) {
      return;
    }
    this->state.report.unfinished = this->state.open_count;
    const std::set<HttpCallId> left = this->state.open;
    lock.unlock();
    for (const HttpCallId id : left) {
      this->client->Cancel(id);
    }
    lock.lock();
    this->state.state_changed.wait(lock, none_open);
  }

  const LoadOptions& options;
  const SystemClock clock;
  std::mt19937_64 random;
  std::vector<double> weights;
  LoadState state;
  // Declared last: its threads use the state until it is destroyed.
  std::unique_ptr<HttpClient> client;
};

}  // namespace

LoadReport RunLoad(const LoadOptions& options) {
  return LoadGenerator(options).Run();
}

}  // namespace sycamorebend
