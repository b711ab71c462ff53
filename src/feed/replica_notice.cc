#include "feed/replica_notice.h"

#include <algorithm>
#include <exception>
#include <tuple>
#include <utility>
#include <vector>

#include <msgpack.hpp>

#include "control/field_reader.h"
#include "sycamorebend/settings.h"

namespace sycamorebend {
namespace internal {

namespace {

// A byte that MessagePack does not use, so that receivers of other messages at
// the same address refuse these datagrams.
constexpr char kMark = '\xc1';

enum class DatagramKind : int { kQuery = 0, kNotice = 1 };

// Kind, epoch, version, replicas and entry ID.
using EncodedDatagram = std::tuple<int,
                                   std::string,
                                   std::uint64_t,
                                   std::vector<std::string>,
                                   std::string>;

Error Malformed(const std::string& reason) {
  return MakeError(ResultCode::kProtocolError, "replica datagram: " + reason);
}

Status CheckReplicas(const std::vector<std::string>& replicas) {
  if (replicas.empty() || replicas.size() > kMaxNoticeReplicas) {
    return Malformed("the number of replicas is out of range");
  }
  if (!std::all_of(replicas.begin(), replicas.end(), IsAddress)) {
    return Malformed("a replica is not \"IP:port\" with an IPv4 address");
  }
  return Success();
}

}  // namespace

std::string EncodeReplicaDatagram(const ReplicaDatagram& datagram) {
  EncodedDatagram encoded;
  if (const auto* query = std::get_if<ReplicaQuery>(&datagram)) {
    encoded = {static_cast<int>(DatagramKind::kQuery),
               query->epoch,
               query->version,
               {},
               {}};
  } else {
    const auto& notice = std::get<ReplicaNotice>(datagram);
    encoded = {static_cast<int>(DatagramKind::kNotice), notice.epoch,
               notice.version, notice.replicas, notice.entry_id};
  }
  msgpack::sbuffer buffer;
  buffer.write(&kMark, 1);
  msgpack::pack(buffer, encoded);
  return {buffer.data(), buffer.size()};
}

ReplicaNotice MakeReplicaNotice(const SharedState& state,
                                const std::string& entry_id) {
  const auto count = static_cast<std::ptrdiff_t>(
      std::min(state.replicas.size(), kMaxNoticeReplicas));
  return {state.epoch,
          state.version,
          {state.replicas.begin(), state.replicas.begin() + count},
          entry_id};
}

bool IsReplicaDatagram(std::string_view data) {
  return !data.empty() && data.front() == kMark;
}

Result<ReplicaDatagram> DecodeReplicaDatagram(std::string_view data) {
  if (!IsReplicaDatagram(data)) {
    return Malformed("the mark is missing");
  }
  try {
    const auto handle = msgpack::unpack(data.data() + 1, data.size() - 1);
    auto [kind, epoch, version, replicas, entry_id] =
        handle.get().as<EncodedDatagram>();
    if (kind == static_cast<int>(DatagramKind::kQuery)) {
      return ReplicaDatagram(ReplicaQuery{std::move(epoch), version});
    }
    if (kind != static_cast<int>(DatagramKind::kNotice)) {
      return Malformed("its kind is unknown");
    }
    BOOST_OUTCOME_TRYV(CheckReplicas(replicas));
    return ReplicaDatagram(ReplicaNotice{
        std::move(epoch), version, std::move(replicas), std::move(entry_id)});
  } catch (const std::exception& error) {
    return Malformed(error.what());
  }
}

Json::Value ReplicaNoticeToJson(const ReplicaNotice& notice) {
  Json::Value params;
  params["epoch"] = notice.epoch;
  params["version"] = Json::UInt64(notice.version);
  params["replicas"] = Json::Value(Json::arrayValue);
  for (const std::string& replica : notice.replicas) {
    params["replicas"].append(replica);
  }
  params["entry_id"] = notice.entry_id;
  return params;
}

Result<ReplicaNotice> ReplicaNoticeFromJson(const Json::Value& params) {
  FieldReader reader(params);
  ReplicaNotice notice;
  notice.epoch = reader.Name("epoch");
  notice.version = reader.Unsigned("version");
  notice.replicas = reader.Names("replicas");
  notice.entry_id = reader.OptionalString("entry_id");
  BOOST_OUTCOME_TRYV(reader.Finish());
  const Status checked = CheckReplicas(notice.replicas);
  if (!checked) {
    return MakeError(ResultCode::kMalformedRequest, checked.error().message);
  }
  return notice;
}

}  // namespace internal
}  // namespace sycamorebend
