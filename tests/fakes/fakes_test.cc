#define BOOST_TEST_MODULE fakes
#include <boost/test/unit_test.hpp>

#include "fakes/engine_core.h"
#include "fakes/engine_server.h"
#include "fakes/plain_service.h"
#include "fakes/weight_store.h"
#include "load/expected_completion.h"

namespace sycamorebend {

namespace {

// Records what an engine writes to one connection.
class RecordedExchange : public HttpExchange {
 public:
  const HttpRequest& Request() const override { return this->request; }
  void Respond(int status, HttpHeaders /*headers*/, std::string body) override {
    this->status = status;
    this->text += body;
  }
  void StartStream(int status, HttpHeaders /*headers*/) override {
    this->status = status;
  }
  void Write(std::string_view data) override { this->text += data; }
  void FinishStream() override { this->finished = true; }
  void AbortStream() override { this->aborted = true; }
  void OnCallerDisconnected(std::function<void()> /*callback*/) override {}
  std::size_t PendingBytes() const override { return 0; }

  HttpRequest request;
  int status = 0;
  std::string text;
  bool finished = false;
  bool aborted = false;
};

CompletionRequest MakeRequest(const std::string& prompt, int max_tokens = 8) {
  CompletionRequest request;
  request.model = "m";
  request.prompt = prompt;
  request.stream = true;
  request.max_tokens = max_tokens;
  return request;
}

struct CoreFixture {
  std::shared_ptr<RecordedExchange> Submit(const std::string& id,
                                           int priority,
                                           const CompletionRequest& request) {
    auto exchange = std::make_shared<RecordedExchange>();
    this->core.Submit(id, priority, request, exchange, this->clock.Now());
    return exchange;
  }
  void Run(Duration time) {
    for (Duration spent{0}; spent < time; spent += milliseconds(1)) {
      this->clock.Advance(milliseconds(1));
      this->core.Advance(this->clock.Now());
    }
  }

  static EngineOptions Options() {
    EngineOptions options;
    options.slots = 1;
    options.cache_blocks = 2;
    options.cache_event_drop_every = 3;
    options.report_lag = milliseconds(100);
    return options;
  }

  ManualClock clock;
  int crashes = 0;
  EngineCore core{Options(), [this] { ++this->crashes; }};
};

HttpResponse Post(HttpClient& client,
                  const std::string& address,
                  const std::string& path,
                  const std::string& body,
                  HttpHeaders headers = {}) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + path;
  call.body = body;
  call.headers = std::move(headers);
  return client.Fetch(call).value();
}

HttpResponse Get(HttpClient& client,
                 const std::string& address,
                 const std::string& path) {
  HttpCall call;
  call.url = "http://" + address + path;
  return client.Fetch(call).value();
}

FakeIdentity Identity() {
  FakeIdentity identity;
  identity.address = "127.0.0.1:0";
  identity.server_id = "s-1";
  return identity;
}

}  // namespace

// Guards against responses that tests cannot verify: equal requests must get
// the same text, and different requests different texts.
BOOST_AUTO_TEST_CASE(ResponseDependsOnlyOnContent) {
  const ExpectedCompletion first(MakeRequest("a"));
  BOOST_TEST(first.AllEvents() ==
             ExpectedCompletion(MakeRequest("a")).AllEvents());
  BOOST_TEST(first.Text() != ExpectedCompletion(MakeRequest("b")).Text());
  const auto parsed = ParseCompletion(
      true, R"({"model":"m","max_tokens":8,"messages":[{"content":"a"}]})");
  BOOST_TEST(ExpectedCompletion(parsed.value()).Text() == first.Text());
  BOOST_TEST(!ParseCompletion(true, R"({"model":"m"})"));
}

// Guards against lost or repeated tokens when a request of higher priority
// preempts a running one.
BOOST_FIXTURE_TEST_CASE(PreemptedStreamContinues, CoreFixture) {
  const auto batch = Submit("batch", 3, MakeRequest("low"));
  Run(milliseconds(25));
  const auto urgent = Submit("urgent", 0, MakeRequest("high"));
  BOOST_TEST(core.Stats()["preempted"].asInt() == 1);
  Run(milliseconds(300));
  BOOST_TEST(urgent->text ==
             ExpectedCompletion(MakeRequest("high")).AllEvents());
  BOOST_TEST(batch->text == ExpectedCompletion(MakeRequest("low")).AllEvents());
  BOOST_TEST(batch->finished);
}

BOOST_FIXTURE_TEST_CASE(ResumeContinuesSilentStream, CoreFixture) {
  EngineBehaviour behaviour;
  behaviour.silent_after_tokens = 3;
  core.SetBehaviour(behaviour);
  const CompletionRequest request = MakeRequest("x");
  const auto first = Submit("r", 0, request);
  Run(milliseconds(60));
  const auto second = std::make_shared<RecordedExchange>();
  BOOST_TEST(core.Resume("r", 3, second));
  Run(milliseconds(100));
  BOOST_TEST(!first->finished);
  BOOST_TEST(first->text + second->text ==
             ExpectedCompletion(request).AllEvents());
}

BOOST_FIXTURE_TEST_CASE(CancelEndsWork, CoreFixture) {
  const auto exchange = Submit("r", 0, MakeRequest("x", 1000));
  Run(milliseconds(30));
  BOOST_TEST(core.Cancel("r"));
  BOOST_TEST(!core.Cancel("r"));
  BOOST_TEST(core.Idle());
  BOOST_TEST(core.Stats()["cancelled"].asInt() == 1);
}

BOOST_FIXTURE_TEST_CASE(MarkedRequestCrashesEngine, CoreFixture) {
  EngineBehaviour behaviour;
  behaviour.crash_on_marker = "boom";
  core.SetBehaviour(behaviour);
  Submit("innocent", 0, MakeRequest("calm"));
  Run(milliseconds(200));
  BOOST_TEST(crashes == 0);
  Submit("guilty", 0, MakeRequest("a boom b"));
  Run(milliseconds(5));
  BOOST_TEST(crashes == 1);
}

// Guards against cache events without the configured delay, gaps or cache
// size.
BOOST_FIXTURE_TEST_CASE(CacheEventsAreLateAndHaveGaps, CoreFixture) {
  Submit("r", 0, MakeRequest(std::string(1024, 'p')));
  std::uint64_t next = 0;
  BOOST_TEST(core.CacheEvents(1, clock.Now(), &next)["events"].empty());
  BOOST_TEST(core.ExportCache().size() == 2U);
  Run(milliseconds(250));
  const Json::Value before = core.CacheEvents(1, clock.Now(), &next);
  BOOST_TEST(before["events"].size() == 2U);
  BOOST_TEST(next == 3U);
  const Json::Value after = core.CacheEvents(next, clock.Now(), &next);
  BOOST_TEST(after["first_seq"].asInt() == 4);
}

BOOST_FIXTURE_TEST_CASE(LoadReportLags, CoreFixture) {
  core.LoadReport(clock.Now());
  Submit("r", 1, MakeRequest("x", 1000));
  Run(milliseconds(50));
  BOOST_TEST(core.LoadReport(clock.Now())["running_by_tier"][1].asInt() == 0);
  Run(milliseconds(100));
  BOOST_TEST(core.LoadReport(clock.Now())["running_by_tier"][1].asInt() == 1);
}

BOOST_AUTO_TEST_CASE(EngineServesCompletionsAndOrders) {
  EngineServerOptions options;
  options.identity = Identity();
  options.models = {"m"};
  options.engine.token_delay = milliseconds(1);
  EngineServer engine(options);
  BOOST_TEST_REQUIRE(bool(engine.Start()));
  const auto client = HttpClient::Create(1);
  const std::string body =
      R"({"model":"m","stream":true,"messages":[{"content":"hello"}]})";
  const auto request = ParseCompletion(true, body).value();
  const HttpResponse streamed =
      Post(*client, engine.Address(), "/v1/chat/completions", body,
           {{"X-Request-Id", "r-1"}});
  BOOST_TEST(streamed.body == ExpectedCompletion(request).AllEvents());
  const HttpResponse resumed =
      Get(*client, engine.Address(), "/v1/streams/r-1?offset=5");
  BOOST_TEST(ExpectedCompletion(request).AllEvents().find(resumed.body) !=
             std::string::npos);
  const HttpResponse whole = Post(*client, engine.Address(), "/v1/completions",
                                  R"({"model":"m","prompt":"hello"})");
  BOOST_TEST(whole.body.find(ExpectedCompletion(request).Text()) !=
             std::string::npos);
  // An old fencing token is refused.
  const auto order = [&](int fence) {
    return Post(*client, engine.Address(), "/admin/orders",
                R"({"action":"load_model","model":"n","fence":)" +
                    std::to_string(fence) + "}")
        .status;
  };
  BOOST_TEST(order(5) == 200);
  BOOST_TEST(order(4) == 409);
  const HttpResponse stats = Get(*client, engine.Address(), "/fake/stats");
  BOOST_TEST(stats.body.find(R"("r-1":1)") != std::string::npos);
  BOOST_TEST(stats.body.find(R"("models":["m","n"])") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ServiceCountsExecutions) {
  PlainServiceOptions options;
  options.identity = Identity();
  PlainService service(options);
  BOOST_TEST_REQUIRE(bool(service.Start()));
  const auto client = HttpClient::Create(1);
  for (int i = 0; i < 2; ++i) {
    Post(*client, service.Address(), "/orders", "one",
         {{"Idempotency-Key", "k"}});
  }
  const HttpResponse stats = Get(*client, service.Address(), "/fake/stats");
  BOOST_TEST(stats.body.find(R"("runs_by_key":{"k":2})") != std::string::npos);
  const HttpResponse refused =
      Post(*client, service.Address(), "/fake/behaviour", R"({"no_key":1})");
  BOOST_TEST(refused.status == 400);
}

BOOST_AUTO_TEST_CASE(WeightStoreDeliversAllBytes) {
  WeightStoreOptions options;
  options.address = "127.0.0.1:0";
  WeightStore store(options);
  BOOST_TEST_REQUIRE(bool(store.Start()));
  const auto client = HttpClient::Create(1);
  const HttpResponse response =
      Get(*client, store.Address(), "/weights/m?bytes=300000");
  BOOST_TEST(response.body.size() == 300000U);
}

}  // namespace sycamorebend
