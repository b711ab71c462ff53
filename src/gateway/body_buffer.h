// Body of a request that is being received.
#ifndef SYCAMOREBEND_SRC_GATEWAY_BODY_BUFFER_H_
#define SYCAMOREBEND_SRC_GATEWAY_BODY_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorebend::gateway {

// Kept in blocks, so that growing neither copies it nor leaves half of a buffer
// unused.
class BodyBuffer {
 public:
  void Append(std::string_view data);
  std::size_t Size() const { return this->size; }
  // @return the memory that it takes.
  std::size_t Capacity() const;
  // @return the body; the buffer is empty afterwards.
  std::string Take();

 private:
  static constexpr std::size_t kBlockBytes = 64 << 10;

  std::vector<std::string> blocks;
  std::size_t size = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_BODY_BUFFER_H_
