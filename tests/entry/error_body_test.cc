#include "entry/error_body.h"

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

BOOST_AUTO_TEST_CASE(ErrorBodyHasAllFields) {
  const std::string text =
      FormatErrorBody({ResultCode::kCustomerLimit, "limit is 5",
                       ExecutionState::kNotRun, milliseconds(250)});
  const Json::Value error = ParseJson(text).value()["error"];
  BOOST_TEST(error["code"].asInt() == 303);
  BOOST_TEST(error["name"].asString() == "customer_limit");
  BOOST_TEST(error["message"].asString() == "limit is 5");
  BOOST_TEST(error["ran"].asString() == "not_run");
  BOOST_TEST(error["retry"].asBool());
  BOOST_TEST(error["retry_after_ms"].asInt() == 250);
  const std::string event = FormatErrorEvent(
      {ResultCode::kStreamTruncated, {}, ExecutionState::kUnknown});
  BOOST_TEST(event.rfind("event: error\ndata: {", 0) == 0U);
  BOOST_TEST(event.substr(event.size() - 2) == "\n\n");
}

// Guards against a result code that is not mapped to an HTTP error status.
BOOST_AUTO_TEST_CASE(EveryCodeHasAnErrorStatus) {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    const int status = HttpStatusOf(info.code);
    BOOST_TEST((status >= 400 && status <= 504), info.name);
  }
  const std::vector<std::pair<ResultCode, int>> expected = {
      {ResultCode::kMalformedRequest, 400},
      {ResultCode::kUnknownCustomer, 401},
      {ResultCode::kTierNotGranted, 403},
      {ResultCode::kUnknownModel, 404},
      {ResultCode::kBodyTooLarge, 413},
      {ResultCode::kHeadersTooLarge, 431},
      {ResultCode::kNoEligibleServer, 503},
      {ResultCode::kCustomerLimit, 429},
      {ResultCode::kRequestQuarantined, 422},
      {ResultCode::kOrderKeyMissing, 400},
      {ResultCode::kOrderKeyReused, 422},
      {ResultCode::kOrderOutcomeUnknown, 504},
      {ResultCode::kOrderNotRun, 409},
      {ResultCode::kServerCrashed, 502},
      {ResultCode::kConfigurationUnconfirmed, 503}};
  for (const auto& [code, status] : expected) {
    BOOST_TEST(HttpStatusOf(code) == status, GetResultCodeInfo(code).name);
  }
}

}  // namespace sycamorebend::entry
