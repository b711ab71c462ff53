// A non-blocking TCP connection on an event loop.
#ifndef SYCAMOREBEND_SRC_NET_TCP_CONNECTION_H_
#define SYCAMOREBEND_SRC_NET_TCP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.h"
#include "sycamorebend/base.h"

namespace sycamorebend::net {

// How a connection ended.
enum class ConnectionEnd {
  kEndOfStream = 0,    // The peer closed its sending side.
  kReset = 1,          // Reset, or an error of the socket.
  kConnectFailed = 2,  // Never established.
};

// Receives the events of one connection. May close or release the connection
// in any callback.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  virtual void OnConnected() {}
  // @return false to leave received bytes in the socket for now. Unless reading
  // is paused, the question is repeated in the next turn of the loop.
  virtual bool MayRead() { return true; }
  virtual void OnData(std::string_view data) = 0;
  // Called last. The connection is closed unless it ended by kEndOfStream.
  // After a failed write it never ends by kEndOfStream.
  virtual void OnEnd(ConnectionEnd end) = 0;
  // All written data was passed to the socket.
  virtual void OnDrained() {}
};

struct TcpOptions {
  // A peer that acknowledges nothing for this long is considered lost.
  Duration unacknowledged_timeout = seconds(4);
  // Idle time before the kernel's first keepalive probe, and the time between
  // probes; two unanswered probes end the connection.
  Duration probe_interval = seconds(1);
  // Whether data that arrived before a write failed is still delivered. A
  // server may respond to a request that it does not read to its end, and then
  // reset the connection.
  bool read_after_write_failure = false;
};

class TcpConnection : public FdHandler,
                      public std::enable_shared_from_this<TcpConnection> {
 public:
  // Takes ownership of an accepted socket.
  static std::shared_ptr<TcpConnection> Adopt(EventLoop& loop,
                                              int fd,
                                              const TcpOptions& options);
  // Connects to "IP:port". Failure is reported by OnEnd(kConnectFailed), never
  // before this function returns.
  static std::shared_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const std::string& address,
                                                const TcpOptions& options);
  ~TcpConnection() override;

  // @param new_observer nullptr stops all further callbacks.
  void SetObserver(ConnectionObserver* new_observer);

  void Write(std::string_view data);
  // Pauses or resumes reading.
  void SetReading(bool on);
  void Close();
  // Closes once all written data was passed to the socket. The connection
  // keeps itself alive until then.
  void CloseAfterFlush();
  // The same, but then also reads and drops what the peer still sends, until it
  // closes, for at most `time` and `bytes`. A close with unread data resets the
  // connection, and the peer may lose the response.
  void CloseAfterDrain(Duration time, std::size_t bytes);
  // Any other end than CloseAfterFlush, that of the process included, resets
  // the connection. Data that the peer has not read may be lost.
  void ResetUnlessFlushed();

  bool Connected() const { return this->connected; }
  bool Closed() const { return this->fd < 0; }
  // @return true if connecting failed because nothing listens at the address.
  bool Refused() const { return this->refused; }
  // Not 0 after a failed write.
  std::size_t UnsentBytes() const { return this->out.size() - this->out_sent; }

  void OnReadable() override;
  void OnWritable() override;

 private:
  TcpConnection(EventLoop& loop,
                int fd,
                bool connected,
                const TcpOptions& options);

  void FinishConnect();
  void Drain();
  // Ends the sending side of a connection that is draining.
  void ShutdownSending();
  // @return the result of recv(2), after passing received data on.
  std::int64_t Receive();
  void Flush();
  void FailWrite();
  // Closes a connection whose written data was passed to the socket.
  void CloseFlushed();
  void End(ConnectionEnd end);
  void UpdateWatch();

  EventLoop& loop;
  int fd;
  bool connected;
  bool reading = true;
  bool ended = false;
  const bool read_after_write_failure;
  bool write_failed = false;
  bool refused = false;
  bool reset_unless_flushed = false;
  // Set while the connection flushes before it closes.
  std::shared_ptr<TcpConnection> closing_self;
  // Bytes that may still be dropped before the connection closes.
  std::optional<std::size_t> drain_left;
  TimerId drain_timer = 0;
  ConnectionObserver* observer = nullptr;
  std::string out;
  std::size_t out_sent = 0;
};

}  // namespace sycamorebend::net

#endif  // SYCAMOREBEND_SRC_NET_TCP_CONNECTION_H_
