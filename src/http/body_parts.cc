#include "http/body_parts.h"

#include <zlib.h>

#include <string>

namespace sycamorebend::internal {

namespace {

constexpr int kBitsPerByte = 8;
constexpr int kByteMask = 0xFF;
// Smaller bodies fit into a few packets.
constexpr std::size_t kMinCompressedBody = 8 << 10;
// Shorter texts are stored: they differ for each response, and compressing them
// saves less than the headers of a response take.
constexpr std::size_t kMinDeflatedText = 512;
// Method deflate, no name, no time, unknown system.
constexpr std::string_view kGzipHeader("\x1f\x8b\x08\0\0\0\0\0\0\xff", 10);
// An empty block with fixed codes, which ends the stream.
constexpr std::string_view kLastBlock("\x03\0", 2);

void PutLittleEndian(std::string& out, std::uint32_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out.push_back(static_cast<char>((value >> (kBitsPerByte * i)) & kByteMask));
  }
}

// Appends `text`, which is shorter than kMinDeflatedText, as a block that is
// not compressed.
void PutStoredBlock(std::string& out, const std::string& text) {
  constexpr std::uint32_t kLengthMask = 0xFFFF;
  const auto length = static_cast<std::uint32_t>(text.size());
  out.push_back('\0');
  PutLittleEndian(out, length, sizeof(std::uint16_t));
  PutLittleEndian(out, ~length & kLengthMask, sizeof(std::uint16_t));
  out += text;
}

void Flush(std::string& bytes, BodyParts& parts) {
  if (bytes.empty()) {
    return;
  }
  auto owner = std::make_shared<const std::string>(std::move(bytes));
  const std::string_view view = *owner;
  parts.push_back({std::move(owner), view});
  bytes = {};
}

}  // namespace

BodyParts PlainBody(const HttpBody& body) {
  BodyParts parts;
  for (const auto& text : body) {
    parts.push_back({text, text->Text()});
  }
  return parts;
}

BodyParts GzipBody(const HttpBody& body) {
  BodyParts parts;
  std::string own(kGzipHeader);
  uLong checksum = crc32(0, nullptr, 0);
  std::uint32_t size = 0;
  for (const auto& text : body) {
    const std::string& bytes = text->Text();
    size += static_cast<std::uint32_t>(bytes.size());
    if (bytes.size() < kMinDeflatedText) {
      PutStoredBlock(own, bytes);
      checksum = crc32(checksum, reinterpret_cast<const Bytef*>(bytes.data()),
                       static_cast<uInt>(bytes.size()));
      continue;
    }
    Flush(own, parts);
    parts.push_back({text, text->Deflated()});
    checksum = crc32_combine(checksum, text->Checksum(),
                             static_cast<z_off_t>(bytes.size()));
  }
  own += kLastBlock;
  PutLittleEndian(own, static_cast<std::uint32_t>(checksum),
                  sizeof(std::uint32_t));
  PutLittleEndian(own, size, sizeof(std::uint32_t));
  Flush(own, parts);
  return parts;
}

bool ShouldCompress(const HttpHeaders& request_headers, const HttpBody& body) {
  std::size_t size = 0;
  for (const auto& text : body) {
    size += text->Text().size();
  }
  return size >= kMinCompressedBody &&
         FindHeader(request_headers, "Accept-Encoding") == "gzip";
}

}  // namespace sycamorebend::internal
