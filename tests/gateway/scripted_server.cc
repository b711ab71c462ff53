#include "scripted_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include <fmt/format.h>

#include "net/socket_address.h"
#include "sycamorebend/http.h"

namespace sycamorebend::gateway {

namespace {

constexpr int kReadBytes = 65536;
constexpr int kSmallBufferBytes = 4096;

}  // namespace

bool Socket::Send(const std::string& text) {
  return ::send(this->fd, text.data(), text.size(), MSG_NOSIGNAL) >= 0;
}

std::string Socket::Receive() {
  std::string buffer(kReadBytes, '\0');
  const ssize_t size = ::recv(this->fd, buffer.data(), buffer.size(), 0);
  this->reset_by_peer = size < 0 && errno == ECONNRESET;
  buffer.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return buffer;
}

bool Socket::WaitForPeerClose(int ms) {
  pollfd wanted{this->fd, POLLIN, 0};
  while (poll(&wanted, 1, ms) > 0) {
    if (this->Receive().empty()) {
      return true;
    }
  }
  return false;
}

void Socket::Close() {
  if (this->fd >= 0) {
    ::close(this->fd);
    this->fd = -1;
  }
}

void Socket::Reset() {
  const linger now{1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  this->Close();
}

void Socket::Shutdown() {
  shutdown(this->fd, SHUT_RDWR);
}

std::string ReceivedRequest::Header(const std::string& name) const {
  const std::string wanted = "\r\n" + name + ": ";
  const std::size_t at = this->head.find(wanted);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + wanted.size();
  return this->head.substr(begin, this->head.find("\r\n", begin) - begin);
}

ScriptedServer::ScriptedServer(Script script, Bodies bodies)
    : script(std::move(script)), bodies(bodies) {
  this->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
  if (bodies == Bodies::kIgnored) {
    // Accepted sockets inherit it.
    setsockopt(this->listen_fd, SOL_SOCKET, SO_RCVBUF, &kSmallBufferBytes,
               sizeof(kSmallBufferBytes));
  }
  sockaddr_in local{};
  local.sin_family = AF_INET;
  local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const generic = reinterpret_cast<sockaddr*>(&local);
  socklen_t size = sizeof(local);
  bind(this->listen_fd, generic, size);
  listen(this->listen_fd, 64);
  getsockname(this->listen_fd, generic, &size);
  this->address = net::FormatAddress(local);
  this->acceptor = std::thread([this] { this->Accept(); });
}

ScriptedServer::~ScriptedServer() {
  this->stopping = true;
  shutdown(this->listen_fd, SHUT_RDWR);
  this->acceptor.join();
  if (!this->crashed) {
    ::close(this->listen_fd);
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

std::vector<ReceivedRequest> ScriptedServer::Requests() const {
  std::lock_guard lock(this->mutex);
  return this->requests;
}

void ScriptedServer::Crash() {
  std::lock_guard lock(this->mutex);
  if (this->crashed.exchange(true)) {
    return;
  }
  shutdown(this->listen_fd, SHUT_RDWR);
  ::close(this->listen_fd);
  for (Socket* socket : this->open) {
    socket->Shutdown();
  }
}

void ScriptedServer::Accept() {
  for (;;) {
    const int fd = accept(this->listen_fd, nullptr, nullptr);
    if (fd < 0) {
      return;
    }
    ++this->connections;
    this->threads.emplace_back([this, fd] { this->Serve(fd); });
  }
}

void ScriptedServer::Serve(int fd) {
  Socket socket(fd);
  {
    std::lock_guard lock(this->mutex);
    this->open.insert(&socket);
  }
  this->ServeRequests(fd, socket);
  std::lock_guard lock(this->mutex);
  this->open.erase(&socket);
}

void ScriptedServer::ServeRequests(int fd, Socket& socket) {
  std::string buffer;
  for (int preceding_requests = 0; !this->stopping && !this->crashed;
       ++preceding_requests) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      pollfd wanted{fd, POLLIN, 0};
      if (poll(&wanted, 1, 100) == 0) {
        if (this->stopping) {
          return;
        }
        continue;
      }
      const std::string data = socket.Receive();
      if (data.empty()) {
        return;
      }
      buffer += data;
    }
    ReceivedRequest request;
    request.head = buffer.substr(0, end + 4);
    request.preceding_requests = preceding_requests;
    buffer.erase(0, end + 4);
    const std::string length = request.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->bodies == Bodies::kRead && buffer.size() < size) {
      buffer += socket.Receive();
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    {
      std::lock_guard lock(this->mutex);
      this->requests.push_back(request);
    }
    if (!this->script(request, socket)) {
      return;
    }
  }
}

std::string MakeResponse(const ReceivedRequest& request,
                         int status,
                         const std::string& body,
                         const std::string& more_headers) {
  return fmt::format(
      "HTTP/1.1 {} Status\r\nRequest-Id: {}\r\n{}Content-Length: "
      "{}\r\n\r\n{}",
      status, request.Header("Request-Id"), more_headers, body.size(), body);
}

bool Echo(const ReceivedRequest& request, Socket& socket) {
  socket.Send(
      MakeResponse(request, 200, "body of " + request.Header("Request-Id")));
  return true;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string StreamResponseHead(const ReceivedRequest& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSigned: yes\r\nContent-Type: "
      "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request.Header("Request-Id"));
}

std::string Chunk(const std::string& data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string EventChunk(int id, const std::string& data) {
  return Chunk(fmt::format("id: {}\ndata: {}\n\n", id, data));
}

}  // namespace sycamorebend::gateway
