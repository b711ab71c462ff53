// HTTP interface for backend servers: announcements, load reports and
// notices that a server is leaving.
#ifndef SYCAMOREBEND_SRC_ENTRY_BACKEND_API_H_
#define SYCAMOREBEND_SRC_ENTRY_BACKEND_API_H_

#include <memory>
#include <string>

#include "entry/request_router.h"
#include "entry/shared_view.h"
#include "sycamorebend/http.h"
#include "sycamorebend/membership.h"

namespace sycamorebend::entry {

// Parses the body of POST /backend/v1/announce.
// @return the announcement, or kMalformedRequest naming the invalid key.
Result<ServerAnnouncement> ParseAnnouncement(const std::string& body);

// Parses the body of POST /backend/v1/report. Errors as for
// ParseAnnouncement.
Result<ServerReport> ParseReport(const std::string& body);

struct BackendApiOptions {
  // Address of this daemon, as the shared state lists it.
  std::string address;
  std::size_t report_fanout = kDefaultReportFanout;
};

// Serves /backend/v1/.
class BackendApi {
 public:
  BackendApi(BackendApiOptions options,
             const SharedView& view,
             RequestRouter& router,
             ControlThread& control,
             const Clock& clock);

  void Handle(std::shared_ptr<HttpExchange> exchange);

 private:
  void Announce(const std::shared_ptr<HttpExchange>& exchange);
  void Report(const std::shared_ptr<HttpExchange>& exchange);
  void Leave(const std::shared_ptr<HttpExchange>& exchange);
  std::vector<std::string> ReportTargets(
      const ServerAnnouncement& announcement) const;
  // Responds with the lease, the report interval and the addresses to report
  // to.
  void Accept(HttpExchange& exchange,
              const ServerAnnouncement& announcement) const;

  const BackendApiOptions options;
  const SharedView& view;
  RequestRouter& router;
  ControlThread& control;
  const Clock& clock;
};

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_BACKEND_API_H_
