#include "entry/caller_request.h"

#include <boost/test/unit_test.hpp>

#include "entry/prefix_hashes.h"
#include "entry/upstream_call.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

Policy MakePolicy() {
  Json::Value document = ParseJsonWithComments(R"({
    "tiers": ["urgent", "standard"],
    "classes": [
      {"name": "repair", "tier": "urgent", "match": "kind=repair",
       "servers": "model=repair", "deadline_ms": 60000},
      {"name": "order", "tier": "standard", "match": "kind=order",
       "idempotent": false},
      {"name": "any", "tier": "standard", "match": "model=chat"}],
    "customers": [{"name": "line-7", "key_sha256": "X"}],
    "model_labels": {"repair-13b": {"model": "repair", "kind": "repair"}}})",
                                               "test")
                             .value();
  document["customers"][0]["key_sha256"] = Sha256Hex("k");
  return ParsePolicy(document).value();
}

HttpRequest MakeRequest(const std::string& path, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.target = path;
  request.headers = {{"authorization", "bearer k"}};
  request.body = body;
  return request;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ChatRequestIsRead) {
  const Policy policy = MakePolicy();
  HttpRequest request = MakeRequest("/v1/chat/completions", R"({
    "model": "repair-13b", "stream": true, "max_tokens": 50, "messages": [
      {"role": "system", "content": "abc"},
      {"role": "user", "content": [{"type": "text", "text": "def"},
                                   {"type": "image_url"}]}]})");
  request.headers.push_back({"x-sycamorebend-labels", "site=a,model=other"});
  request.headers.push_back({"x-sycamorebend-deadline-ms", "5000"});
  const TimePoint now = TimePoint() + seconds(5);
  const CallerRequest read = ParseCallerRequest(request, policy, now).value();
  BOOST_TEST(read.info.customer == "line-7");
  BOOST_TEST(read.info.class_name == "repair");
  BOOST_TEST(FormatLabels(read.info.labels) ==
             "kind=repair,model=repair,site=a");
  BOOST_TEST(read.stream);
  BOOST_TEST(read.info.max_output_tokens == 50);
  BOOST_TEST((read.deadline == now + seconds(5)));
  BOOST_TEST((read.kind == ServerKind::kEngine));
  // The same content has the same fingerprint, whatever its labels are.
  request.headers.pop_back();
  const CallerRequest again = ParseCallerRequest(request, policy, now).value();
  BOOST_TEST(again.info.fingerprint == read.info.fingerprint);
  BOOST_TEST(again.info.request_id != read.info.request_id);
  BOOST_TEST((again.deadline == now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(UnknownModelAndClassDiffer) {
  const Policy policy = MakePolicy();
  const auto code = [&](const HttpRequest& request) {
    return ParseCallerRequest(request, policy, TimePoint()).error().code;
  };
  BOOST_TEST((code(MakeRequest("/v1/completions",
                               R"({"model": "none", "prompt": "a"})")) ==
              ResultCode::kUnknownModel));
  BOOST_TEST((code(MakeRequest("/stock", "")) == ResultCode::kUnknownClass));
  HttpRequest wrong_method = MakeRequest("/v1/completions", "");
  wrong_method.method = "GET";
  BOOST_TEST((code(wrong_method) == ResultCode::kMethodNotAllowed));
}

// Guards against order keys that another daemon or the control replicas could
// interpret differently.
BOOST_AUTO_TEST_CASE(OrderKeysAreChecked) {
  const Policy policy = MakePolicy();
  HttpRequest request = MakeRequest("/orders", "part=1");
  request.headers.push_back({"X-Sycamorebend-Labels", "kind=order"});
  const auto read = [&] {
    return ParseCallerRequest(request, policy, TimePoint());
  };
  BOOST_TEST((read().error().code == ResultCode::kOrderKeyMissing));
  request.headers.push_back({"Idempotency-Key", "a b"});
  BOOST_TEST((read().error().code == ResultCode::kOrderKeyInvalid));
  request.headers.back().value = std::string(256, 'x');
  BOOST_TEST((read().error().code == ResultCode::kOrderKeyInvalid));
  request.headers.back().value = "a-1";
  BOOST_TEST(read().value().is_order);
  const std::string digest = read().value().body_digest;
  request.body = "part=2";
  BOOST_TEST(read().value().body_digest != digest);
  request.headers.push_back({"X-Sycamorebend-Key-Created-Ms", "-1"});
  BOOST_TEST((read().error().code == ResultCode::kOrderKeyInvalid));
  request.headers.back().value = "1700000000000";
  BOOST_TEST((read().value().key_created_ms.value_or(0) == 1700000000000U));
}

// Guards against prefix hashes that differ from those that engines report.
BOOST_AUTO_TEST_CASE(PrefixHashesEqualStableHash) {
  std::string prompt;
  for (int i = 0; i < 1000; ++i) {
    prompt += std::to_string(i * i);
  }
  const std::vector<std::uint64_t> hashes = HashPrefixes(prompt);
  BOOST_TEST(hashes.size() == prompt.size() / 256);
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    BOOST_TEST(hashes[i] == StableHash64(prompt.substr(0, (i + 1) * 256)));
  }
  BOOST_TEST(HashPrefixes("short").empty());
}

BOOST_AUTO_TEST_CASE(HopByHopHeadersAreDropped) {
  const HttpHeaders kept = EndToEndHeaders({{"connection", "close, X-Hop"},
                                            {"X-Hop", "1"},
                                            {"Host", "a"},
                                            {"content-length", "1"},
                                            {"Expect", "100-continue"},
                                            {"X-Kept", "2"}});
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(kept[0].name == "X-Kept");
}

// Guards against a cancellation that ends the next attempt of the same request
// at the same engine.
BOOST_AUTO_TEST_CASE(AttemptsHaveDifferentStreams) {
  BOOST_TEST(StreamId("r", 1) == "r");
  BOOST_TEST(StreamId("r", 2) == "r.2");
}

}  // namespace sycamorebend::entry
