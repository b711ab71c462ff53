// TCP relay between two processes whose links can be cut in a test.
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

// What happens to the bytes of one direction.
enum class RelayMode : int {
  kPass = 0,
  // Bytes are received and dropped; the connection stays open.
  kDrop = 1,
};

class Relay {
 public:
  // Listens on `listen_address` and connects to `target` for each connection.
  Relay(const std::string& listen_address, const std::string& target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::string& Address() const { return this->address; }

  // Changes both directions, also of open connections.
  void SetMode(RelayMode to_target, RelayMode from_target);
  // Closes all connections and refuses new ones until Restore.
  void Cut();
  // Passes everything again. Connections that lost bytes are closed.
  void Restore();
  // Makes the open connections drop everything; new ones work.
  void SilenceOpenConnections();

 private:
  struct Link {
    int client = -1;
    int target = -1;
    bool silent = false;
    bool damaged = false;
    bool closed = false;
    // Ends whose peer has closed while bytes are dropped.
    bool client_ended = false;
    bool target_ended = false;
  };

  void Run();
  void Accept();
  void ForwardAll(const std::vector<pollfd>& polled);
  void Forward(Link& link, bool from_client);
  void CloseDamagedLinks(bool all);
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
