#define BOOST_TEST_MODULE policy
#include <boost/test/unit_test.hpp>

#include "sycamorebend/policy.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

Result<Policy> Parse(const std::string& text) {
  return ParsePolicy(ParseJson(text).value());
}

const char* const kDocument = R"({
  "tiers": ["urgent", "batch"],
  "classes": [
    {"name": "repair", "tier": "urgent", "match": "kind=repair",
     "servers": "model=repair", "first_token_ms": 800},
    {"name": "rest", "tier": "batch", "idempotent": false}],
  "customers": [
    {"name": "line-7", "tiers": ["batch"], "key_sha256":
     "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}],
  "server_labels": {"s1": {"pool": "a"}}})";

}  // namespace

BOOST_AUTO_TEST_CASE(DocumentIsRead) {
  const Policy policy = Parse(kDocument).value();
  BOOST_TEST(policy.MatchClass({{"kind", "repair"}})->name == "repair");
  BOOST_TEST(policy.MatchClass({})->name == "rest");
  BOOST_TEST(
      (policy.FindClass("repair")->first_token_target == milliseconds(800)));
  BOOST_TEST(policy.FindCustomer("abc")->name == "line-7");
  BOOST_TEST(policy.FindCustomer("abd") == nullptr);
  BOOST_TEST(policy.customers[0].tiers.count(1) == 1U);
}

// Guards against an invalid configuration that is accepted and then breaks
// every entry daemon.
BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRefused) {
  for (const char* text :
       {"[]", "{}", R"({"tiers":[]})", R"({"tiers":["a","a"]})",
        R"({"tiers":["a"],"extra":1})",
        R"({"tiers":["a"],"classes":[{"name":"x","tier":"b"}]})",
        R"({"tiers":["a"],"classes":[{"name":"x","tier":"a"},
            {"name":"x","tier":"a"}]})",
        R"({"tiers":["a"],"classes":[{"name":"x","tier":"a","match":"="}]})",
        R"({"tiers":["a"],"customers":[{"name":"x","key_sha256":"1"}]})",
        R"({"tiers":["a"],"server_labels":{"s":{"b c":"d"}}})"}) {
    const auto policy = Parse(text);
    BOOST_TEST(!policy, text);
    BOOST_TEST((policy.error().code == ResultCode::kConfigurationInvalid));
  }
}

}  // namespace sycamorebend
