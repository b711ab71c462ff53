#include "controld/replica_notifier.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "feed/replica_notice.h"
#include "net/socket_address.h"

namespace sycamorebend {

namespace {

// A replica that was frozen answers at once when it runs again. Shorter than
// the interval of the notices, so that there is one call to each.
constexpr Duration kCallTimeout = milliseconds(500);

Error SendError(const std::string& address, int error) {
  return MakeError(ResultCode::kConnectFailed,
                   fmt::format("UDP {}: {}", address,
                               std::generic_category().message(error)));
}

class NetworkNoticeSender : public NoticeSender {
 public:
  // @param fd a non-blocking UDP socket; owned.
  NetworkNoticeSender(int fd, RpcClient& rpc) : fd(fd), rpc(rpc) {}
  ~NetworkNoticeSender() override { ::close(this->fd); }
  NetworkNoticeSender(const NetworkNoticeSender&) = delete;
  NetworkNoticeSender& operator=(const NetworkNoticeSender&) = delete;

  Status SendDatagram(const std::string& address,
                      std::string_view data) override {
    sockaddr_in peer{};
    if (!net::ParseAddress(address, peer)) {
      return SendError(address, EINVAL);
    }
    const ssize_t size =
        ::sendto(this->fd, data.data(), data.size(), 0,
                 reinterpret_cast<const sockaddr*>(&peer), sizeof(peer));
    return size < 0 ? Status(SendError(address, errno)) : Success();
  }

  void CallReplica(const std::string& address,
                   const Json::Value& params,
                   RpcCallback callback) override {
    this->rpc.CallAsync(address, kReplicaNoticeMethod, params, kCallTimeout,
                        std::move(callback));
  }

 private:
  const int fd;
  RpcClient& rpc;
};

// Logs the first notice to a process, or why it was not sent. Later ones are
// counted only.
void LogNotice(const NoticeTarget& target, const Status& result) {
  if (!target.first) {
    return;
  }
  if (result) {
    LogEvent(Severity::kInfo, Event::kReplicaNoticeSent,
             {{"id", target.id}, {"address", target.address}});
  } else {
    LogEvent(Severity::kInfo, Event::kRpcFailed,
             {{"method", kReplicaNoticeMethod},
              {"id", target.id},
              {"address", target.address},
              {"message", result.error().message}});
  }
}

}  // namespace

Result<std::unique_ptr<NoticeSender>> NoticeSender::Create(
    const std::string& own_address,
    RpcClient& rpc) {
  sockaddr_in local{};
  const bool parsed = net::ParseAddress(own_address, local);
  local.sin_port = 0;
  const int fd =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0 && parsed &&
      ::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) ==
          0) {
    return std::unique_ptr<NoticeSender>(
        std::make_unique<NetworkNoticeSender>(fd, rpc));
  }
  const int error = parsed ? errno : EINVAL;
  if (fd >= 0) {
    ::close(fd);
  }
  return MakeError(ResultCode::kListenFailed,
                   SendError(own_address, error).message);
}

void ReplicaNotifier::Tick(const NoticeInput& input, TimePoint now) {
  if (input.shared.epoch.empty() || input.shared.replicas.empty()) {
    return;
  }
  for (const NoticeTarget& target : this->planner.Plan(input, now)) {
    this->Notify(target, input.shared);
  }
}

void ReplicaNotifier::Notify(const NoticeTarget& target,
                             const SharedState& shared) {
  const bool is_entry = target.kind == NoticeTarget::Kind::kEntry;
  const ReplicaNotice notice =
      internal::MakeReplicaNotice(shared, is_entry ? target.id : std::string());
  if (is_entry) {
    const Status sent = this->sender.SendDatagram(
        target.address, internal::EncodeReplicaDatagram(notice));
    this->counts->entries.Add(sent.has_value());
    LogNotice(target, sent);
    return;
  }
  this->sender.CallReplica(
      target.address, internal::ReplicaNoticeToJson(notice),
      [all = this->counts, target](Result<Json::Value> response) {
        all->replicas.Add(response.has_value());
        LogNotice(target, response ? Success() : Status(response.error()));
      });
}

Json::Value ReplicaNotifier::Counts::ToJson() const {
  Json::Value value;
  value["sent"] = Json::UInt64(this->sent.load());
  value["failed"] = Json::UInt64(this->failed.load());
  return value;
}

Json::Value ReplicaNotifier::StatusReport() const {
  Json::Value report;
  report["entry"] = this->counts->entries.ToJson();
  report["replica"] = this->counts->replicas.ToJson();
  return report;
}

}  // namespace sycamorebend
