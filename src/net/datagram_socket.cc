#include "net/datagram_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "net/socket_address.h"

namespace sycamorebend::net {

namespace {

constexpr std::size_t kMaxDatagramBytes = 64 << 10;
// Limit on the datagrams read per OnReadable call.
constexpr int kMaxReadsPerCall = 64;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop,
                               int fd,
                               ReceiveCallback on_receive)
    : loop(loop), fd(fd), on_receive(std::move(on_receive)) {}

DatagramSocket::~DatagramSocket() {
  this->loop.Unwatch(this->fd);
  ::close(this->fd);
}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    EventLoop& loop,
    const std::string& address,
    ReceiveCallback on_receive) {
  sockaddr_in local{};
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !ParseAddress(address, local) ||
      bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) != 0) {
    const int error = errno;
    if (fd >= 0) {
      ::close(fd);
    }
    return MakeError(ResultCode::kListenFailed,
                     fmt::format("UDP {}: {}", address,
                                 std::generic_category().message(error)));
  }
  std::unique_ptr<DatagramSocket> bound(
      new DatagramSocket(loop, fd, std::move(on_receive)));
  loop.Watch(fd, *bound, true, false);
  return bound;
}

void DatagramSocket::Send(const std::string& address, std::string_view data) {
  sockaddr_in peer{};
  if (ParseAddress(address, peer)) {
    this->Send(peer, data);
  }
}

void DatagramSocket::Send(const sockaddr_in& address, std::string_view data) {
  // UDP gives no delivery guarantee, so a failed send is ignored.
  ::sendto(this->fd, data.data(), data.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void DatagramSocket::OnReadable() {
  static thread_local char buffer[kMaxDatagramBytes];
  for (int i = 0; i < kMaxReadsPerCall; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size =
        ::recvfrom(this->fd, buffer, sizeof(buffer), 0,
                   reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) {
      return;
    }
    this->on_receive({buffer, static_cast<std::size_t>(size)}, from);
  }
}

}  // namespace sycamorebend::net
