// Announces a fake backend server to entry daemons and reports its load, as
// docs/design.md, section 3.5, describes.
#ifndef SYCAMOREBEND_TESTS_FAKES_ANNOUNCER_H_
#define SYCAMOREBEND_TESTS_FAKES_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend {

class Announcer {
 public:
  struct Options {
    std::string server_id;
    std::string incarnation;
    // Entry daemons to announce to first.
    std::vector<std::string> entry_addresses;
    // The announcement is repeated at this interval to get the current
    // `report_to`.
    Duration announce_interval = seconds(2);
    // @return the fields of an announcement other than ID and incarnation.
    std::function<Json::Value()> describe;
    // @param first_seq number of the first cache event that the receiver lacks.
    // @param next_seq set to the number after the last event in the report.
    // @return the fields of a report other than ID, incarnation, seq and state.
    std::function<Json::Value(std::uint64_t first_seq, std::uint64_t* next_seq)>
        report;
  };

  Announcer(const Clock& clock, Options options);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  // Repeats the announcement at once. Called when the description changes.
  void AnnounceNow();

  // Tells the entry daemons that the server is leaving. Reports continue.
  void Leave();

  // Stops or resumes all messages, to simulate a server without a network.
  void SetSilent(bool silent);

 private:
  struct Target {
    bool announced = false;
    bool call_pending = false;
    std::uint64_t next_cache_event = 1;
  };

  void Tick();
  void Announce(const std::string& address);
  void Report(const std::string& address);
  void Post(const std::string& address,
            const std::string& path,
            const Json::Value& body,
            std::function<void(int status, const std::string& body)> done);
  void OnAnnounced(const std::string& address,
                   int status,
                   const std::string& body);
  void OnReported(const std::string& address,
                  std::uint64_t next_cache_event,
                  int status,
                  const std::string& body);
  void ReadResponse(const std::string& address, const std::string& body);
  Json::Value Identity() const;

  const Clock& clock;
  const Options options;
  std::map<std::string, Target> targets;
  // Addresses that entry daemons listed in `report_to`, with the time of the
  // last list that has them. Entry daemons return different lists while the
  // set of daemons changes, so an address is kept for kReportTargetLifetime.
  std::map<std::string, TimePoint> report_to;
  std::size_t next_announce_address = 0;
  TimePoint next_announcement;
  TimePoint next_report;
  Duration report_interval = milliseconds(500);
  std::uint64_t sequence = 0;
  bool leaving = false;
  bool silent = false;
  // Declared after the members that its tasks use.
  ControlThread thread;
  // Declared last, because its threads post to `thread` until it is destroyed.
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_ANNOUNCER_H_
