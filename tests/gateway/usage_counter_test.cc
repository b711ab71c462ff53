#include "gateway/usage_counter.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

// Guards against customers who pay for requests that have not run, or not for
// those that failed while they ran.
BOOST_AUTO_TEST_CASE(RequestsThatRanCount) {
  for (const int status : {200, 204, 304, 500, 502, 503}) {
    BOOST_TEST(ShowsThatItRan(status, true, false), status);
    BOOST_TEST(!ShowsThatItRan(status, true, /*not_executed=*/true), status);
    BOOST_TEST(!ShowsThatItRan(status, /*authentic=*/false, false), status);
  }
  for (const int status : {400, 408, 421, 429}) {
    BOOST_TEST(!ShowsThatItRan(status, true, false), status);
  }
}

// Guards against requests in the wrong window, and against reports with each
// poll of a search.
BOOST_AUTO_TEST_CASE(ReportsHaveWindowsAndDemand) {
  ManualClock clock;
  clock.Advance(seconds(100));
  UsageCounter counter({seconds(5), seconds(10)}, {"g", "1"}, clock);
  counter.CountRequest("svc", 300);
  counter.CountBegun("x");
  RequestResult result;
  result.outcome = RequestOutcome::kLate;
  result.target = milliseconds(100);
  result.first_event = milliseconds(250);
  counter.CountEnd("svc", result, 40);
  clock.Advance(seconds(5));
  counter.CountBegun("x");
  const Json::Value report = counter.NextReport();
  const Json::Value& source = report["sources"][0];
  BOOST_TEST(source["time_ms"].asInt64() == 105000);
  BOOST_TEST(source["windows"]["20"]["x"].asUInt64() == 1U);
  BOOST_TEST(source["windows"]["21"]["x"].asUInt64() == 1U);
  const std::vector<std::uint64_t> expected = {1, 300, 40, 0, 1, 1, 2500};
  std::vector<std::uint64_t> totals;
  for (const Json::Value& total : source["demand"]["svc"]) {
    totals.push_back(total.asUInt64());
  }
  BOOST_TEST(totals == expected, boost::test_tools::per_element());
  BOOST_TEST(counter.NextReport().isNull());
  BOOST_TEST(!counter.AllReported());
  clock.Advance(seconds(1));
  BOOST_TEST(!counter.NextReport().isNull());
}

}  // namespace sycamorebend::gateway
