#include "fakes/engine_server.h"

int main(int argc, char** argv) {
  using namespace sycamorebend;
  return RunFake(
      argc, argv,
      [](SettingsObject& settings) -> Result<std::unique_ptr<FakeServer>> {
        return std::unique_ptr<FakeServer>(
            std::make_unique<EngineServer>(ReadEngineOptions(settings)));
      });
}
