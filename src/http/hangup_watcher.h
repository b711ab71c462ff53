// Watches sockets for a peer that closes its connection.
#ifndef SYCAMOREBEND_SRC_HTTP_HANGUP_WATCHER_H_
#define SYCAMOREBEND_SRC_HTTP_HANGUP_WATCHER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace sycamorebend::internal {

// libmicrohttpd does not poll a suspended connection, so a caller that leaves
// while its request waits would be noticed only with the next write.
class HangupWatcher {
 public:
  HangupWatcher();
  ~HangupWatcher();
  HangupWatcher(const HangupWatcher&) = delete;
  HangupWatcher& operator=(const HangupWatcher&) = delete;

  // Calls `callback` once on the watcher's thread when the peer closes `fd`.
  // @return an identifier for Remove.
  std::uint64_t Add(int fd, std::function<void()> callback);

  // After the return the callback is not started any more. Must be called
  // before the socket is closed.
  void Remove(std::uint64_t id);

 private:
  struct Watch {
    int fd;
    std::function<void()> callback;
  };

  void Run();
  void Fire(std::uint64_t id);

  int epoll_fd;
  int stop_fd;
  std::mutex mutex;
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, Watch> watches;
  std::thread thread;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_HANGUP_WATCHER_H_
