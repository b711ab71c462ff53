#include "logs/attainment.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::logs {

namespace {

LogLine Finished(std::int64_t time_ms, int status, int first_event_ms) {
  LogLine line;
  line.time_ms = time_ms;
  line.event = "request_finished";
  line.fields["route"] = "ask";
  line.fields["status"] = status;
  line.fields["events"] = 5;
  line.fields["first_event_ms"] = first_event_ms;
  line.fields["target_ms"] = 600;
  return line;
}

LogLines MakeLogs() {
  LogLines logs;
  logs.lines = {Finished(1000, 200, 50), Finished(1500, 200, 700),
                Finished(1900, 503, -1), Finished(4100, 502, 60)};
  return logs;
}

}  // namespace

// Guards against refusals counted as failures and late requests counted as in
// time.
BOOST_AUTO_TEST_CASE(OutcomesAreCountedByInterval) {
  const Attainment attainment = ComputeAttainment(MakeLogs(), 1000);
  BOOST_REQUIRE(attainment.intervals.size() == 4U);
  const OutcomeCounts& first = attainment.intervals[0];
  BOOST_TEST(first.in_time == 1);
  BOOST_TEST(first.late == 1);
  BOOST_TEST(first.refused == 1);
  BOOST_TEST(first.slowest_ms == 700);
  BOOST_TEST(attainment.intervals[1].Total() == 0);
  BOOST_TEST(attainment.intervals[3].failed == 1);
  BOOST_TEST(attainment.by_route.at("ask").Total() == 4);
}

// Guards against a chart that lacks one of the outcomes.
BOOST_AUTO_TEST_CASE(ChartHasASeriesForEachOutcome) {
  const std::string svg =
      RenderAttainmentSvg(ComputeAttainment(MakeLogs(), 1000));
  BOOST_TEST(svg.rfind("<svg", 0) == 0U);
  BOOST_TEST(svg.find("</svg>") != std::string::npos);
  for (const char* name : {"in time", "late", "refused", "failed"}) {
    BOOST_TEST(svg.find(name) != std::string::npos);
  }
}

// Guards against a report that fails on logs without requests.
BOOST_AUTO_TEST_CASE(EmptyLogsMakeAnEmptyReport) {
  const Attainment attainment = ComputeAttainment({}, 1000);
  BOOST_TEST(attainment.intervals.empty());
  BOOST_TEST(!FormatAttainment(attainment).empty());
  BOOST_TEST(!RenderAttainmentSvg(attainment).empty());
}

}  // namespace sycamorebend::logs
