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
    // Entry daemons that are asked first.
    std::vector<std::string> entry_addresses;
    // A renewed announcement brings the current `report_to`.
    Duration announce_interval = seconds(2);
    // @return the fields of the announcement besides ID and incarnation.
    std::function<Json::Value()> describe;
    // @param first_seq the first cache event that the receiver lacks.
    // @param next_seq set to the event that follows those in the report.
    // @return the fields of a report besides ID, incarnation, seq and state.
    std::function<Json::Value(std::uint64_t first_seq, std::uint64_t* next_seq)>
        report;
  };

  Announcer(const Clock& clock, Options options);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  // Announces again at once, because the description changed.
  void Renew();

  // Tells the entry daemons that the server is leaving; reports go on.
  void Leave();

  // Stops or continues all messages, as a server without a network would.
  void SetSilent(bool silent);

 private:
  struct Target {
    bool announced = false;
    bool busy = false;
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
  void ReadAnswer(const std::string& address, const std::string& body);
  Json::Value Identity() const;

  const Clock& clock;
  const Options options;
  std::map<std::string, Target> targets;
  // Addresses that an entry daemon named in its last answers, and when. The
  // lists of different entry daemons differ while the fleet changes, so that
  // an address is kept for a while after the last list that names it.
  std::map<std::string, TimePoint> report_to;
  std::size_t next_seed = 0;
  TimePoint next_announcement;
  TimePoint next_report;
  Duration report_interval = milliseconds(500);
  std::uint64_t sequence = 0;
  bool leaving = false;
  bool silent = false;
  // Its thread uses the members above.
  ControlThread thread;
  // Declared last: its threads post to `thread` until it is destroyed.
  std::unique_ptr<HttpClient> client = HttpClient::Create(1);
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_FAKES_ANNOUNCER_H_
