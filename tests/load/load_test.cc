#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>

#include "fakes/engine_server.h"
#include "load/distribution.h"
#include "load/load_runner.h"
#include "load/stream_checker.h"

namespace sycamorebend {

namespace {

ExpectedCompletion MakeCompletion() {
  CompletionRequest request;
  request.model = "m";
  request.prompt = "p";
  request.max_tokens = 5;
  return ExpectedCompletion(request);
}

bool Accepts(const std::string& text) {
  StreamChecker checker(MakeCompletion());
  // One byte at a time, so that every line is split.
  for (const char byte : text) {
    checker.Add(std::string_view(&byte, 1));
  }
  return checker.IsCorrect();
}

}  // namespace

// Guards against a checker that accepts a corrupted response.
BOOST_AUTO_TEST_CASE(CheckerRejectsCorruptedStreams) {
  const std::string whole = MakeCompletion().AllEvents();
  BOOST_TEST(Accepts(whole));
  BOOST_TEST(Accepts(": heartbeat\n\n" + whole));
  BOOST_TEST(!Accepts(whole.substr(0, whole.size() - kDoneEvent.size())));
  BOOST_TEST(!Accepts(MakeCompletion().Event(1) + whole));
  BOOST_TEST(!Accepts(whole + whole));
  BOOST_TEST(!Accepts(MakeCompletion().Event(1) + std::string(kDoneEvent)));
  std::string changed = whole;
  changed[changed.find("content") + 11] ^= 1;
  BOOST_TEST(!Accepts(changed));
}

BOOST_AUTO_TEST_CASE(ErrorEventIsReported) {
  StreamChecker checker(MakeCompletion());
  BOOST_TEST(checker.Add(MakeCompletion().Event(1) +
                         "event: error\ndata: {}\n\n") == 1);
  BOOST_TEST(checker.ErrorData() == "{}");
  BOOST_TEST(!checker.IsCorrect());
}

BOOST_AUTO_TEST_CASE(PercentilesAreWithinTwoPercent) {
  Distribution distribution;
  for (int i = 1; i <= 1000; ++i) {
    distribution.Add(milliseconds(i));
  }
  BOOST_TEST(distribution.Percentile(0.5) > 490);
  BOOST_TEST(distribution.Percentile(0.5) < 510);
  BOOST_TEST(distribution.Percentile(0.99) > 970);
}

// Guards against a load tool that counts the response to another request as
// correct, and against uncounted requests.
BOOST_AUTO_TEST_CASE(EveryResponseIsChecked) {
  EngineServerOptions engine_options;
  engine_options.identity.address = "127.0.0.1:0";
  engine_options.identity.server_id = "e-1";
  engine_options.models = {"m"};
  engine_options.engine.token_delay = milliseconds(1);
  engine_options.engine.slots = 100;
  EngineServer engine(engine_options);
  BOOST_TEST_REQUIRE(bool(engine.Start()));
  LoadOptions options;
  options.targets = {engine.Address()};
  options.requests_per_second = 1000;
  options.count = 100;
  for (const LoadKind kind : {LoadKind::kChat, LoadKind::kCompletion}) {
    for (const bool stream : {true, false}) {
      LoadClass load_class;
      load_class.kind = kind;
      load_class.stream = stream;
      load_class.name = std::to_string(options.classes.size());
      load_class.model = "m";
      options.classes.push_back(load_class);
    }
  }
  const ClassReport total = RunLoad(options).Total();
  BOOST_TEST(total.started == 100U);
  BOOST_TEST(total.whole == 100U);
  options.classes[0].model = "unknown";
  options.classes.resize(1);
  const LoadReport refused = RunLoad(options);
  BOOST_TEST(refused.Total().whole == 0U);
  BOOST_TEST(refused.Total().errors.at(205) == 100U);
}

// Guards against a class without a model that only fails at run time.
BOOST_AUTO_TEST_CASE(ClassNeedsModel) {
  auto settings =
      SettingsObject::Parse(R"({"classes": [{"name": "a"}]})", "f").value();
  ReadLoadOptions(settings);
  const Status finished = settings.Finish();
  BOOST_TEST_REQUIRE(!finished);
  BOOST_TEST(finished.error().message.find("model") != std::string::npos);
}

}  // namespace sycamorebend
