#define BOOST_TEST_MODULE history
#include <csignal>

#include <algorithm>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "sycamorebend/settings.h"
#include "system/test_fleet.h"

namespace sycamorebend {

namespace {

constexpr int kWriters = 4;
constexpr int kReaders = 3;
constexpr int kOrderCallers = 3;
constexpr Duration kRunTime = seconds(12);

// Completed operation on the configuration. Its version is its position in the
// order of all changes.
struct Operation {
  TimePoint begin;
  TimePoint end;
  bool write = false;
  std::uint64_t version = 0;
  // Identifies the content that was written or read.
  int content = 0;
};

// Operations and errors of all threads.
struct History {
  void Add(const Operation& operation) {
    std::lock_guard lock(this->mutex);
    this->operations.push_back(operation);
  }
  // Boost.Test's checks are not thread-safe.
  void AddError(const std::string& error) {
    std::lock_guard lock(this->mutex);
    this->errors.push_back(error);
  }
  std::mutex mutex;
  std::vector<Operation> operations;
  std::vector<std::string> errors;
};

Json::Value DocumentWithContent(int content) {
  Json::Value document = Fleet::DefaultDocument();
  document["classes"][0]["max_queue"] = content;
  return document;
}

int ContentOf(const Json::Value& document) {
  return document["classes"][0]["max_queue"].asInt();
}

std::optional<Operation> Read(Fleet& fleet) {
  Operation operation;
  operation.begin = SystemClock().Now();
  const auto shown = fleet.CallControl(
      "control.show", Json::Value(Json::objectValue), seconds(3));
  operation.end = SystemClock().Now();
  if (!shown) {
    return std::nullopt;
  }
  operation.version = shown.value()["version"].asUInt64();
  operation.content = ContentOf(shown.value()["document"]);
  return operation;
}

// Applies changes with compare-and-set. A change without a response is resent
// with the same change ID until its outcome is known.
void Write(Fleet& fleet, int writer, TimePoint end, History& history) {
  const SystemClock clock;
  for (int n = 0; clock.Now() < end; ++n) {
    const auto current = Read(fleet);
    if (!current) {
      continue;
    }
    Json::Value params(Json::objectValue);
    params["change_id"] =
        "writer-" + std::to_string(writer) + "-" + std::to_string(n);
    params["operator"] = "writer-" + std::to_string(writer);
    params["expected_version"] = static_cast<Json::UInt64>(current->version);
    Operation operation;
    operation.write = true;
    operation.content = 1 + writer * 100000 + n;
    params["document"] = DocumentWithContent(operation.content);
    operation.begin = clock.Now();
    const auto applied =
        fleet.CallControl("control.apply", params, seconds(60));
    operation.end = clock.Now();
    if (applied) {
      operation.version = applied.value()["version"].asUInt64();
      if (operation.version != current->version + 1) {
        history.AddError("a change skipped a version");
      }
      history.Add(operation);
    } else if (applied.error().code != ResultCode::kVersionConflict) {
      history.AddError(applied.error().message);
    }
  }
}

struct OrderOutcome {
  int complete_responses = 0;
  int not_run_responses = 0;
  std::string body;
  bool responses_differ = false;
};

// Sends each order to two entry daemons, one after the other.
void PlaceOrders(Fleet& fleet,
                 int caller,
                 TimePoint end,
                 std::map<std::string, OrderOutcome>& outcomes,
                 std::mutex& mutex) {
  const SystemClock clock;
  for (int n = 0; clock.Now() < end; ++n) {
    const std::string key =
        "order-" + std::to_string(caller) + "-" + std::to_string(n);
    for (int attempt = 0; attempt < 2; ++attempt) {
      const auto entry =
          static_cast<std::size_t>(n + attempt) % fleet.EntryCount();
      HttpCall call = fleet.OrderCall(fleet.Entry(entry).address, key, key);
      call.headers.push_back({"X-Sycamorebend-Deadline-Ms", "5000"});
      const auto response = fleet.Client().Fetch(std::move(call));
      if (!response) {
        continue;
      }
      std::lock_guard lock(mutex);
      OrderOutcome& outcome = outcomes[key];
      const std::string& body = response.value().body;
      if (response.value().status == 200) {
        ++outcome.complete_responses;
        outcome.responses_differ =
            outcome.responses_differ ||
            (!outcome.body.empty() && outcome.body != body);
        outcome.body = body;
      } else if (body.find(R"("ran":"not_run")") != std::string::npos) {
        ++outcome.not_run_responses;
      }
    }
  }
}

// Until `end`, repeatedly kills and restarts or suspends and resumes a random
// control replica, or kills and restarts a random entry daemon.
void InjectFaults(Fleet& fleet, TimePoint end) {
  const SystemClock clock;
  std::mt19937 random(7);
  while (clock.Now() < end) {
    std::this_thread::sleep_for(milliseconds(500 + random() % 1000));
    Daemon& replica = fleet.Replica(random() % fleet.ReplicaCount());
    Daemon& entry = fleet.Entry(random() % fleet.EntryCount());
    switch (random() % 3) {
      case 0:
        replica.process->Kill();
        std::this_thread::sleep_for(milliseconds(random() % 2000));
        fleet.Start(replica);
        break;
      case 1:
        replica.process->Signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds(random() % 2000));
        replica.process->Signal(SIGCONT);
        break;
      default:
        entry.process->Kill();
        fleet.Start(entry);
        break;
    }
  }
}

// Versions give the order of all changes. The history is therefore linearizable
// if each version has one content, is written at most once, and no operation
// has a lower version than an operation that ended before it began.
void CheckLinearizable(std::vector<Operation> operations) {
  std::map<std::uint64_t, int> contents;
  std::map<std::uint64_t, int> writes;
  for (const Operation& operation : operations) {
    if (operation.write) {
      BOOST_TEST(++writes[operation.version] == 1);
    }
    const auto known =
        contents.emplace(operation.version, operation.content).first;
    BOOST_TEST(known->second == operation.content,
               "version " << operation.version << " has two contents");
  }
  std::sort(operations.begin(), operations.end(),
            [](const Operation& left, const Operation& right) {
              return left.begin < right.begin;
            });
  std::multimap<TimePoint, const Operation*> by_end;
  for (const Operation& operation : operations) {
    by_end.emplace(operation.end, &operation);
  }
  auto ended = by_end.begin();
  std::uint64_t newest = 0;
  for (const Operation& operation : operations) {
    for (; ended != by_end.end() && ended->first < operation.begin; ++ended) {
      newest = std::max(newest, ended->second->version);
    }
    BOOST_TEST(operation.version >= newest + (operation.write ? 1 : 0),
               "version " << operation.version << " after version " << newest
                          << (operation.write ? " (write)" : " (read)"));
  }
}

}  // namespace

// Guards against lost, reverted or duplicated changes, stale reads, orders that
// run twice and wrong "not_run" responses, while processes are killed and
// suspended.
BOOST_AUTO_TEST_CASE(ChangesReadsAndOrdersUnderFaults) {
  FleetOptions options;
  options.engines = 0;
  TestFleet fleet(options);
  const TimePoint end = SystemClock().Now() + kRunTime;
  History history;
  std::map<std::string, OrderOutcome> outcomes;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(kWriters + kReaders + kOrderCallers);
  for (int i = 0; i < kWriters; ++i) {
    threads.emplace_back([&, i] { Write(fleet, i, end, history); });
  }
  for (int i = 0; i < kReaders; ++i) {
    threads.emplace_back([&] {
      while (SystemClock().Now() < end) {
        if (const auto read = Read(fleet)) {
          history.Add(*read);
        }
      }
    });
  }
  for (int i = 0; i < kOrderCallers; ++i) {
    threads.emplace_back(
        [&, i] { PlaceOrders(fleet, i, end, outcomes, mutex); });
  }
  InjectFaults(fleet, end);
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const std::string& error : history.errors) {
    BOOST_ERROR(error);
  }
  CheckLinearizable(history.operations);
  const Json::Value runs = fleet.Stats(fleet.Service(0))["runs_by_key"];
  int completed = 0;
  int not_run = 0;
  for (const auto& [key, outcome] : outcomes) {
    const int count = runs[key].asInt();
    BOOST_TEST(count <= 1, key << " ran " << count << " times");
    BOOST_TEST(!outcome.responses_differ, key);
    if (outcome.complete_responses > 0) {
      BOOST_TEST(count == 1, key);
    }
    if (outcome.not_run_responses > 0) {
      BOOST_TEST(count == 0, key << " got a not_run response");
    }
    completed += outcome.complete_responses > 0 ? 1 : 0;
    not_run += outcome.not_run_responses > 0 ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(history.operations.size()
                     << " operations, " << outcomes.size() << " orders, "
                     << completed << " completed, " << not_run << " not run");
  BOOST_TEST(history.operations.size() > 20U);
  BOOST_TEST(completed > 10);
}

}  // namespace sycamorebend
