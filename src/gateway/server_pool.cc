#include "gateway/server_pool.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sycamorebend::gateway {

namespace {

constexpr std::array<std::string_view, 3> kFailureNames = {
    "connect_failed", "connection_lost", "malformed_answer"};

constexpr std::size_t kMaxResponseHeadBytes = 64 << 10;
// Body bytes of responses to other requests that are skipped during one call.
constexpr std::size_t kMaxSkippedBytes = 1 << 20;
// Keep-alive time if the server specifies none.
constexpr Duration kDefaultKeepAlive = seconds(4);
// Subtracted from the server's keep-alive time, so that the server does not
// close a connection while a request is in transit.
constexpr Duration kKeepAliveMargin = milliseconds(800);
constexpr Duration kSweepPeriod = milliseconds(500);
constexpr Duration kReachabilityTimeout = milliseconds(100);
constexpr std::array<std::string_view, 3> kReachabilityNames = {
    "reachable", "refused", "unknown"};

net::TcpOptions ServerOptions() {
  net::TcpOptions options;
  options.read_after_write_failure = true;
  return options;
}

}  // namespace

std::string_view CallFailureName(CallFailure failure) {
  return kFailureNames[static_cast<std::size_t>(failure)];
}

std::string_view ReachabilityName(Reachability reachability) {
  return kReachabilityNames[static_cast<std::size_t>(reachability)];
}

// Connects to a server, closes the connection and reports the result.
class ReachabilityCheck
    : public net::ConnectionObserver,
      public std::enable_shared_from_this<ReachabilityCheck> {
 public:
  ReachabilityCheck(ServerPool& pool,
                    std::string server_key,
                    const std::string& address)
      : pool(pool),
        server_key(std::move(server_key)),
        socket(
            net::TcpConnection::Connect(pool.loop, address, net::TcpOptions())),
        timer(pool.loop.SubscribeOnce(
            pool.loop.Now() + kReachabilityTimeout,
            [this] { this->Finish(Reachability::kUnknown); })) {
    this->socket->SetObserver(this);
  }
  ~ReachabilityCheck() override { this->Close(); }

  void AddCallback(std::function<void(Reachability)> callback) {
    this->callbacks.push_back(std::move(callback));
  }
  void OnConnected() override { this->Finish(Reachability::kReachable); }
  void OnData(std::string_view /*data*/) override {}
  void OnEnd(net::ConnectionEnd /*end*/) override {
    this->Finish(this->socket->Refused() ? Reachability::kRefused
                                         : Reachability::kUnknown);
  }

 private:
  void Close() {
    this->pool.loop.Cancel(std::exchange(this->timer, 0));
    this->socket->SetObserver(nullptr);
    this->socket->Close();
  }
  void Finish(Reachability reachability) {
    const auto self = this->shared_from_this();
    this->Close();
    this->pool.checks.erase(this->server_key);
    for (const auto& callback : std::exchange(this->callbacks, {})) {
      callback(reachability);
    }
  }

  ServerPool& pool;
  const std::string server_key;
  const std::shared_ptr<net::TcpConnection> socket;
  TimerId timer;
  std::vector<std::function<void(Reachability)>> callbacks;
};

ServerCall::~ServerCall() {
  this->connection->Cancel();
}

ServerPool::ServerPool(net::EventLoop& loop, const WireFormat& format)
    : loop(loop),
      format(format),
      sweep_timer(
          loop.SubscribePeriodic(kSweepPeriod, [this] { this->Sweep(); })) {}

ServerPool::~ServerPool() {
  this->loop.Cancel(this->sweep_timer);
  this->checks.clear();
  auto open = std::move(this->idle);
  for (auto& [key, connections] : open) {
    for (const auto& connection : connections) {
      connection->Close();
    }
  }
}

std::unique_ptr<ServerCall> ServerPool::Start(const ServerRequest& request,
                                              CallObserver& observer) {
  std::shared_ptr<ServerConnection> connection;
  if (request.may_reuse) {
    connection = this->TakeIdle(request.server_key);
  }
  if (connection == nullptr) {
    connection = std::make_shared<ServerConnection>(*this, request.server_key,
                                                    request.address);
  }
  connection->Begin(request, observer);
  return std::make_unique<ServerCall>(connection);
}

void ServerPool::CheckReachable(const std::string& server_key,
                                const std::string& address,
                                std::function<void(Reachability)> callback) {
  std::shared_ptr<ReachabilityCheck>& check = this->checks[server_key];
  if (check == nullptr) {
    check = std::make_shared<ReachabilityCheck>(*this, server_key, address);
  }
  check->AddCallback(std::move(callback));
}

std::shared_ptr<ServerConnection> ServerPool::TakeIdle(
    const std::string& server_key) {
  const auto found = this->idle.find(server_key);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const TimePoint now = this->loop.Now();
  while (!found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (now - connection->idle_since < connection->keep_alive) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void ServerPool::PutIdle(std::shared_ptr<ServerConnection> connection) {
  connection->used_before = true;
  connection->idle_since = this->loop.Now();
  this->idle[connection->server_key].push_back(std::move(connection));
}

void ServerPool::RemoveIdle(const ServerConnection& connection) {
  const auto found = this->idle.find(connection.server_key);
  if (found == this->idle.end()) {
    return;
  }
  auto& list = found->second;
  list.erase(std::remove_if(list.begin(), list.end(),
                            [&](const auto& pooled) {
                              return pooled.get() == &connection;
                            }),
             list.end());
}

void ServerPool::CloseIdleConnections(const std::string& server_key) {
  const auto found = this->idle.find(server_key);
  if (found == this->idle.end()) {
    return;
  }
  const auto connections = std::move(found->second);
  this->idle.erase(found);
  for (const auto& connection : connections) {
    connection->Close();
  }
}

void ServerPool::Sweep() {
  const TimePoint now = this->loop.Now();
  std::vector<std::shared_ptr<ServerConnection>> stale;
  for (auto& [key, list] : this->idle) {
    for (const auto& connection : list) {
      if (now - connection->idle_since >= connection->keep_alive) {
        stale.push_back(connection);
      }
    }
  }
  for (const auto& connection : stale) {
    connection->Close();
  }
}

ServerConnection::ServerConnection(ServerPool& pool,
                                   std::string server_key,
                                   const std::string& address)
    : pool(&pool),
      server_key(std::move(server_key)),
      socket(net::TcpConnection::Connect(pool.loop, address, ServerOptions())),
      reader(net::HttpReader::Kind::kResponse, *this, kMaxResponseHeadBytes) {
  this->socket->SetObserver(this);
}

void ServerConnection::Begin(const ServerRequest& request,
                             CallObserver& new_observer) {
  this->observer = &new_observer;
  this->request_id = request.request_id;
  this->reader.ExpectNoBody(request.no_response_body);
  this->skipping = false;
  this->skipped_bytes = 0;
  this->socket->Write(request.head);
  this->socket->Write(request.body);
  if (this->socket->Connected()) {
    // Posted, since the observer does not hold the call before Start returns.
    this->pool->loop.Post([self = this->shared_from_this()] {
      if (self->observer != nullptr) {
        self->observer->OnConnected(true);
      }
    });
    return;
  }
  const std::weak_ptr<ServerConnection> weak = this->weak_from_this();
  this->connect_timer = this->pool->loop.SubscribeOnce(
      this->pool->loop.Now() + request.connect_timeout, [weak] {
        if (const auto self = weak.lock()) {
          self->connect_timer = 0;
          self->Fail(CallFailure::kConnect);
        }
      });
}

void ServerConnection::OnConnected() {
  if (this->pool == nullptr) {
    return;
  }
  this->pool->loop.Cancel(std::exchange(this->connect_timer, 0));
  if (this->observer != nullptr) {
    this->observer->OnConnected(false);
  }
}

void ServerConnection::Cancel() {
  if (this->observer != nullptr) {
    this->observer = nullptr;
    this->Close();
  }
}

void ServerConnection::Close() {
  if (this->pool == nullptr) {
    return;
  }
  const auto self = this->shared_from_this();
  ServerPool* const owner = std::exchange(this->pool, nullptr);
  owner->loop.Cancel(std::exchange(this->connect_timer, 0));
  this->socket->SetObserver(nullptr);
  this->socket->Close();
  owner->RemoveIdle(*this);
}

void ServerConnection::Fail(CallFailure failure) {
  const auto self = this->shared_from_this();
  CallObserver* const receiver = std::exchange(this->observer, nullptr);
  this->Close();
  if (receiver != nullptr) {
    receiver->OnFailure(failure);
  }
}

void ServerConnection::OnData(std::string_view data) {
  const auto self = this->shared_from_this();
  while (!data.empty() && this->observer != nullptr) {
    data.remove_prefix(this->reader.Read(data));
    if (this->reader.Failed()) {
      this->Fail(CallFailure::kMalformed);
      return;
    }
  }
  if (!data.empty()) {
    // Bytes after the end of a response belong to no request.
    this->Close();
  }
}

void ServerConnection::OnEnd(net::ConnectionEnd end) {
  const auto self = this->shared_from_this();
  if (this->observer == nullptr) {
    this->Close();
    return;
  }
  if (end == net::ConnectionEnd::kEndOfStream) {
    this->reusable = false;
    this->reader.End();
    if (this->observer == nullptr) {
      return;
    }
  }
  this->Fail(end == net::ConnectionEnd::kConnectFailed ? CallFailure::kConnect
                                                       : CallFailure::kReset);
}

bool ServerConnection::OnHead(net::MessageHead head) {
  if (this->observer == nullptr) {
    return false;
  }
  const ResponseFields fields = this->pool->format.ReadResponseFields(head);
  // On a connection in reuse, a response without an ID may be a late copy of an
  // earlier one: nothing in it says whose it is.
  if (!fields.request_id && !this->request_id.empty() && this->used_before) {
    LogEvent(Severity::kWarning, Event::kServerFailed,
             {{"request_id", this->request_id},
              {"server_key", this->server_key},
              {"failure", "unidentified_answer"},
              {"status", head.status}});
    return false;
  }
  this->skipping = fields.request_id && *fields.request_id != this->request_id;
  this->reusable = this->reusable && !this->skipping && head.keep_alive &&
                   head.framing != net::BodyFraming::kUntilClose;
  if (this->skipping) {
    return true;
  }
  this->keep_alive =
      fields.keep_alive.value_or(kDefaultKeepAlive) - kKeepAliveMargin;
  this->observer->OnResponseHead(head, fields);
  return true;
}

void ServerConnection::OnBody(std::string_view data) {
  if (this->observer == nullptr) {
    return;
  }
  if (!this->skipping) {
    this->observer->OnResponseBody(data);
    return;
  }
  this->skipped_bytes += data.size();
  if (this->skipped_bytes > kMaxSkippedBytes) {
    this->Fail(CallFailure::kMalformed);
  }
}

void ServerConnection::OnMessageEnd() {
  if (this->observer == nullptr || this->skipping) {
    return;
  }
  CallObserver* const receiver = std::exchange(this->observer, nullptr);
  // If the server responded early, the unsent rest of the request would be
  // taken for the next request.
  if (this->reusable && this->socket->UnsentBytes() == 0 &&
      this->keep_alive > Duration{0} && !this->socket->Closed()) {
    this->pool->PutIdle(this->shared_from_this());
  } else {
    this->Close();
  }
  receiver->OnResponseEnd();
}

}  // namespace sycamorebend::gateway
