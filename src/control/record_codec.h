// Binary encoding of snapshot records. Snapshots are taken on the control
// thread, where encoding 100,000 orders as JSON took 3 s, longer than the
// leader's lease.
#ifndef SYCAMOREBEND_SRC_CONTROL_RECORD_CODEC_H_
#define SYCAMOREBEND_SRC_CONTROL_RECORD_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorebend {
namespace internal {

// Appends numbers and strings. A number is 8 bytes, little-endian; a string is
// its size followed by its bytes.
class RecordWriter {
 public:
  explicit RecordWriter(std::string& bytes) : bytes(bytes) {}

  void Number(std::uint64_t number) {
    char encoded[sizeof(number)];
    for (char& byte : encoded) {
      byte = static_cast<char>(number & 0xff);
      number >>= 8;
    }
    this->bytes.append(encoded, sizeof(encoded));
  }

  void Text(std::string_view text) {
    this->Number(text.size());
    this->bytes.append(text);
  }

 private:
  std::string& bytes;
};

// Reads the output of RecordWriter. After a truncated value, every value is 0
// or empty and Failed returns true.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : bytes(bytes) {}

  std::uint64_t Number() {
    std::uint64_t number = 0;
    const std::string_view encoded = this->Take(sizeof(number));
    for (std::size_t i = encoded.size(); i > 0; --i) {
      number = number << 8 | static_cast<unsigned char>(encoded[i - 1]);
    }
    return number;
  }

  std::int64_t Signed() { return static_cast<std::int64_t>(this->Number()); }

  std::string_view Text() { return this->Take(this->Number()); }

  bool Failed() const { return this->failed; }
  bool AtEnd() const { return this->bytes.empty(); }

 private:
  std::string_view Take(std::size_t size) {
    if (this->failed || size > this->bytes.size()) {
      this->failed = true;
      return {};
    }
    const std::string_view taken = this->bytes.substr(0, size);
    this->bytes.remove_prefix(size);
    return taken;
  }

  std::string_view bytes;
  bool failed = false;
};

}  // namespace internal
}  // namespace sycamorebend

#endif  // SYCAMOREBEND_SRC_CONTROL_RECORD_CODEC_H_
