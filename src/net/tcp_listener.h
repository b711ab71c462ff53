// Accepts TCP connections on an event loop.
#ifndef SYCAMOREBEND_SRC_NET_TCP_LISTENER_H_
#define SYCAMOREBEND_SRC_NET_TCP_LISTENER_H_

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "sycamorebend/base.h"

namespace sycamorebend::net {

class TcpListener : public FdHandler {
 public:
  using AcceptCallback = std::function<void(int fd)>;

  // @param address "IP:port"; port 0 selects a free port.
  // @param on_accept takes ownership of each accepted socket.
  // @return the listener, or kListenFailed.
  static Result<std::unique_ptr<TcpListener>> Start(EventLoop& loop,
                                                    const std::string& address,
                                                    AcceptCallback on_accept);
  ~TcpListener() override;

  std::string Address() const { return this->address; }

  // Accepts all connections that wait in the queue of the socket.
  void AcceptPending();

  void OnReadable() override;
  void OnWritable() override {}

 private:
  TcpListener(EventLoop& loop, int fd, AcceptCallback on_accept);

  // @return false if no connection waits.
  bool AcceptOne();

  EventLoop& loop;
  const int fd;
  const AcceptCallback on_accept;
  std::string address;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_TCP_LISTENER_H_
