#include "raw_caller.h"

#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "net/socket_address.h"

namespace sycamorebend::gateway {

RawCaller::RawCaller(const std::string& address) {
  sockaddr_in peer{};
  net::ParseAddress(address, peer);
  this->fd = ::socket(AF_INET, SOCK_STREAM, 0);
  connect(this->fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer));
  this->socket = std::make_unique<Socket>(this->fd);
}

std::string RawCaller::ReadUntil(const std::string& text, int ms) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (text.empty() || this->buffer.find(text) == std::string::npos) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    pollfd wanted{this->fd, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&wanted, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const std::string data = this->socket->Receive();
    if (data.empty()) {
      this->ended = true;
      break;
    }
    this->buffer += data;
  }
  return std::exchange(this->buffer, {});
}

std::string RawCaller::ReadToEnd(int ms) {
  return this->ReadUntil({}, ms);
}

std::string Request(const std::string& id,
                    const std::string& path,
                    const std::string& body,
                    const std::string& more_headers) {
  std::string text = fmt::format(
      "{} {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n{}",
      body.empty() ? "GET" : "POST", path, id, more_headers);
  if (!body.empty()) {
    text += fmt::format("Content-Length: {}\r\n", body.size());
  }
  return text + "\r\n" + body;
}

}  // namespace sycamorebend::gateway
