#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>

#include <json/writer.h>

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "control_node.h"
#include "ctl/commands.h"
#include "ctl/document_diff.h"
#include "ctl/help.h"
#include "ctl/options.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {

// Prints the exit code in assertions.
std::ostream& operator<<(std::ostream& out, CtlExit code) {
  return out << static_cast<int>(code);
}

namespace {

// A fake entry daemon that serves the operators' RPC methods.
class EntryService : public RpcService {
 public:
  Result<Json::Value> Call(const std::string& method,
                           const Json::Value& params) override {
    Json::Value response;
    if (method == "entry.status") {
      response["configuration_version"] =
          Json::UInt64(this->configuration_version.load());
      response["shared_version"] = Json::UInt64(this->shared_version.load());
      return response;
    }
    if (method == "entry.servers") {
      Json::Value server;
      server["server_id"] = "engine-1";
      server["state"] = "serving";
      server["labels"]["model"] = "repair";
      server["report_age_ms"] = 5;
      response["servers"].append(server);
      return response;
    }
    if (method == "entry.explain") {
      if (params["class"] == "none") {
        return MakeError(ResultCode::kUnknownClass, "there is no class none");
      }
      response["class"] = "repair";
      response["selector"] = "model=repair";
      response["reason"] = "least loaded";
      Json::Value candidate;
      candidate["server_id"] = "engine-1";
      candidate["rejection"] = "drained by an operator";
      response["candidates"].append(candidate);
      return response;
    }
    return MakeError(ResultCode::kUnknownCommand, method);
  }

  std::atomic<std::uint64_t> configuration_version{0};
  std::atomic<std::uint64_t> shared_version{0};
};

struct Fixture {
  Fixture() {
    char name[] = "/tmp/sycamorebend_ctl_test_XXXXXX";
    const int descriptor = mkstemp(name);
    BOOST_REQUIRE(descriptor >= 0);
    close(descriptor);
    this->file = name;
    this->Write(1);
  }
  ~Fixture() { std::remove(this->file.c_str()); }

  // Writes a configuration document whose class has the given queue limit.
  void Write(int max_queue) const {
    std::ofstream out(this->file);
    out << R"({ "tiers": ["urgent"], // highest first
               "classes": [{"name": "r", "tier": "urgent", "max_queue": )"
        << max_queue << "}]}";
  }

  CtlExit Ctl(std::vector<std::string> arguments,
              const std::string& control = "") {
    this->out.str("");
    this->err.str("");
    arguments.push_back("--control=" +
                        (control.empty() ? this->node.Address() : control));
    return RunCtl(arguments, *this->rpc, this->clock, this->out, this->err);
  }

  CtlExit Apply(int expected, const std::string& more = "--output=table") {
    return this->Ctl({"apply", this->file,
                      "--expected-version=" + std::to_string(expected), more});
  }

  void JoinEntry(const std::string& address) {
    this->node.log.Commit(
        R"({"type":"entry.join","entry_id":"e1","incarnation":"1","address":")" +
        address + "\"}");
  }

  bool Printed(const std::string& text) const {
    return this->out.str().find(text) != std::string::npos;
  }
  bool PrintedError(const std::string& text) const {
    return this->err.str().find(text) != std::string::npos;
  }

  SystemClock clock;
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
  std::unique_ptr<RpcClient> rpc = RpcClient::Create(*client);
  ControlNode node{*rpc, clock};
  std::string file;
  std::ostringstream out;
  std::ostringstream err;
};

}  // namespace

// Checks the cycle of an operator's change: show, edit, diff, dry run and
// apply.
BOOST_FIXTURE_TEST_CASE(ShowEditDiffApply, Fixture) {
  BOOST_TEST(this->Ctl({"show"}) == CtlExit::kOk);
  BOOST_TEST(this->PrintedError("version 0"));
  BOOST_TEST(this->Apply(0) == CtlExit::kOk);
  BOOST_TEST(this->Printed("version 1 accepted"));
  BOOST_TEST(this->Ctl({"show"}) == CtlExit::kOk);
  BOOST_TEST(ParseJson(this->out.str()).value()["classes"][0]["name"] == "r");
  this->Write(2);
  BOOST_TEST(this->Ctl({"diff", this->file}) == CtlExit::kOk);
  BOOST_TEST(this->out.str() == "~ classes[r].max_queue: 1 -> 2\n");
  BOOST_TEST(this->Ctl({"dry-run", this->file}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("max_queue: 1 -> 2"));
  BOOST_TEST(this->Apply(1) == CtlExit::kOk);
  BOOST_TEST(this->Ctl({"diff", "2", "1"}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("max_queue: 2 -> 1"));
  BOOST_TEST(this->Ctl({"show", "--version=1", "--output", "json"}) ==
             CtlExit::kOk);
  BOOST_TEST(ParseJson(this->out.str()).value()["version"].asInt() == 1);
  BOOST_TEST(this->Ctl({"history"}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("CHANGE ID"));
}

// Guards against exit codes that don't distinguish the outcomes for scripts.
BOOST_FIXTURE_TEST_CASE(ExitCodes, Fixture) {
  BOOST_TEST(this->Apply(0) == CtlExit::kOk);
  BOOST_TEST(this->Apply(0) == CtlExit::kConflict);
  BOOST_TEST(this->PrintedError("version 1 is change"));
  BOOST_TEST(this->Ctl({"dry-run", this->file, "--expected-version=0"}) ==
             CtlExit::kConflict);
  std::ofstream(this->file) << R"({"tiers": 3})";
  BOOST_TEST(this->Apply(1) == CtlExit::kRefused);
  BOOST_TEST(this->PrintedError("tiers"));
  std::ofstream(this->file) << "{";
  BOOST_TEST(this->Apply(1) == CtlExit::kUsage);
  BOOST_TEST(this->Ctl({"show", "--timeout-ms=200"}, "127.0.0.1:1") ==
             CtlExit::kUnreachable);
  BOOST_TEST(this->Ctl({"status"}, "127.0.0.1:1") == CtlExit::kUnreachable);
  BOOST_TEST(this->Ctl({"show", "--version=9"}) == CtlExit::kRefused);
}

// Guards against log commands that need running processes.
BOOST_FIXTURE_TEST_CASE(LogsAreExplainedWithoutProcesses, Fixture) {
  std::ofstream(this->file)
      << R"({"time_ms":1000,"name":"request_rejected","request_id":"a1",)"
      << R"("status":404,"reason":"no route matches"})"
      << "\n";
  const std::string log = "--log=" + this->file;
  BOOST_TEST(this->Ctl({"explain", "a1", log}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("no route matches"));
  BOOST_TEST(this->Ctl({"explain", "b2", log}) == CtlExit::kRefused);
  BOOST_TEST(this->Ctl({"explain", log}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("a1"));
  BOOST_TEST(this->Ctl({"report", log}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("ATTAINED"));
}

// Guards against mistyped commands that have an effect.
BOOST_FIXTURE_TEST_CASE(UsageErrors, Fixture) {
  const std::vector<std::vector<std::string>> mistakes = {
      {},
      {"aply"},
      {"apply"},
      {"apply", "none.json", "--expected-version=0"},
      {"apply", this->file},
      {"apply", this->file, "--expected-version=x"},
      {"show", "--colour=red"},
      {"show", "--output=xml"},
      {"show", "extra"},
      {"diff", "1", "x"},
      {"drain"},
      {"explain"},
      {"explain", "id", "--labels=a=b"},
      {"explain", "id", "more", "--log=x"},
      {"explain", "id", "--log=/nonexistent/x.log"},
      {"report"},
      {"report", "--log=/nonexistent/x.log"},
      {"report", "--log=x", "--interval-ms=0"},
      {"replica"},
      {"replica", "add", "1"},
      {"replica", "promote", "x"},
      {"show", "--entry=nowhere"},
      {"show", "--limit"},
  };
  for (const std::vector<std::string>& arguments : mistakes) {
    BOOST_TEST(this->Ctl(arguments) == CtlExit::kUsage);
    BOOST_TEST(!this->err.str().empty());
  }
  BOOST_TEST(this->Ctl({"show"}, "nowhere") == CtlExit::kUsage);
  BOOST_TEST(RunCtl({"show"}, *this->rpc, this->clock, this->out, this->err) ==
             CtlExit::kUsage);
  BOOST_TEST(this->node.state->Shared()->configuration_version == 0U);
}

// Guards against a change that is applied twice or reported as failed when its
// response is lost.
BOOST_FIXTURE_TEST_CASE(LostResponseIsRetriedWithTheSameId, Fixture) {
  this->node.log.lose_next_response = true;
  BOOST_TEST(this->Apply(0) == CtlExit::kOk);
  BOOST_TEST(this->Printed("version 1 accepted"));
  BOOST_TEST(this->node.state->Shared()->configuration_version == 1U);
}

// Guards against a manual retry, with an explicit change ID, that conflicts
// with the first attempt.
BOOST_FIXTURE_TEST_CASE(ExplicitChangeIdIsIdempotent, Fixture) {
  BOOST_TEST(this->Apply(0, "--change-id=mine") == CtlExit::kOk);
  BOOST_TEST(this->Apply(0, "--change-id=mine") == CtlExit::kOk);
  BOOST_TEST(this->Printed("version 1 accepted"));
  this->Write(2);
  BOOST_TEST(this->Apply(1, "--change-id=mine") == CtlExit::kRefused);
  BOOST_TEST(this->PrintedError("change_id_reused"));
}

// Guards against a client that fails at a follower or at a dead replica.
BOOST_FIXTURE_TEST_CASE(LeaderIsFound, Fixture) {
  ControlNode follower(*this->rpc, this->clock);
  follower.log.Follow(this->node.Address());
  BOOST_TEST(this->Ctl({"drain", "s1"}, follower.Address()) == CtlExit::kOk);
  BOOST_TEST(this->node.state->Shared()->drained_servers.count("s1") == 1U);
  BOOST_TEST(this->Ctl({"undrain", "s1"},
                       "127.0.0.1:1," + this->node.Address()) == CtlExit::kOk);
  // The follower still gives the address of a dead leader.
  follower.log.Follow("127.0.0.1:1");
  BOOST_TEST(this->Ctl({"show"}, follower.Address() + "," +
                                     this->node.Address()) == CtlExit::kOk);
}

// Guards against --wait returning before the change is in force, or never.
BOOST_FIXTURE_TEST_CASE(WaitUntilInForce, Fixture) {
  EntryService entry;
  RpcNode entry_node(entry);
  this->JoinEntry(entry_node.Address());
  BOOST_TEST(this->Ctl({"apply", this->file, "--expected-version=0", "--wait",
                        "--wait-timeout-ms=300"}) == CtlExit::kTimedOut);
  BOOST_TEST(this->PrintedError("waiting for e1"));
  BOOST_TEST(this->node.state->Shared()->configuration_version == 1U);
  entry.configuration_version = 2;
  this->Write(2);
  BOOST_TEST(this->Ctl({"apply", this->file, "--expected-version=1",
                        "--wait"}) == CtlExit::kOk);
  BOOST_TEST(this->PrintedError("in force at 1 entry daemons"));
  entry.shared_version = 1000;
  BOOST_TEST(this->Ctl({"drain", "s1", "--wait"}) == CtlExit::kOk);
}

// Guards against a status that doesn't show unreachable daemons.
BOOST_FIXTURE_TEST_CASE(StatusShowsFailures, Fixture) {
  this->JoinEntry("127.0.0.1:1");
  BOOST_TEST(this->Ctl({"status"}, this->node.Address() + ",127.0.0.1:2") ==
             CtlExit::kOk);
  BOOST_TEST(this->Printed("leader"));
  BOOST_TEST(this->Printed("unreachable"));
  BOOST_TEST(this->Printed("e1"));
  BOOST_TEST(this->Ctl({"status", "--output=json"}) == CtlExit::kOk);
  const Json::Value status = ParseJson(this->out.str()).value();
  BOOST_TEST(status["entries"][0]["error"].isString());
}

// Guards against responses of entry daemons that are not printed.
BOOST_FIXTURE_TEST_CASE(EntryDaemonResponsesArePrinted, Fixture) {
  EntryService entry;
  RpcNode entry_node(entry);
  BOOST_TEST(this->Ctl({"servers"}) == CtlExit::kUnreachable);
  this->JoinEntry(entry_node.Address());
  BOOST_TEST(this->Ctl({"servers"}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("model=repair"));
  BOOST_TEST(this->Ctl({"servers", "--entry=" + entry_node.Address(),
                        "--output=json"}) == CtlExit::kOk);
  BOOST_TEST(ParseJson(this->out.str()).value()["servers"].size() == 1U);
  BOOST_TEST(this->Ctl({"explain", "--labels=kind=repair"}) == CtlExit::kOk);
  BOOST_TEST(this->Printed("drained by an operator"));
  BOOST_TEST(this->Ctl({"explain", "5f0c"}) == CtlExit::kOk);
  BOOST_TEST(this->Ctl({"explain", "--class=none"}) == CtlExit::kRefused);
}

// Guards against replica set changes that reach the log with wrong values.
BOOST_FIXTURE_TEST_CASE(ReplicasAreChanged, Fixture) {
  BOOST_TEST(this->Ctl({"replica", "add", "2", "127.0.0.1:7002"}) ==
             CtlExit::kOk);
  BOOST_TEST(this->Printed("127.0.0.1:7002"));
  BOOST_TEST(this->Ctl({"replica", "promote", "2"}) == CtlExit::kOk);
  BOOST_TEST(this->node.log.GetStatus().replicas[1].voter);
  BOOST_TEST(this->Ctl({"replica", "remove", "2"}) == CtlExit::kOk);
  BOOST_TEST(this->node.log.GetStatus().replicas.size() == 1U);
}

// Guards against a subcommand without a help text or an example.
BOOST_AUTO_TEST_CASE(EverySubcommandHasHelp) {
  for (const char* command :
       {"apply", "show", "diff", "history", "dry-run", "servers", "drain",
        "undrain", "status", "explain", "replica", "report"}) {
    const std::string help = CtlHelp(command);
    BOOST_TEST(help.find("Example") != std::string::npos, command);
    BOOST_TEST(help.find(std::string("sycamorebend-ctl ") + command) !=
                   std::string::npos,
               command);
    BOOST_TEST(
        CtlHelp("").find(std::string("\n  ") + command) != std::string::npos,
        command);
  }
}

// Guards against differences that are not printed.
BOOST_AUTO_TEST_CASE(DifferencesAreComplete) {
  const Json::Value before =
      ParseJson(
          R"({"a":1,"list":[{"name":"x","v":1},{"name":"y"}],"gone":[1]})")
          .value();
  const Json::Value after =
      ParseJson(R"({"a":2,"list":[{"name":"z"},{"name":"x","v":2}],"new":"n"})")
          .value();
  const std::vector<std::string> expected = {
      "~ a: 1 -> 2",
      "- gone: [1]",
      "~ list[x].v: 1 -> 2",
      R"(- list[y]: {"name":"y"})",
      R"(+ list[z]: {"name":"z"})",
      R"(+ new: "n")",
  };
  const std::vector<std::string> lines = DescribeDifferences(before, after);
  BOOST_TEST(lines == expected, boost::test_tools::per_element());
  const Json::Value one = ParseJson(R"([{"name":"x"},{"name":"y"}])").value();
  const Json::Value two = ParseJson(R"([{"name":"y"},{"name":"x"}])").value();
  BOOST_TEST(DescribeDifferences(one, two).size() == 1U);
  BOOST_TEST(DescribeDifferences(one, one).empty());
}

}  // namespace sycamorebend
