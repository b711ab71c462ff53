#include "ctl/help.h"

#include <map>

namespace sycamorebend {

namespace {

constexpr char kOverview[] =
    R"(sycamorebend-ctl: shows and changes the configuration of a deployment.

  sycamorebend-ctl COMMAND [ARGUMENTS] --control=IP:port[,IP:port...] [FLAGS]

Configuration
  show        print the configuration in force, or an older version
  diff        compare a file with the configuration in force, or two versions
  dry-run     check a file without changing anything
  apply       make a file the configuration in force
  history     list the changes: when, by whom, under which change ID
Backend servers
  servers     list the backend servers that entry daemons know
  drain       send no new work to a backend server
  undrain     send work to it again
Deployment
  status      show control replicas and entry daemons
  explain     show how a request is or was routed, and why
  replica     add, promote or remove a control replica
  duties      show which VM reports usage and orders servers, and its calls
Logs
  explain     with --log: find out from logs how a request ended, and why
  report      attainment, refusals and failures over time, from logs

Flags
  --control=ADDR,ADDR    one or more control replicas; the leader is found
  --entry=ADDR           entry daemon, for servers and explain
  --output=table|json    form of the result (table)
  --timeout-ms=N         time to reach the leader, including retries (10000)

"sycamorebend-ctl COMMAND --help" explains a command with examples.

Exit codes
  0 done   1 refused   2 wrong usage   3 no replica could decide
  4 another change was accepted first   5 --wait timed out
)";

constexpr char kApply[] =
    R"(sycamorebend-ctl apply FILE --expected-version=N --control=ADDR,ADDR

Makes the document in FILE the configuration. N is the version that the file is
based on; "show" prints it, and it is 0 for the first configuration. If another
operator's change was accepted since, the change is refused with exit code 4 and
the error names that change: review it with "diff", and apply again.

  --change-id=ID         Resends a change whose response was lost. The ID is
                         printed on standard error by each run. A change that was
                         accepted returns its first result and is not applied
                         twice.
  --operator=NAME        Recorded with the change ($USER).
  --wait                 Returns when every live entry daemon routes by the
                         change. Progress goes to standard error.
  --wait-timeout-ms=N    Time limit of --wait (30000), then exit code 5. The
                         change itself stays accepted.

Examples
  sycamorebend-ctl apply fleet.json --expected-version=0 --control=10.0.0.1:7000
  sycamorebend-ctl apply fleet.json --expected-version=7 --wait \
      --control=10.0.0.1:7000,10.0.0.2:7000
  sycamorebend-ctl apply fleet.json --expected-version=7 \
      --change-id=1764806400000-4f1c9a0b77de2e31 --control=10.0.0.2:7000
)";

constexpr char kShow[] =
    R"(sycamorebend-ctl show [--version=N] --control=ADDR,ADDR

Prints the configuration in force, or version N if it is still kept. The version
and the change that made it go to standard error, so that the output is a
document that "apply" accepts. --output=json prints one object with version,
change_id, operator, time_ms and document.

Examples
  sycamorebend-ctl show --control=10.0.0.1:7000 > fleet.json
  sycamorebend-ctl show --version=6 --control=10.0.0.1:7000
)";

constexpr char kDiff[] =
    R"(sycamorebend-ctl diff FILE --control=ADDR,ADDR
sycamorebend-ctl diff N M --control=ADDR,ADDR

Prints what would change if FILE were applied, or what changed from version N to
version M. Members of lists are matched by name.

  ~ customers[line-7].weight: 1 -> 2      other value
  + classes[riser-chart]: {...}           new
  - server_labels.engine-4: {...}         gone

Examples
  sycamorebend-ctl diff fleet.json --control=10.0.0.1:7000
  sycamorebend-ctl diff 6 7 --control=10.0.0.1:7000
)";

constexpr char kHistory[] =
    R"(sycamorebend-ctl history [--limit=N] --control=ADDR,ADDR

Lists the newest N (20) changes of the configuration, newest first.

Example
  sycamorebend-ctl history --limit=5 --control=10.0.0.1:7000
)";

constexpr char kDryRun[] =
    R"(sycamorebend-ctl dry-run FILE [--expected-version=N] --control=ADDR,ADDR

Checks the document in FILE as "apply" would and prints the differences, without
changing anything. With --expected-version, exit code 4 means that another
version is in force.

Example
  sycamorebend-ctl dry-run fleet.json --control=10.0.0.1:7000
)";

constexpr char kServers[] =
    R"(sycamorebend-ctl servers [--entry=ADDR] [--control=ADDR,ADDR]

Lists the backend servers with their labels, load and the age of their last
report. Without --entry, every live entry daemon is asked and the newest report
of each server is shown: an entry daemon tracks only a part of a large fleet.

Examples
  sycamorebend-ctl servers --control=10.0.0.1:7000
  sycamorebend-ctl servers --entry=10.0.0.4:8080 --output=json
)";

constexpr char kDrain[] =
    R"(sycamorebend-ctl drain SERVER_ID [--wait] --control=ADDR,ADDR
sycamorebend-ctl undrain SERVER_ID [--wait] --control=ADDR,ADDR

drain: no entry daemon sends new work to the backend server; requests in flight
are finished. undrain: it receives work again. --change-id and --wait work as
for "apply".

Examples
  sycamorebend-ctl drain engine-12 --wait --control=10.0.0.1:7000
  sycamorebend-ctl undrain engine-12 --control=10.0.0.1:7000
)";

constexpr char kStatus[] =
    R"(sycamorebend-ctl status --control=ADDR,ADDR

Shows every control replica (role, position in the log, age of the last
confirmation by a quorum) and every live entry daemon (versions in force,
confirmation age, requests in flight and queued). Exit code 3 if no control
replica responds.

Example
  sycamorebend-ctl status --control=10.0.0.1:7000,10.0.0.2:7000
)";

constexpr char kExplain[] =
    R"(sycamorebend-ctl explain REQUEST_ID --entry=ADDR
sycamorebend-ctl explain [--labels=a=b,c=d] [--class=NAME] [--customer=NAME]
                         [--model=NAME] --entry=ADDR

sycamorebend-ctl explain [REQUEST_ID] --log=FILE[,FILE...]

Shows how the entry daemon routed a recent request, or how it would route one
with these labels now: the class, its selector, the reason, and each candidate
server with its score or the reason why it was not taken. REQUEST_ID is the value
of the X-Sycamorebend-Request-Id header. Without --entry, the first live entry
daemon is asked.

With --log, no process is called: the logs of gateways and control replicas are
read, and the cause of the request's end is printed with the log lines that
support it, in order of time. Without a REQUEST_ID, the causes of all requests
that were not served are counted, with an example of each. Exit code 1 if no log
names the request.

Examples
  sycamorebend-ctl explain 5f0c7e --log=gateway-1.log,gateway-2.log
  sycamorebend-ctl explain 5f0c7e --entry=10.0.0.4:8080
  sycamorebend-ctl explain --labels=kind=repair,urgent=yes --customer=line-7 \
      --entry=10.0.0.4:8080
)";

constexpr char kReplica[] =
    R"(sycamorebend-ctl replica add ID IP:port --control=ADDR,ADDR
sycamorebend-ctl replica promote ID --control=ADDR,ADDR
sycamorebend-ctl replica remove ID --control=ADDR,ADDR

Changes the set of control replicas, one replica at a time. A new replica starts
with "join": true in its settings, is added as a learner, and is promoted when it
has caught up with the log. A replica ID is never reused: a replica that lost its
disk comes back with a new ID.

Example: replace replica 2, whose disk is lost, by replica 4
  sycamorebend-ctl replica add 4 10.0.0.4:7000 --control=10.0.0.1:7000
  sycamorebend-ctl replica promote 4 --control=10.0.0.1:7000
  sycamorebend-ctl replica remove 2 --control=10.0.0.1:7000
)";

constexpr char kDuties[] =
    R"(sycamorebend-ctl duties --control=ADDR,ADDR

Shows, for each duty of the deployment, the VM that holds it, since when and with
which fencing token, the number of its calls by result and the last one; then the
newest windows of usage and whether the platform accepted them; then the engines
of each service as announced and as ordered, with the reason of the last order.
Calls are counted by the leader since it started. --output=json prints everything.

Example
  sycamorebend-ctl duties --control=10.0.0.1:7000,10.0.0.2:7000
)";

constexpr char kReport[] =
    R"(sycamorebend-ctl report --log=FILE[,FILE...] [--interval-ms=N] [--svg=FILE]

Counts the requests of gateways that ended in each interval, and of each route:
in time, late, refused (429 and 503) and failed, with the share that was in time
and the slowest response. --svg writes a chart of the shares over time.

Example
  sycamorebend-ctl report --log=gateway-1.log,gateway-2.log --svg=day.svg
)";

}  // namespace

std::string CtlHelp(const std::string& command) {
  static const std::map<std::string, const char*> kTexts = {
      {"apply", kApply},     {"show", kShow},       {"diff", kDiff},
      {"history", kHistory}, {"dry-run", kDryRun},  {"servers", kServers},
      {"drain", kDrain},     {"undrain", kDrain},   {"status", kStatus},
      {"explain", kExplain}, {"replica", kReplica}, {"report", kReport},
      {"duties", kDuties},
  };
  const auto found = kTexts.find(command);
  return found == kTexts.end() ? kOverview : found->second;
}

}  // namespace sycamorebend
