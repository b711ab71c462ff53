#include "system/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <vector>

namespace sycamorebend {

namespace {

constexpr int kPollTimeoutMilliseconds = 5;
// A suspended process (SIGSTOP) does not read; its link is closed after this
// time.
constexpr int kSendTimeoutMilliseconds = 2000;
constexpr std::size_t kBufferBytes = 64 << 10;
constexpr int kBacklog = 256;

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return parsed;
}

int OpenSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

// @return false if the receiver closed the connection or did not read within
// the timeout.
bool SendAll(int destination, const char* data, ssize_t count) {
  while (count > 0) {
    const ssize_t sent =
        send(destination, data, static_cast<std::size_t>(count),
             MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      data += sent;
      count -= sent;
      continue;
    }
    pollfd writable = {destination, POLLOUT, 0};
    if ((errno != EAGAIN && errno != EINTR) ||
        poll(&writable, 1, kSendTimeoutMilliseconds) <= 0) {
      return false;
    }
  }
  return true;
}

}  // namespace

Relay::Relay(const std::string& listen_address, const std::string& target)
    : address(listen_address), target(target), listener(OpenSocket()) {
  const sockaddr_in bound = ParseAddress(listen_address);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(this->listener, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on " + listen_address);
  }
  this->thread = std::thread([this] { this->Run(); });
}

Relay::~Relay() {
  this->stopping = true;
  this->thread.join();
  this->CloseLinks(true);
  close(this->listener);
}

void Relay::SetMode(RelayMode to_target, RelayMode from_target) {
  std::lock_guard lock(this->mutex);
  this->to_target = to_target;
  this->from_target = from_target;
}

void Relay::Cut() {
  {
    std::lock_guard lock(this->mutex);
    this->cut = true;
  }
  this->CloseLinks(true);
}

void Relay::Restore() {
  this->SetMode(RelayMode::kPass, RelayMode::kPass);
  this->CloseLinks(false);
  std::lock_guard lock(this->mutex);
  this->cut = false;
}

void Relay::DropOnOpenConnections() {
  std::lock_guard lock(this->mutex);
  for (Link& link : this->links) {
    link.drops_data = true;
  }
}

void Relay::CloseLinks(bool all) {
  std::lock_guard lock(this->mutex);
  for (Link& link : this->links) {
    if (all || link.lost_bytes) {
      Close(link);
    }
  }
}

void Relay::Close(Link& link) {
  if (!link.closed) {
    link.closed = true;
    close(link.client);
    close(link.target);
  }
}

void Relay::Run() {
  while (!this->stopping) {
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    {
      std::lock_guard lock(this->mutex);
      this->links.remove_if([](const Link& link) { return link.closed; });
      for (const Link& link : this->links) {
        polled.push_back({link.client_ended ? -1 : link.client, POLLIN, 0});
        polled.push_back({link.target_ended ? -1 : link.target, POLLIN, 0});
      }
    }
    poll(polled.data(), polled.size(), kPollTimeoutMilliseconds);
    this->ForwardAll(polled);
    if ((polled[0].revents & POLLIN) != 0) {
      this->Accept();
    }
  }
}

void Relay::ForwardAll(const std::vector<pollfd>& polled) {
  std::lock_guard lock(this->mutex);
  std::size_t index = 1;
  for (Link& link : this->links) {
    if (!link.closed && polled[index].revents != 0) {
      this->Forward(link, true);
    }
    if (!link.closed && polled[index + 1].revents != 0) {
      this->Forward(link, false);
    }
    index += 2;
  }
}

void Relay::Accept() {
  const int client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (client < 0) {
    return;
  }
  std::lock_guard lock(this->mutex);
  const int upstream = OpenSocket();
  const sockaddr_in target_address = ParseAddress(this->target);
  if (this->cut ||
      connect(upstream, reinterpret_cast<const sockaddr*>(&target_address),
              sizeof(target_address)) != 0) {
    close(client);
    close(upstream);
    return;
  }
  const int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Link link;
  link.client = client;
  link.target = upstream;
  this->links.push_back(link);
}

void Relay::Forward(Link& link, bool from_client) {
  static thread_local std::array<char, kBufferBytes> buffer;
  const int source = from_client ? link.client : link.target;
  const int destination = from_client ? link.target : link.client;
  const RelayMode mode = from_client ? this->to_target : this->from_target;
  const bool drop = mode == RelayMode::kDrop || link.drops_data;
  const ssize_t count =
      recv(source, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (drop) {
    link.lost_bytes = true;
    // In a network partition the peer does not learn of a closed connection
    // either.
    (from_client ? link.client_ended : link.target_ended) = count <= 0;
    return;
  }
  if (count <= 0 || !SendAll(destination, buffer.data(), count)) {
    Close(link);
  }
}

}  // namespace sycamorebend
