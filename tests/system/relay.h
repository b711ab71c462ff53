// TCP relay that injects network faults between two processes.
#ifndef SYCAMOREBEND_TESTS_SYSTEM_RELAY_H_
#define SYCAMOREBEND_TESTS_SYSTEM_RELAY_H_

#include <poll.h>

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sycamorebend {

// Treatment of the bytes in one direction.
enum class RelayMode : int {
  kPass = 0,
  // Bytes are received and dropped; the connection stays open.
  kDrop = 1,
};

class Relay {
 public:
  // Listens on `listen_address` and opens a connection to `target` for each
  // accepted connection.
  Relay(const std::string& listen_address, const std::string& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& Address() const { return this->address; }

  // Sets the modes of both directions, for open and new connections.
  void SetMode(RelayMode to_target, RelayMode from_target);
  // Closes all connections and refuses new ones until Restore.
  void Cut();
  // Forwards everything again. Closes connections that lost bytes.
  void Restore();
  // Drops all bytes on the open connections from now on; new connections work.
  void DropOnOpenConnections();

 private:
  // An accepted connection and the connection to the target.
  struct Link {
    int client = -1;
    int target = -1;
    bool drops_data = false;
    bool lost_bytes = false;
    bool closed = false;
    // Sides whose peer closed its connection while bytes were dropped.
    bool client_ended = false;
    bool target_ended = false;
  };

  void Run();
  void Accept();
  void ForwardAll(const std::vector<pollfd>& polled);
  void Forward(Link& link, bool from_client);
  void CloseLinks(bool all);
  static void Close(Link& link);

  const std::string address;
  const std::string target;
  int listener = -1;
  std::mutex mutex;
  std::list<Link> links;
  RelayMode to_target = RelayMode::kPass;
  RelayMode from_target = RelayMode::kPass;
  bool cut = false;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_SYSTEM_RELAY_H_
