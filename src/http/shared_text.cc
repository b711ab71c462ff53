#include <zlib.h>

#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

// Negative: without header and checksum.
constexpr int kRawWindowBits = -15;
constexpr int kMemoryLevel = 8;

}  // namespace

void SharedText::Compress() const {
  // Fast rather than small: a replica compresses each version while it has
  // other work, and JSON text of many similar records shrinks to a fraction at
  // any level.
  z_stream stream{};
  if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, kRawWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::bad_alloc();
  }
  std::string blocks(
      deflateBound(&stream, static_cast<uLong>(this->text.size())) +
          sizeof(std::uint64_t),
      '\0');
  auto* const input = reinterpret_cast<const Bytef*>(this->text.data());
  stream.next_in = const_cast<Bytef*>(input);
  stream.avail_in = static_cast<uInt>(this->text.size());
  stream.next_out = reinterpret_cast<Bytef*>(blocks.data());
  stream.avail_out = static_cast<uInt>(blocks.size());
  deflate(&stream, Z_FULL_FLUSH);
  blocks.resize(stream.total_out);
  deflateEnd(&stream);
  blocks.shrink_to_fit();
  this->deflated = std::move(blocks);
  this->checksum = static_cast<std::uint32_t>(
      crc32(0, input, static_cast<uInt>(this->text.size())));
}

const std::string& SharedText::Deflated() const {
  std::call_once(this->compressed, [this] { this->Compress(); });
  return this->deflated;
}

std::uint32_t SharedText::Checksum() const {
  std::call_once(this->compressed, [this] { this->Compress(); });
  return this->checksum;
}

std::string JoinBody(const HttpBody& body) {
  std::string text;
  for (const auto& part : body) {
    text += part->Text();
  }
  return text;
}

void HttpExchange::RespondShared(int status,
                                 HttpHeaders headers,
                                 HttpBody body) {
  this->Respond(status, std::move(headers), JoinBody(body));
}

}  // namespace sycamorebend
