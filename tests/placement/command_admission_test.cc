#include <boost/test/unit_test.hpp>

#include "sycamorebend/placement.h"

namespace sycamorebend {

namespace {

TimePoint At(int second) {
  return TimePoint(std::chrono::hours(1) + seconds(second));
}

EngineCommand MakeCommand() {
  EngineCommand command;
  command.server_id = "e1";
  return command;
}

}  // namespace

// Guards against commands of two holders reaching an engine that does not check
// fencing tokens.
BOOST_AUTO_TEST_CASE(NewHolderWaitsForCommandsOfThePreviousOne) {
  CommandAdmission admission({});
  admission.OnFenceGranted(7, At(0), At(0));
  admission.OnEngineStateRead("e1", At(0));
  BOOST_TEST(!admission.Admit(MakeCommand(), false, At(1)));
  const auto fenced = admission.Admit(MakeCommand(), true, At(1));
  BOOST_TEST(fenced.value().fence == 7U);
  for (int second = 1; second <= 15; ++second) {
    admission.OnFenceRenewed(7, At(second));
  }
  // The state was read during the wait and may have changed since.
  BOOST_TEST(!admission.Admit(MakeCommand(), false, At(16)));
  admission.OnEngineStateRead("e1", At(16));
  BOOST_TEST(admission.Admit(MakeCommand(), false, At(16)).has_value());
}

// Guards against commands of a holder that was suspended until after its lease
// expired.
BOOST_AUTO_TEST_CASE(SuspendedHolderMustNotSendCommands) {
  CommandAdmission admission({});
  admission.OnFenceGranted(7, At(0), At(0));
  admission.OnEngineStateRead("e1", At(0));
  BOOST_TEST(admission.Admit(MakeCommand(), true, At(4)).has_value());
  BOOST_TEST(!admission.Admit(MakeCommand(), true, At(5)));
  admission.OnFenceRenewed(6, At(5));
  BOOST_TEST(!admission.Admit(MakeCommand(), true, At(5)));
}

// Guards against a second command that is based on the state before the first.
BOOST_AUTO_TEST_CASE(StateIsReadAfterEachCommand) {
  CommandAdmission admission({});
  admission.OnFenceGranted(1, At(0), At(0));
  admission.OnEngineStateRead("e1", At(1));
  admission.OnCommandSent("e1");
  BOOST_TEST(!admission.Admit(MakeCommand(), true, At(2)));
}

}  // namespace sycamorebend
