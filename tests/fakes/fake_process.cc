#include "fakes/fake_process.h"

#include <csignal>
#include <cstdio>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include "sycamorebend/selector.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace sycamorebend {

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;
constexpr Duration kPollPeriod = milliseconds(10);

int Fail(int status, const Error& error) {
  fmt::print(stderr, "{}\n", error.message);
  return status;
}

sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Threads inherit the mask, so only sigwait receives the signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

Result<std::unique_ptr<FakeServer>> CreateServer(const FakeFactory& factory) {
  BOOST_OUTCOME_TRY(settings,
                    SettingsObject::Load(absl::GetFlag(FLAGS_settings)));
  auto server = factory(settings);
  BOOST_OUTCOME_TRY(settings.Finish());
  return server;
}

}  // namespace

int RunFake(int argc, char** argv, const FakeFactory& factory) {
  absl::ParseCommandLine(argc, argv);
  const sigset_t signals = BlockStopSignals();
  signal(SIGPIPE, SIG_IGN);
  auto server = CreateServer(factory);
  if (!server) {
    LogEvent(Severity::kError, Event::kSettingsRejected,
             {{"error", server.error().message}});
    return Fail(kExitBadSettings, server.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  const Status started = server.value()->Start();
  if (!started) {
    return Fail(kExitFailure, started.error());
  }
  LogEvent(Severity::kInfo, Event::kProcessStarted);
  int received = 0;
  sigwait(&signals, &received);
  LogEvent(Severity::kInfo, Event::kProcessStopping);
  server.value()->StopGracefully();
  LogEvent(Severity::kInfo, Event::kProcessStopped);
  return 0;
}

FakeIdentity ReadIdentity(SettingsObject& settings) {
  FakeIdentity identity;
  identity.address = settings.GetAddress("address");
  identity.server_id = settings.GetString("server_id");
  identity.entry_addresses =
      settings.GetAddressList("entry_addresses", std::vector<std::string>());
  identity.labels = settings.GetString("labels", "");
  if (!ParseLabels(identity.labels)) {
    settings.Reject("labels", "labels such as \"a=b,c=d\"");
  }
  identity.failure_domain = settings.GetString("failure_domain", "fd-1");
  return identity;
}

Json::Value LabelsJson(const std::string& labels) {
  Json::Value value(Json::objectValue);
  const auto parsed = ParseLabels(labels);
  if (parsed) {
    for (const auto& [name, text] : parsed.value()) {
      value[name] = text;
    }
  }
  return value;
}

void RespondJson(HttpExchange& exchange, int status, const Json::Value& value) {
  exchange.Respond(status, {{"Content-Type", "application/json"}},
                   WriteJson(value) + "\n");
}

void WaitForExchanges(const HttpServer& server, Duration limit) {
  const TimePoint end = SystemClock().Now() + limit;
  while (server.OpenExchanges() > 0 && SystemClock().Now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
}

}  // namespace sycamorebend
