// Backend servers that announced themselves to the control replicas, and
// tombstones of those that left. Part of the deterministic state machine.
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
  // Applies an announcement. It is ignored if it is not newer than the known
  // record of the server, if another server with a later incarnation has the
  // address, or if this or a later incarnation has left.
  // @return true if the directory changed, other than in sequence numbers.
  bool Announce(const ServerRecord& record, std::int64_t now_ms);

  // Removes a server and keeps a tombstone for it. While the tombstone exists,
  // announcements of this or an earlier incarnation are ignored. Incarnation 0
  // means the current one.
  bool Leave(const std::string& server_id,
             std::uint64_t incarnation,
             std::int64_t now_ms);

  // Marks a server whose announcements have stopped.
  bool SetSilent(const std::string& server_id, std::uint64_t incarnation);

  // Removes a server that has been silent for long. A new announcement adds it
  // again.
  bool Expire(const std::string& server_id, std::uint64_t incarnation);

  const std::map<std::string, ServerRecord>& Records() const {
    return this->records;
  }

  Json::Value Save() const;
  void Load(const Json::Value& saved);

 private:
  struct Tombstone {
    std::uint64_t incarnation = 0;
    std::int64_t time_ms = 0;
  };

  // @return true if another server with a later incarnation has the address.
  bool HasNewerServerAtAddress(const ServerRecord& record) const;
  void RemoveOthersAtAddress(const ServerRecord& record);
  void ExpireTombstones(std::int64_t now_ms);

  std::map<std::string, ServerRecord> records;
  // Servers that left, by ID, so that a delayed announcement does not add them
  // again.
  std::map<std::string, Tombstone> tombstones;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_SERVER_DIRECTORY_H_
