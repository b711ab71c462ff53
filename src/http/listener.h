// A listening socket with a thread that accepts connections.
#ifndef SYCAMOREBEND_SRC_HTTP_LISTENER_H_
#define SYCAMOREBEND_SRC_HTTP_LISTENER_H_

#include <netinet/in.h>

#include <functional>
#include <string>
#include <thread>

#include "sycamorebend/base.h"

namespace sycamorebend::internal {

// libmicrohttpd 0.9.75 can end the process in MHD_quiesce_daemon: that call and
// the worker threads both remove the listening socket from the poll sets, and
// the second removal is treated as fatal. Accepting here avoids the call.
class Listener {
 public:
  // Takes a connected socket and owns it from then on. Called on the listener's
  // thread.
  using AcceptCallback = std::function<void(int fd, const sockaddr_in& peer)>;

  Listener() = default;
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // @param address "IP:port"; port 0 picks a free one.
  // @return kListenFailed if the address cannot be bound.
  Status Bind(const std::string& address);

  // Begins to accept.
  void Start(AcceptCallback callback);

  // Closes the listening socket. Connections that were not accepted yet are
  // refused. Safe to call twice.
  void Stop();

  // @return the bound address as "IP:port".
  const std::string& Address() const { return this->bound_address; }

 private:
  void Run();

  int listen_fd = -1;
  int stop_fd = -1;
  std::string bound_address;
  AcceptCallback callback;
  std::thread thread;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_HTTP_LISTENER_H_
