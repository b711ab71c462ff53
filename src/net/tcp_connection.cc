#include "net/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <utility>

#include "net/socket_address.h"

namespace sycamorebend::net {

namespace {

constexpr std::size_t kReadBytes = 64 << 10;
// Sent bytes are erased from the output buffer once they exceed this.
constexpr std::size_t kCompactBytes = 64 << 10;
constexpr int kProbeCount = 2;
// More than a socket's buffer holds after its connection was reset.
constexpr int kMaxReadsAfterWriteFailure = 256;

void SetOption(int fd, int level, int name, int value) {
  // Errors are ignored: without the option, request timeouts still apply.
  setsockopt(fd, level, name, &value, sizeof(value));
}

void SetOptions(int fd, const TcpOptions& options) {
  const auto interval = static_cast<int>(std::max<std::int64_t>(
      1, std::chrono::duration_cast<seconds>(options.probe_interval).count()));
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(options.unacknowledged_timeout)));
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

// @param reset whether closing the socket resets the connection.
void SetLinger(int fd, bool reset) {
  const linger option{reset ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

TcpConnection::TcpConnection(EventLoop& loop,
                             int fd,
                             bool connected,
                             const TcpOptions& options)
    : loop(loop),
      fd(fd),
      connected(connected),
      read_after_write_failure(options.read_after_write_failure) {}

TcpConnection::~TcpConnection() {
  this->Close();
}

std::shared_ptr<TcpConnection> TcpConnection::Adopt(EventLoop& loop,
                                                    int fd,
                                                    const TcpOptions& options) {
  SetOptions(fd, options);
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(loop, fd, true, options));
  connection->UpdateWatch();
  return connection;
}

std::shared_ptr<TcpConnection> TcpConnection::Connect(
    EventLoop& loop,
    const std::string& address,
    const TcpOptions& options) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::shared_ptr<TcpConnection> connection(
      new TcpConnection(loop, fd, false, options));
  sockaddr_in peer{};
  bool started = fd >= 0 && ParseAddress(address, peer);
  if (started) {
    SetOptions(fd, options);
    started =
        connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0 ||
        errno == EINPROGRESS;
  }
  if (!started) {
    connection->refused = errno == ECONNREFUSED;
    loop.Post([connection] { connection->End(ConnectionEnd::kConnectFailed); });
    return connection;
  }
  connection->UpdateWatch();
  return connection;
}

void TcpConnection::SetObserver(ConnectionObserver* new_observer) {
  this->observer = new_observer;
}

void TcpConnection::UpdateWatch() {
  if (this->fd < 0) {
    return;
  }
  const bool write =
      !this->connected || (this->UnsentBytes() > 0 && !this->write_failed);
  const bool read = this->connected && this->reading && !this->ended;
  this->loop.Watch(this->fd, *this, read, write);
}

void TcpConnection::SetReading(bool on) {
  this->reading = on;
  this->UpdateWatch();
}

void TcpConnection::Close() {
  if (this->fd < 0) {
    return;
  }
  this->loop.Cancel(std::exchange(this->drain_timer, 0));
  this->loop.Unwatch(this->fd);
  ::close(this->fd);
  this->fd = -1;
  // This may be the last reference, so the loop releases it later.
  if (this->closing_self != nullptr) {
    this->loop.Post([self = std::move(this->closing_self)] {});
  }
}

void TcpConnection::CloseAfterFlush() {
  if (this->fd < 0 || !this->connected || this->write_failed ||
      this->UnsentBytes() == 0) {
    this->CloseFlushed();
    return;
  }
  this->closing_self = this->shared_from_this();
  this->reading = false;
  this->UpdateWatch();
}

void TcpConnection::CloseAfterDrain(Duration time, std::size_t bytes) {
  if (this->fd < 0 || !this->connected || this->ended) {
    this->CloseAfterFlush();
    return;
  }
  this->observer = nullptr;
  this->closing_self = this->shared_from_this();
  this->drain_left = bytes;
  const std::weak_ptr<TcpConnection> weak = this->weak_from_this();
  this->drain_timer = this->loop.SubscribeOnce(this->loop.Now() + time, [weak] {
    if (const auto self = weak.lock()) {
      self->drain_timer = 0;
      self->Close();
    }
  });
  this->reading = true;
  if (this->UnsentBytes() == 0) {
    this->ShutdownSending();
  }
  this->UpdateWatch();
}

void TcpConnection::ShutdownSending() {
  ::shutdown(this->fd, SHUT_WR);
}

void TcpConnection::Drain() {
  static thread_local char dropped[kReadBytes];
  const ssize_t size = ::recv(this->fd, dropped, sizeof(dropped), 0);
  if (size < 0 && WouldBlock()) {
    return;
  }
  const auto count = static_cast<std::size_t>(std::max<ssize_t>(0, size));
  if (count == 0 || count >= *this->drain_left) {
    this->Close();
    return;
  }
  *this->drain_left -= count;
}

void TcpConnection::ResetUnlessFlushed() {
  this->reset_unless_flushed = true;
  SetLinger(this->fd, true);
}

void TcpConnection::CloseFlushed() {
  if (this->reset_unless_flushed) {
    SetLinger(this->fd, false);
  }
  this->Close();
}

void TcpConnection::End(ConnectionEnd end) {
  if (this->ended) {
    return;
  }
  this->ended = true;
  const auto self = this->shared_from_this();
  if (end == ConnectionEnd::kEndOfStream) {
    this->UpdateWatch();
  } else {
    this->Close();
  }
  if (this->observer != nullptr) {
    this->observer->OnEnd(end);
  }
}

void TcpConnection::OnReadable() {
  const auto self = this->shared_from_this();
  if (this->drain_left) {
    this->Drain();
    return;
  }
  if (this->observer != nullptr && !this->observer->MayRead()) {
    return;
  }
  const std::int64_t size = this->Receive();
  if (size == 0 && !this->write_failed) {
    this->End(ConnectionEnd::kEndOfStream);
  } else if (size == 0 || (size < 0 && !WouldBlock())) {
    // A failed write has taken the error from the socket, which then reports an
    // ordinary end.
    this->End(ConnectionEnd::kReset);
  }
}

std::int64_t TcpConnection::Receive() {
  static thread_local char buffer[kReadBytes];
  const ssize_t size = ::recv(this->fd, buffer, sizeof(buffer), 0);
  if (size > 0 && this->observer != nullptr) {
    this->observer->OnData({buffer, static_cast<std::size_t>(size)});
  }
  return size;
}

void TcpConnection::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    this->refused = error == ECONNREFUSED;
    this->End(ConnectionEnd::kConnectFailed);
    return;
  }
  this->connected = true;
  if (this->observer != nullptr) {
    this->observer->OnConnected();
  }
}

void TcpConnection::OnWritable() {
  const auto self = this->shared_from_this();
  if (!this->connected) {
    this->FinishConnect();
    if (!this->connected || this->fd < 0) {
      return;
    }
  }
  this->Flush();
}

void TcpConnection::FailWrite() {
  for (int reads = 0;
       this->read_after_write_failure && this->fd >= 0 && !this->ended &&
       this->observer != nullptr && reads < kMaxReadsAfterWriteFailure;
       ++reads) {
    if (this->Receive() <= 0) {
      break;
    }
  }
  this->End(ConnectionEnd::kReset);
  // It had ended by kEndOfStream.
  this->Close();
}

void TcpConnection::Write(std::string_view data) {
  if (this->fd < 0 || this->write_failed) {
    return;
  }
  this->out.append(data);
  if (this->connected && this->out_sent + data.size() == this->out.size()) {
    const auto self = this->shared_from_this();
    this->Flush();
  }
}

void TcpConnection::Flush() {
  while (this->UnsentBytes() > 0 && !this->write_failed) {
    const ssize_t size = ::send(this->fd, this->out.data() + this->out_sent,
                                this->UnsentBytes(), MSG_NOSIGNAL);
    if (size < 0) {
      if (!WouldBlock()) {
        this->write_failed = true;
        // The observer must not be called from within Write.
        this->loop.Post(
            [self = this->shared_from_this()] { self->FailWrite(); });
        return;
      }
      break;
    }
    this->out_sent += static_cast<std::size_t>(size);
  }
  const bool drained = this->UnsentBytes() == 0;
  if (drained || this->out_sent > kCompactBytes) {
    this->out.erase(0, this->out_sent);
    this->out_sent = 0;
  }
  if (drained && this->drain_left) {
    this->ShutdownSending();
  } else if (drained && this->closing_self != nullptr) {
    this->CloseFlushed();
    return;
  }
  this->UpdateWatch();
  if (drained && this->observer != nullptr) {
    this->observer->OnDrained();
  }
}

}  // namespace sycamorebend::net
