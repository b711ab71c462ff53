// A caller that sends raw bytes.
#ifndef SYCAMOREBEND_TESTS_GATEWAY_RAW_CALLER_H_
#define SYCAMOREBEND_TESTS_GATEWAY_RAW_CALLER_H_

#include <memory>
#include <string>

#include "scripted_server.h"

namespace sycamorebend::gateway {

class RawCaller {
 public:
  explicit RawCaller(const std::string& address);

  void Send(const std::string& text) { this->socket->Send(text); }
  // Reads until `text` has been received, the connection ends or `ms` have
  // passed.
  // @return everything received since the last call.
  std::string ReadUntil(const std::string& text, int ms = 5000);
  // @return everything received until the connection ends or `ms` have passed.
  std::string ReadToEnd(int ms = 5000);
  // @return true if a read found that the connection has ended.
  bool Ended() const { return this->ended; }
  // @return true if the last read found that the gateway reset the connection.
  bool WasReset() const { return this->socket->ResetByPeer(); }
  void Close() { this->socket->Close(); }

 private:
  int fd = -1;
  std::unique_ptr<Socket> socket;
  std::string buffer;
  bool ended = false;
};

// @return a GET request, or a POST if it has a body.
std::string Request(const std::string& id,
                    const std::string& path,
                    const std::string& body = {},
                    const std::string& more_headers = {});

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_TESTS_GATEWAY_RAW_CALLER_H_
