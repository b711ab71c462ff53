// Backend servers that announce themselves to the control replicas: which
// incarnations are live, leaving or gone. Deterministic, part of the state
// machine.
#ifndef SYCAMOREBEND_SRC_CONTROL_SERVER_DIRECTORY_H_
#define SYCAMOREBEND_SRC_CONTROL_SERVER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include <json/value.h>

#include "sycamorebend/control.h"

namespace sycamorebend {
namespace internal {

class ServerDirectory {
 public:
  // Takes an announcement. One that is older than what is known of the same
  // server or of its address changes nothing.
  // @return true if the directory changed.
  bool Announce(const ServerRecord& record, std::int64_t now_ms);

  // Removes a server for good: later announcements of this or an earlier
  // incarnation are ignored. Incarnation 0 stands for the one that is known.
  bool Leave(const std::string& server_id,
             std::uint64_t incarnation,
             std::int64_t now_ms);

  // Marks a server from which nothing is heard.
  bool SetSilent(const std::string& server_id, std::uint64_t incarnation);

  // Removes a server that was silent for long. An announcement brings it back.
  bool Expire(const std::string& server_id, std::uint64_t incarnation);

  const std::map<std::string, ServerRecord>& Records() const {
    return this->records;
  }

  Json::Value Save() const;
  void Load(const Json::Value& saved);

 private:
  struct Departure {
    std::uint64_t incarnation = 0;
    std::int64_t time_ms = 0;
  };

  // @return true if another server holds the address and started later.
  bool AddressTaken(const ServerRecord& record) const;
  void RemoveOthersAt(const ServerRecord& record);
  void ForgetDepartures(std::int64_t now_ms);

  std::map<std::string, ServerRecord> records;
  // Servers that left, so that a delayed announcement does not revive them.
  std::map<std::string, Departure> departed;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_SERVER_DIRECTORY_H_
