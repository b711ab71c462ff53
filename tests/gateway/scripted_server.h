// A backend server that responds to each request by a script.
#ifndef SYCAMOREBEND_TESTS_GATEWAY_SCRIPTED_SERVER_H_
#define SYCAMOREBEND_TESTS_GATEWAY_SCRIPTED_SERVER_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sycamorebend::gateway {

// A socket that is closed by its destructor.
class Socket {
 public:
  explicit Socket(int fd) : fd(fd) {}
  ~Socket() { this->Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // @return false if the connection has ended.
  bool Send(const std::string& text);
  // @return the data of one read; empty at the end of the connection.
  std::string Receive();
  // @return true if the last Receive found that the peer reset the connection.
  bool ResetByPeer() const { return this->reset_by_peer; }
  // @return true if the peer closes within `ms`.
  bool WaitForPeerClose(int ms);
  void Close();
  // Closes the connection with a TCP reset.
  void Reset();
  // Ends the connection, as seen by the peer and by a blocked Receive, without
  // closing the descriptor.
  void Shutdown();

 private:
  int fd;
  bool reset_by_peer = false;
};

// One request as the server received it.
struct ReceivedRequest {
  std::string head;
  std::string body;
  // Number of earlier requests on the same connection.
  int preceding_requests = 0;

  // @return the value of a header, or an empty string.
  std::string Header(const std::string& name) const;
};

class ScriptedServer {
 public:
  // Responds on the socket. Returns false to close the connection.
  using Script = std::function<bool(const ReceivedRequest&, Socket&)>;

  enum class Bodies {
    kRead = 0,
    // The script runs once the head is there. The rest of the request stays
    // unread, so that a long one is still being sent.
    kIgnored = 1,
  };

  explicit ScriptedServer(Script script, Bodies bodies = Bodies::kRead);
  ~ScriptedServer();

  std::string Address() const { return this->address; }
  std::vector<ReceivedRequest> Requests() const;
  int Connections() const { return this->connections; }

  // Ends the server as a crash of its process does: resets all connections and
  // refuses new ones. May be called by the script, which then returns false.
  void Crash();
  bool Crashed() const { return this->crashed; }

 private:
  void Accept();
  void Serve(int fd);
  void ServeRequests(int fd, Socket& socket);

  const Script script;
  const Bodies bodies;
  std::string address;
  int listen_fd = -1;
  std::atomic<bool> stopping{false};
  std::atomic<bool> crashed{false};
  std::atomic<int> connections{0};
  mutable std::mutex mutex;
  std::vector<ReceivedRequest> requests;
  std::set<Socket*> open;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

// @return a complete response to `request`.
std::string MakeResponse(const ReceivedRequest& request,
                         int status,
                         const std::string& body,
                         const std::string& more_headers = "Signed: yes\r\n");

// Script that responds with the body "body of ID".
bool Echo(const ReceivedRequest& request, Socket& socket);

bool Contains(const std::string& text, const std::string& part);

// @return the head of a stream response.
std::string StreamResponseHead(const ReceivedRequest& request);
// @return one event of a stream as a chunk of a chunked body.
std::string EventChunk(int id, const std::string& data);
std::string Chunk(const std::string& data);

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_TESTS_GATEWAY_SCRIPTED_SERVER_H_
