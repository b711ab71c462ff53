// sycamorebend-control: one replica of the control state.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <signal.h>

#include <cstdio>
#include <thread>

#include "controld/control_http.h"
#include "controld/control_settings.h"

ABSL_FLAG(std::string, settings, "", "settings file, JSON with comments");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace sycamorebend {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr int kClientThreads = 2;
constexpr Duration kTickPeriod = milliseconds(200);
// Polls that control replicas send each other to pass renewals on, and polls
// that are referred elsewhere.
constexpr int kSparePolls = 16;
// Longest time that a graceful stop waits for open calls.
constexpr Duration kStopTimeout = seconds(5);
constexpr Duration kStopCheck = milliseconds(20);

int Fail(const Error& error) {
  LogEvent(
      Severity::kError, Event::kSettingsRejected,
      {{"code", static_cast<int>(error.code)}, {"message", error.message}});
  return kExitFailed;
}

void WaitForCalls(const HttpServer& server, const Clock& clock) {
  const TimePoint deadline = clock.Now() + kStopTimeout;
  while (server.OpenExchanges() > 0 && clock.Now() < deadline) {
    std::this_thread::sleep_for(kStopCheck);
  }
}

int Serve(const ControlSettings& settings, const sigset_t& stop_signals) {
  const SystemClock clock;
  ControlThread control_thread(clock);
  const std::unique_ptr<HttpClient> http_client =
      HttpClient::Create(kClientThreads);
  const std::unique_ptr<RpcClient> rpc = RpcClient::Create(*http_client);
  const std::unique_ptr<FeedSource> feed =
      FeedSource::Create(settings.feed, *rpc, clock);
  const std::unique_ptr<ControlState> state =
      ControlState::Create([&feed](std::shared_ptr<const SharedState> shared) {
        feed->Publish(std::move(shared));
      });
  ControlService service(*state, *feed, clock);
  ControlThreads threads;
  threads.feed = static_cast<int>(settings.feed.max_followers) + kSparePolls;
  ControlHttp http(service, threads);
  HttpServerOptions http_options;
  http_options.address = settings.log.address;
  auto server = HttpServer::Start(http_options, http);
  if (!server) {
    return Fail(server.error());
  }
  auto log =
      CreateReplicatedLog(settings.log, *state, *rpc, control_thread, clock);
  if (!log) {
    server.value()->Stop();
    return Fail(log.error());
  }
  service.SetLog(*log.value());
  feed->SetLog(*log.value());
  control_thread.SubscribePeriodic(kTickPeriod, [&service] { service.Tick(); });
  LogEvent(Severity::kInfo, Event::kListening,
           {{"address", server.value()->Address()},
            {"id", static_cast<std::uint64_t>(settings.log.id)},
            {"failure_domain", settings.failure_domain}});
  int signal_number = 0;
  sigwait(&stop_signals, &signal_number);
  LogEvent(Severity::kInfo, Event::kProcessStopping,
           {{"signal", signal_number}});
  service.StopChanges();
  feed->Stop();
  // Leadership is handed over while the other replicas can still call here.
  log.value()->Stop();
  server.value()->StopAccepting();
  WaitForCalls(*server.value(), clock);
  server.value()->Stop();
  control_thread.Stop();
  LogEvent(Severity::kInfo, Event::kProcessStopped);
  return kExitOk;
}

int Run() {
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    fmt::print(stderr, "--settings=FILE is required; see --help\n");
    return kExitUsage;
  }
  auto root = SettingsObject::Load(path);
  if (!root) {
    return Fail(root.error());
  }
  const auto settings = ReadControlSettings(std::move(root.value()));
  if (!settings) {
    return Fail(settings.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    fmt::print("{}: accepted\n", path);
    return kExitOk;
  }
  SetLogThreshold(settings.value().log_threshold);
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  LogEvent(Severity::kInfo, Event::kProcessStarted,
           {{"program", "sycamorebend-control"}});
  return Serve(settings.value(), stop_signals);
}

}  // namespace

}  // namespace sycamorebend

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "One replica of the control state: configuration, orders, drains and "
      "entry daemons.\n"
      "  sycamorebend-control --settings=FILE [--check]\n"
      "The settings are described in docs/control.md.");
  absl::ParseCommandLine(argc, argv);
  sycamorebend::LimitAllocatorArenas();
  return sycamorebend::Run();
}
