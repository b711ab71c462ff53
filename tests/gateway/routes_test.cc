#include "gateway/routes.h"

#include <boost/test/unit_test.hpp>

namespace sycamorebend::gateway {

namespace {

Route MakeRoute(const std::string& name,
                const std::string& prefix,
                int priority = 0) {
  Route route;
  route.name = name;
  route.host = "Shop.example";
  route.path_prefix = prefix;
  route.priority = priority;
  route.services = {{"a", 1}};
  return route;
}

}  // namespace

// Guards against a route that shadows a more specific one, and against a
// case-sensitive comparison of hosts.
BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  RouteTable table;
  table.routes = {MakeRoute("all", "/"), MakeRoute("parts", "/parts/")};
  BOOST_TEST(table.Find("shop.EXAMPLE:8080", "/parts/7")->name == "parts");
  BOOST_TEST(table.Find("shop.example", "/partsx")->name == "all");
  BOOST_TEST(table.Find("other.example", "/parts/7") == nullptr);
}

// Guards against a weighted split that sends all or no requests to a service.
BOOST_AUTO_TEST_CASE(SplitFollowsWeights) {
  Route route = MakeRoute("split", "/");
  route.services = {{"a", 90}, {"none", 0}, {"b", 10}};
  int b = 0;
  for (std::uint64_t point = 0; point < 100; ++point) {
    const std::string& service = route.PickService(point);
    BOOST_TEST(service != "none");
    b += service == "b" ? 1 : 0;
  }
  BOOST_TEST(b == 10);
}

// Guards against a priority level that ignores the route: engines would then
// preempt urgent requests of a tenant for its less urgent ones.
BOOST_AUTO_TEST_CASE(TenantPriorityPrecedesRoutePriority) {
  RouteTable table;
  table.routes = {MakeRoute("urgent", "/u/", 0), MakeRoute("later", "/l/", 1)};
  table.tenants = {{"large", 0}, {"small", 1}};
  table.BuildPriorityLevels();
  const auto level = [&](int route, int tenant) {
    return table.PriorityLevel(table.routes[route], &table.tenants[tenant]);
  };
  BOOST_TEST(level(0, 0) < level(1, 0));
  BOOST_TEST(level(1, 0) < level(0, 1));
  BOOST_TEST(level(0, 1) < level(1, 1));
  BOOST_TEST(level(1, 1) < kPriorityLevels);
}

// Guards against priority levels outside the range that servers accept.
BOOST_AUTO_TEST_CASE(ManyRanksShareTenPriorityLevels) {
  RouteTable table;
  for (int i = 0; i < 7; ++i) {
    table.routes.push_back(MakeRoute("r", "/" + std::to_string(i) + "/", i));
    table.tenants.push_back({"t", i});
  }
  table.BuildPriorityLevels();
  BOOST_TEST(
      table.PriorityLevel(table.routes.front(), &table.tenants.front()) == 0);
  BOOST_TEST(table.PriorityLevel(table.routes.back(), &table.tenants.back()) ==
             kPriorityLevels - 1);
}

}  // namespace sycamorebend::gateway
