#include "net/tcp_listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "net/socket_address.h"

namespace sycamorebend::net {

namespace {

constexpr int kBacklog = 512;
// Limit on the connections accepted per OnReadable call, so that a burst of new
// connections doesn't delay requests in progress.
constexpr int kMaxAcceptsPerCall = 32;

Error ListenError(const std::string& address, const char* action) {
  return MakeError(ResultCode::kListenFailed,
                   fmt::format("{} {}: {}", action, address,
                               std::generic_category().message(errno)));
}

}  // namespace

bool ParseAddress(const std::string& text, sockaddr_in& address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) ==
         1;
}

std::string FormatAddress(const sockaddr_in& address) {
  char ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, ip, sizeof(ip));
  return fmt::format("{}:{}", ip, ntohs(address.sin_port));
}

TcpListener::TcpListener(EventLoop& loop, int fd, AcceptCallback on_accept)
    : loop(loop), fd(fd), on_accept(std::move(on_accept)) {}

TcpListener::~TcpListener() {
  this->loop.Unwatch(this->fd);
  ::close(this->fd);
}

Result<std::unique_ptr<TcpListener>> TcpListener::Start(
    EventLoop& loop,
    const std::string& address,
    AcceptCallback on_accept) {
  sockaddr_in local{};
  if (!ParseAddress(address, local)) {
    return MakeError(ResultCode::kListenFailed,
                     address + " is not an \"IP:port\"");
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return ListenError(address, "socket for");
  }
  std::unique_ptr<TcpListener> listener(
      new TcpListener(loop, fd, std::move(on_accept)));
  const int reuse = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  auto* const generic = reinterpret_cast<sockaddr*>(&local);
  socklen_t size = sizeof(local);
  if (bind(fd, generic, size) != 0) {
    return ListenError(address, "bind to");
  }
  if (listen(fd, kBacklog) != 0) {
    return ListenError(address, "listen on");
  }
  getsockname(fd, generic, &size);
  listener->address = FormatAddress(local);
  loop.Watch(fd, *listener, true, false);
  return listener;
}

bool TcpListener::AcceptOne() {
  const int accepted =
      accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0) {
    return false;
  }
  this->on_accept(accepted);
  return true;
}

void TcpListener::AcceptPending() {
  while (this->AcceptOne()) {
  }
}

void TcpListener::OnReadable() {
  for (int i = 0; i < kMaxAcceptsPerCall && this->AcceptOne(); ++i) {
  }
}

}  // namespace sycamorebend::net
