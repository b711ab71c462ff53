// Announcements and reports of backend servers.
#ifndef SYCAMOREBEND_SRC_ENTRY_BACKEND_API_H_
#define SYCAMOREBEND_SRC_ENTRY_BACKEND_API_H_

#include <memory>
#include <string>

#include "entry/request_router.h"
#include "entry/shared_view.h"
#include "sycamorebend/http.h"
#include "sycamorebend/membership.h"

namespace sycamorebend::entry {

// Reads the body of POST /backend/v1/announce.
// @return kMalformedRequest naming the key that is wrong.
Result<ServerAnnouncement> ParseAnnouncement(const std::string& body);

// Reads the body of POST /backend/v1/report.
Result<ServerReport> ParseReport(const std::string& body);

struct BackendApiOptions {
  // Address of this daemon.
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
  // Answers with the lease and the addresses to report to.
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
