// Closes sockets of callers that may still be sending.
#ifndef SYCAMOREBEND_SRC_HTTP_SOCKET_DRAINER_H_
#define SYCAMOREBEND_SRC_HTTP_SOCKET_DRAINER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// A close with unread data resets the connection, and the peer may lose the
// response. So what the peer still sends is read and dropped first, until it
// closes, within limits.
class SocketDrainer {
 public:
  // @param max_time longest time that one socket is read.
  explicit SocketDrainer(Duration max_time);
  // Closes the sockets that are left.
  ~SocketDrainer();
  SocketDrainer(const SocketDrainer&) = delete;
  SocketDrainer& operator=(const SocketDrainer&) = delete;

  // Ends the sending side of a non-blocking socket, takes ownership of it and
  // closes it later. Thread-safe.
  void Add(int fd);

 private:
  struct Socket {
    int fd = -1;
    std::size_t bytes_left = 0;
    TimerId timer = 0;
  };

  void Run();
  // The caller holds `mutex`.
  void ReadLocked(std::uint64_t id);
  void CloseLocked(std::uint64_t id);
  // @return the timeout of epoll_wait up to the next timer.
  int WaitMs();

  const Duration max_time;
  SystemClock clock;
  int epoll_fd;
  int wake_fd;
  std::mutex mutex;
  TimerQueue timers;
  bool stopping = false;
  std::uint64_t next_id = 1;
  // Ordered by age.
  std::map<std::uint64_t, Socket> sockets;
  std::thread thread;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_SOCKET_DRAINER_H_
