// A UDP socket on an event loop.
#ifndef SYCAMOREBEND_SRC_NET_DATAGRAM_SOCKET_H_
#define SYCAMOREBEND_SRC_NET_DATAGRAM_SOCKET_H_

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "sycamorebend/base.h"

namespace sycamorebend::net {

class DatagramSocket : public FdHandler {
 public:
  // @param from the sender's address, as the datagram states it.
  using ReceiveCallback =
      std::function<void(std::string_view data, const sockaddr_in& from)>;

  // @param address "IP:port".
  // @return the socket, or kListenFailed.
  static Result<std::unique_ptr<DatagramSocket>>
  Bind(EventLoop& loop, const std::string& address, ReceiveCallback on_receive);
  ~DatagramSocket() override;

  // Sends one datagram; it may be lost.
  void Send(const std::string& address, std::string_view data);
  void Send(const sockaddr_in& address, std::string_view data);

  void OnReadable() override;
  void OnWritable() override {}

 private:
  DatagramSocket(EventLoop& loop, int fd, ReceiveCallback on_receive);

  EventLoop& loop;
  const int fd;
  const ReceiveCallback on_receive;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_DATAGRAM_SOCKET_H_
