#include "consensus/encoding.h"

#include <array>
#include <utility>

#include <openssl/evp.h>

namespace sycamorebend::internal {

namespace {

constexpr int kBitsPerByte = 8;
// The Castagnoli polynomial, bit-reversed.
constexpr std::uint32_t kCrc32cPolynomial = 0x82F63B78;
constexpr std::size_t kCrcSlices = 8;

using CrcTables = std::array<std::array<std::uint32_t, 256>, kCrcSlices>;

CrcTables MakeCrcTables() {
  CrcTables tables{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t value = i;
    for (int bit = 0; bit < kBitsPerByte; ++bit) {
      value = (value & 1) != 0 ? (value >> 1) ^ kCrc32cPolynomial : value >> 1;
    }
    tables[0][i] = value;
  }
  for (std::size_t slice = 1; slice < kCrcSlices; ++slice) {
    for (std::size_t i = 0; i < 256; ++i) {
      const std::uint32_t previous = tables[slice - 1][i];
      tables[slice][i] = (previous >> 8) ^ tables[0][previous & 0xFF];
    }
  }
  return tables;
}

template <typename T>
void PutInteger(std::string& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>(value >> (kBitsPerByte * i)));
  }
}

template <typename T>
T GetInteger(std::string_view bytes) {
  T value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= static_cast<T>(static_cast<std::uint8_t>(bytes[i]))
             << (kBitsPerByte * i);
  }
  return value;
}

void PutReplicaSet(std::string& out, const ReplicaSet& replicas) {
  PutU64(out, replicas.largest_id);
  PutU32(out, static_cast<std::uint32_t>(replicas.members.size()));
  for (const Member& member : replicas.members) {
    PutU64(out, member.id);
    PutU8(out, member.voter ? 1 : 0);
    PutBytes(out, member.address);
  }
}

ReplicaSet ReadReplicaSet(ByteReader& reader) {
  ReplicaSet replicas;
  replicas.largest_id = reader.U64();
  const std::uint32_t count = reader.U32();
  for (std::uint32_t i = 0; i < count && reader.Ok(); ++i) {
    Member member;
    member.id = reader.U64();
    member.voter = reader.U8() != 0;
    member.address = std::string(reader.Bytes());
    replicas.members.push_back(std::move(member));
  }
  return replicas;
}

}  // namespace

void PutU8(std::string& out, std::uint8_t value) {
  PutInteger(out, value);
}

void PutU32(std::string& out, std::uint32_t value) {
  PutInteger(out, value);
}

void PutU64(std::string& out, std::uint64_t value) {
  PutInteger(out, value);
}

void PutBytes(std::string& out, std::string_view bytes) {
  PutU32(out, static_cast<std::uint32_t>(bytes.size()));
  out.append(bytes);
}

std::string_view ByteReader::Take(std::size_t size) {
  if (!this->ok || this->data.size() < size) {
    this->ok = false;
    return {};
  }
  const std::string_view taken = this->data.substr(0, size);
  this->data.remove_prefix(size);
  return taken;
}

std::uint8_t ByteReader::U8() {
  return GetInteger<std::uint8_t>(this->Take(sizeof(std::uint8_t)));
}

std::uint32_t ByteReader::U32() {
  return GetInteger<std::uint32_t>(this->Take(sizeof(std::uint32_t)));
}

std::uint64_t ByteReader::U64() {
  return GetInteger<std::uint64_t>(this->Take(sizeof(std::uint64_t)));
}

std::string_view ByteReader::Bytes() {
  return this->Take(this->U32());
}

void PutEntry(std::string& out, const Entry& entry) {
  PutU64(out, entry.index);
  PutU64(out, entry.term);
  PutU64(out, static_cast<std::uint64_t>(entry.leader_time_ms));
  PutU8(out, static_cast<std::uint8_t>(entry.kind));
  PutBytes(out, entry.payload);
}

Entry ReadEntry(ByteReader& reader) {
  Entry entry;
  entry.index = reader.U64();
  entry.term = reader.U64();
  entry.leader_time_ms = static_cast<std::int64_t>(reader.U64());
  entry.kind = static_cast<EntryKind>(reader.U8());
  entry.payload = std::string(reader.Bytes());
  return entry;
}

std::string EncodeReplicaSet(const ReplicaSet& replicas) {
  std::string out;
  PutReplicaSet(out, replicas);
  return out;
}

std::optional<ReplicaSet> DecodeReplicaSet(std::string_view data) {
  ByteReader reader(data);
  ReplicaSet replicas = ReadReplicaSet(reader);
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return replicas;
}

std::string EncodeSnapshot(const SnapshotData& snapshot) {
  std::string out;
  out.reserve(snapshot.state.size() + 256);
  PutU64(out, snapshot.index);
  PutU64(out, snapshot.term);
  PutU64(out, static_cast<std::uint64_t>(snapshot.leader_time_ms));
  PutReplicaSet(out, snapshot.replicas);
  PutBytes(out, snapshot.state);
  return out;
}

std::optional<SnapshotData> DecodeSnapshot(std::string_view data) {
  ByteReader reader(data);
  SnapshotData snapshot;
  snapshot.index = reader.U64();
  snapshot.term = reader.U64();
  snapshot.leader_time_ms = static_cast<std::int64_t>(reader.U64());
  snapshot.replicas = ReadReplicaSet(reader);
  snapshot.state = std::string(reader.Bytes());
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  return snapshot;
}

std::string EncodeMessage(const Message& message) {
  std::string out;
  PutU8(out, static_cast<std::uint8_t>(message.type));
  PutU64(out, message.from);
  PutU64(out, message.to);
  PutU64(out, message.term);
  PutU64(out, message.index);
  PutU64(out, message.index_term);
  PutU64(out, message.commit);
  PutU8(out, message.granted ? 1 : 0);
  PutU8(out, message.leadership_transfer ? 1 : 0);
  PutU64(out, message.hint);
  PutU64(out, static_cast<std::uint64_t>(message.leader_timestamp));
  PutU64(out, static_cast<std::uint64_t>(message.follower_timestamp));
  PutU64(out, static_cast<std::uint64_t>(message.confirmation_age_ns));
  PutU64(out, message.offset);
  PutU64(out, message.total);
  PutBytes(out, message.data);
  PutU32(out, static_cast<std::uint32_t>(message.entries.size()));
  for (const EntryPtr& entry : message.entries) {
    PutEntry(out, *entry);
  }
  return out;
}

std::optional<Message> DecodeMessage(std::string_view data) {
  ByteReader reader(data);
  Message message;
  const std::uint8_t type = reader.U8();
  message.type = static_cast<MessageType>(type);
  message.from = reader.U64();
  message.to = reader.U64();
  message.term = reader.U64();
  message.index = reader.U64();
  message.index_term = reader.U64();
  message.commit = reader.U64();
  message.granted = reader.U8() != 0;
  message.leadership_transfer = reader.U8() != 0;
  message.hint = reader.U64();
  message.leader_timestamp = static_cast<std::int64_t>(reader.U64());
  message.follower_timestamp = static_cast<std::int64_t>(reader.U64());
  message.confirmation_age_ns = static_cast<std::int64_t>(reader.U64());
  message.offset = reader.U64();
  message.total = reader.U64();
  message.data = std::string(reader.Bytes());
  const std::uint32_t count = reader.U32();
  for (std::uint32_t i = 0; i < count && reader.Ok(); ++i) {
    message.entries.push_back(std::make_shared<const Entry>(ReadEntry(reader)));
  }
  if (!reader.Ok() || !reader.AtEnd() ||
      type < static_cast<std::uint8_t>(MessageType::kPreVote) ||
      type > static_cast<std::uint8_t>(MessageType::kTimeoutNow)) {
    return std::nullopt;
  }
  return message;
}

std::string Base64Encode(std::string_view data) {
  std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(data.data()),
                      static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string out(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding characters to zero bytes.
  for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
    out.pop_back();
  }
  return out;
}

std::uint32_t Crc32c(std::string_view data, std::uint32_t seed) {
  static const CrcTables kTables = MakeCrcTables();
  std::uint32_t crc = ~seed;
  while (data.size() >= kCrcSlices) {
    const auto word = GetInteger<std::uint64_t>(data.substr(0, kCrcSlices)) ^
                      static_cast<std::uint64_t>(crc);
    crc = 0;
    for (std::size_t i = 0; i < kCrcSlices; ++i) {
      crc ^= kTables[kCrcSlices - 1 - i][(word >> (kBitsPerByte * i)) & 0xFF];
    }
    data.remove_prefix(kCrcSlices);
  }
  for (const char byte : data) {
    crc = (crc >> kBitsPerByte) ^
          kTables[0][(crc ^ static_cast<std::uint8_t>(byte)) & 0xFF];
  }
  return ~crc;
}

}  // namespace sycamorebend::internal
