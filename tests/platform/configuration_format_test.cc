#include "platform/configuration_format.h"

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend::platform {

namespace {

Json::Value Document() {
  return ParseJson(R"({"version": 7,
    "route_table": [
      {"name": "r1", "hostname": "h.example", "path_prefix": "/a/",
       "route_type": "streaming", "timeout_ms": 15000,
       "target_latency_ms": 600, "target_itl_ms": 250, "priority": 0,
       "backend": "llm", "max_attempts": 2, "public": false,
       "stream_resume": true},
      {"name": "r2", "hostname": "h.example", "path_prefix": "/b/",
       "route_type": "idempotent", "timeout_ms": 1500, "priority": 2,
       "traffic_split": [{"backend": "llm", "weight": 9},
                         {"backend": "app", "weight": 1}],
       "max_attempts": 1, "public": true}],
    "backends": [
      {"name": "llm", "max_connections": 620,
       "engine_type": {"stride": 4, "kv_capacity": 216189.0}},
      {"name": "app", "max_connections": 110}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}]})")
      .value();
}

// @return the error message for the valid document modified by `change`, or an
// empty string if it is still accepted.
template <typename Change>
std::string ErrorAfter(Change change) {
  Json::Value document = Document();
  change(document);
  const auto read = ReadConfiguration(document);
  return read ? std::string() : read.error().message;
}

}  // namespace

// Guards against a customer whose name cuts the head of its requests, and
// against an entry daemon that drops a stored document for such a name.
BOOST_AUTO_TEST_CASE(NamesThatNoHeaderCanCarryAreRefused) {
  for (const auto& [list, kind] :
       {std::pair("tenants", "tenant"), std::pair("backends", "service")}) {
    for (const char* name : {"t\r\n", "t\nForged: 1", " t", "t\x7f"}) {
      Json::Value document = Document();
      document[list][list == std::string("backends") ? 1 : 0]["name"] = name;
      if (list == std::string("backends")) {
        document["route_table"][1]["traffic_split"][1]["backend"] = name;
      }
      const auto read = ReadConfiguration(document);
      BOOST_REQUIRE(read);
      const Status names = CheckNames(read.value());
      BOOST_REQUIRE(!names);
      BOOST_TEST((names.error().code == ResultCode::kConfigurationInvalid));
      BOOST_TEST(names.error().message.find(kind) != std::string::npos);
    }
  }
  Json::Value document = Document();
  document["tenants"][0]["name"] = "T\xc3\xa9 & co.";
  BOOST_TEST(CheckNames(ReadConfiguration(document).value()).has_value());
}

// Guards against prices and limits that are parsed into the wrong member, and
// against refusing a document that the platform accepts.
BOOST_AUTO_TEST_CASE(ParsesAutoscaling) {
  Json::Value document = Document();
  document["backends"][0]["autoscaling"] =
      ParseJson(R"({"min_replicas": 1, "max_replicas": 60, "startup_s": 4.5,
                    "spot_price": 0.18, "zone_prices": {"a": 0.85, "b": 1.2},
                    "later": []})")
          .value();
  document["backends"][1]["autoscaling"] =
      ParseJson(R"({"min_replicas": 9, "max_replicas": 2})").value();
  const auto read = ReadConfiguration(document);
  BOOST_REQUIRE(read);
  const auto& services = read.value().services;
  BOOST_REQUIRE(services.at("llm").scaling.has_value());
  const ScalingRules& rules = *services.at("llm").scaling;
  BOOST_TEST(rules.min_engines == 1);
  BOOST_TEST(rules.max_engines == 60);
  BOOST_TEST(ToMilliseconds(rules.startup) == 4500);
  BOOST_TEST(rules.reclaimable_price.value_or(0) == 0.18);
  BOOST_TEST(rules.domain_prices.at("b") == 1.2);
  BOOST_TEST(services.at("app").scaling->min_engines == 9);
  BOOST_TEST(!services.at("app").scaling->reclaimable_price.has_value());
  const auto alone = ReadScalingRules(document);
  BOOST_TEST(alone.size() == 2U);
  BOOST_TEST((alone.at("llm") == rules));
  BOOST_TEST(ReadScalingRules(Json::Value()).empty());
  BOOST_TEST(ErrorAfter([](Json::Value& changed) {
               changed["backends"][0]["autoscaling"]["max_replicas"] = "many";
             }).find("max_replicas") != std::string::npos);
}

// Guards against fields that are parsed into the wrong member.
BOOST_AUTO_TEST_CASE(ParsesAllFields) {
  const auto read = ReadConfiguration(Document());
  BOOST_REQUIRE(read);
  const gateway::RouteTable& table = read.value();
  BOOST_TEST(table.version == 7U);
  const gateway::Route& stream = table.routes[0];
  BOOST_TEST((stream.kind == gateway::RouteKind::kStream));
  BOOST_TEST(ToMilliseconds(stream.target) == 600);
  BOOST_TEST(ToMilliseconds(stream.gap_target) == 250);
  BOOST_TEST(stream.Repeatable());
  BOOST_TEST(table.routes[1].services[1].weight == 1);
  BOOST_TEST(table.routes[1].open);
  BOOST_TEST(table.services.at("llm").event_tokens == 4);
  BOOST_TEST(table.FindTenant("k2")->name == "t");
  BOOST_TEST(table.FindTenant("k3") == nullptr);
  BOOST_TEST(ToMilliseconds(table.limits.idle_timeout) == 15000);
}

// Guards against acceptance of invalid documents.
BOOST_AUTO_TEST_CASE(RejectsInvalidDocuments) {
  BOOST_TEST(ErrorAfter([](Json::Value& document) {
               document["route_table"][0]["backend"] = "none";
             }).find("none") != std::string::npos);
  BOOST_TEST(!ErrorAfter([](Json::Value& document) {
                document["route_table"][1]["path_prefix"] = "/a/";
              }).empty());
  BOOST_TEST(!ErrorAfter([](Json::Value& document) {
                for (Json::Value& part :
                     document["route_table"][1]["traffic_split"]) {
                  part["weight"] = 0;
                }
              }).empty());
  BOOST_TEST(!ErrorAfter([](Json::Value& document) {
                document["route_table"][0]["timeout_ms"] = 0;
              }).empty());
  BOOST_TEST(!ErrorAfter([](Json::Value& document) {
                Json::Value other = document["tenants"][0];
                other["name"] = "u";
                document["tenants"].append(other);
              }).empty());
  for (const char* key : {"version", "route_table", "backends"}) {
    BOOST_TEST(!ErrorAfter([key](Json::Value& document) {
                  document.removeMember(key);
                }).empty());
  }
  BOOST_TEST(!ErrorAfter([](Json::Value& document) {
                document = Json::Value(Json::arrayValue);
              }).empty());
}

// Guards against a configuration that needs no keys any more once its last
// tenant is removed.
BOOST_AUTO_TEST_CASE(EmptyListOfTenantsNeedsKeys) {
  const auto needs_key = [](const Json::Value& document, std::size_t route) {
    const auto read = ReadConfiguration(document);
    BOOST_REQUIRE(read);
    return read.value().NeedsKey(read.value().routes[route]);
  };
  Json::Value document = Document();
  BOOST_TEST(needs_key(document, 0));
  BOOST_TEST(!needs_key(document, 1));
  document["tenants"] = Json::arrayValue;
  BOOST_TEST(needs_key(document, 0));
  BOOST_TEST(!needs_key(document, 1));
  document.removeMember("tenants");
  BOOST_TEST(!needs_key(document, 0));
}

// Guards against lists that cannot be read and count as absent ones.
BOOST_AUTO_TEST_CASE(UnreadableListsAreRejected) {
  for (const char* const text : {"null", "{}", "\"t\"", "0", "false"}) {
    BOOST_TEST_CONTEXT(text) {
      const Json::Value other = ParseStoredJson(text).value();
      for (const char* const key : {"tenants", "backends", "route_table"}) {
        BOOST_TEST(ErrorAfter([&](Json::Value& document) {
                     document[key] = other;
                   }).find(key) != std::string::npos);
      }
    }
  }
}

// Guards against members of a tenant or a service that cannot be read and count
// as absent: keys of a tenant that are taken from an object or ignored, and an
// engine that is treated as a plain server.
BOOST_AUTO_TEST_CASE(UnreadableMembersAreRejected) {
  for (const char* const text : {"null", "{\"a\": \"k1\"}", "\"k1\"", "0"}) {
    BOOST_TEST(ErrorAfter([&](Json::Value& document) {
                 document["tenants"][0]["api_keys"] =
                     ParseStoredJson(text).value();
               }).find("api_keys") != std::string::npos,
               text);
  }
  BOOST_TEST(ErrorAfter([&](Json::Value& document) {
               document["tenants"][0].removeMember("api_keys");
             }).find("api_keys") != std::string::npos);
  BOOST_TEST(ErrorAfter([&](Json::Value& document) {
               document["backends"][0]["engine_type"] = "llm";
             }).find("engine_type") != std::string::npos);
  BOOST_TEST(ErrorAfter([&](Json::Value& document) {
               document["tenants"][0]["api_keys"] = Json::arrayValue;
             }).empty());
}

}  // namespace sycamorebend::platform
