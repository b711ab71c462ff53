#include <boost/test/unit_test.hpp>

#include "sycamorebend/placement.h"

namespace sycamorebend {

namespace {

TimePoint At(int second) {
  return TimePoint(std::chrono::hours(1) + seconds(second));
}

EngineOrder MakeOrder() {
  EngineOrder order;
  order.server_id = "e1";
  return order;
}

}  // namespace

// Guards against commands of two holders reaching an engine that does not check
// fencing tokens.
BOOST_AUTO_TEST_CASE(NewHolderWaitsForOrdersOfTheOldOne) {
  OrderGate gate({});
  gate.OnFenceGranted(7, At(0), At(0));
  gate.OnEngineStateRead("e1", At(0));
  BOOST_TEST(!gate.Admit(MakeOrder(), false, At(1)));
  const auto fenced = gate.Admit(MakeOrder(), true, At(1));
  BOOST_TEST(fenced.value().fence == 7U);
  for (int second = 1; second <= 15; ++second) {
    gate.OnFenceConfirmed(7, At(second));
  }
  // The state was read during the wait and may have changed since.
  BOOST_TEST(!gate.Admit(MakeOrder(), false, At(16)));
  gate.OnEngineStateRead("e1", At(16));
  BOOST_TEST(gate.Admit(MakeOrder(), false, At(16)).has_value());
}

// Guards against commands of a holder that was suspended until after its lease
// expired.
BOOST_AUTO_TEST_CASE(FrozenHolderMustNotOrder) {
  OrderGate gate({});
  gate.OnFenceGranted(7, At(0), At(0));
  gate.OnEngineStateRead("e1", At(0));
  BOOST_TEST(gate.Admit(MakeOrder(), true, At(4)).has_value());
  BOOST_TEST(!gate.Admit(MakeOrder(), true, At(5)));
  gate.OnFenceConfirmed(6, At(5));
  BOOST_TEST(!gate.Admit(MakeOrder(), true, At(5)));
}

// Guards against a second command that is based on the state before the first.
BOOST_AUTO_TEST_CASE(StateIsReadAfterEachOrder) {
  OrderGate gate({});
  gate.OnFenceGranted(1, At(0), At(0));
  gate.OnEngineStateRead("e1", At(1));
  gate.OnOrderSent("e1");
  BOOST_TEST(!gate.Admit(MakeOrder(), true, At(2)));
}

}  // namespace sycamorebend
