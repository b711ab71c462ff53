// Binary encoding of entries, replica sets, snapshots and messages for files
// and for the transport. Integers are little-endian.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_ENCODING_H_
#define SYCAMOREBEND_SRC_CONSENSUS_ENCODING_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "consensus/types.h"

namespace sycamorebend::internal {

void PutU8(std::string& out, std::uint8_t value);
void PutU32(std::string& out, std::uint32_t value);
void PutU64(std::string& out, std::uint64_t value);
// Writes a 32-bit length followed by the bytes.
void PutBytes(std::string& out, std::string_view bytes);

// Reads values in the order in which they were written. After a read beyond the
// end, Ok returns false and every further read returns zero or an empty value.
class ByteReader {
 public:
  explicit ByteReader(std::string_view data) : data(data) {}

  std::uint8_t U8();
  std::uint32_t U32();
  std::uint64_t U64();
  std::string_view Bytes();
  bool Ok() const { return this->ok; }
  bool AtEnd() const { return this->data.empty(); }

 private:
  std::string_view Take(std::size_t size);

  std::string_view data;
  bool ok = true;
};

void PutEntry(std::string& out, const Entry& entry);
// @return the entry, which is valid only if ByteReader::Ok is true afterwards.
Entry ReadEntry(ByteReader& reader);

std::string EncodeReplicaSet(const ReplicaSet& replicas);
std::optional<ReplicaSet> DecodeReplicaSet(std::string_view data);

std::string EncodeSnapshot(const SnapshotData& snapshot);
std::optional<SnapshotData> DecodeSnapshot(std::string_view data);

std::string EncodeMessage(const Message& message);
std::optional<Message> DecodeMessage(std::string_view data);

std::string Base64Encode(std::string_view data);
std::optional<std::string> Base64Decode(std::string_view text);

// CRC-32C (Castagnoli) of `data`, continuing from `seed`.
std::uint32_t Crc32c(std::string_view data, std::uint32_t seed = 0);

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_ENCODING_H_
