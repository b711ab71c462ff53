#include "http/listener.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace sycamorebend::internal {

namespace {

constexpr int kListenBacklog = 1024;
// Pause after a failed accept, such as without free file descriptors.
constexpr milliseconds kAcceptPause{10};

struct BoundSocket {
  int fd = -1;
  std::string address;
};

Result<BoundSocket> BindListener(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in target{};
  target.sin_family = AF_INET;
  const std::string host = address.substr(0, colon);
  unsigned port = 0;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, host.c_str(), &target.sin_addr) != 1 ||
      std::from_chars(address.data() + colon + 1,
                      address.data() + address.size(), port)
              .ec != std::errc()) {
    return MakeError(
        ResultCode::kListenFailed,
        fmt::format("\"{}\" is not an IPv4 address and port", address));
  }
  target.sin_port = htons(static_cast<std::uint16_t>(port));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd >= 0) {
      close(fd);
    }
    return MakeError(ResultCode::kListenFailed,
                     fmt::format("cannot listen on {}: {}", address, reason));
  }
  socklen_t size = sizeof(target);
  getsockname(fd, reinterpret_cast<sockaddr*>(&target), &size);
  return BoundSocket{fd, fmt::format("{}:{}", host, ntohs(target.sin_port))};
}

}  // namespace

Listener::~Listener() {
  this->Stop();
}

Status Listener::Bind(const std::string& address) {
  BOOST_OUTCOME_TRY(bound, BindListener(address));
  this->listen_fd = bound.fd;
  this->bound_address = bound.address;
  return Success();
}

void Listener::Start(AcceptCallback callback) {
  this->callback = std::move(callback);
  this->stop_fd = eventfd(0, EFD_CLOEXEC);
  this->thread = std::thread([this] { this->Run(); });
}

void Listener::Stop() {
  if (this->thread.joinable()) {
    eventfd_write(this->stop_fd, 1);
    this->thread.join();
    close(this->stop_fd);
  }
  if (this->listen_fd >= 0) {
    close(this->listen_fd);
    this->listen_fd = -1;
  }
}

void Listener::Run() {
  std::array<pollfd, 2> polled{
      {{this->listen_fd, POLLIN, 0}, {this->stop_fd, POLLIN, 0}}};
  for (;;) {
    poll(polled.data(), polled.size(), -1);
    if (polled[1].revents != 0) {
      return;
    }
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int fd = accept4(this->listen_fd, reinterpret_cast<sockaddr*>(&peer),
                           &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
      this->callback(fd, peer);
    } else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM) {
      std::this_thread::sleep_for(kAcceptPause);
    }
  }
}

}  // namespace sycamorebend::internal
