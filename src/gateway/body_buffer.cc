#include "gateway/body_buffer.h"

#include <algorithm>
#include <utility>

namespace sycamorebend::gateway {

void BodyBuffer::Append(std::string_view data) {
  this->size += data.size();
  while (!data.empty()) {
    if (this->blocks.empty() || this->blocks.back().size() == kBlockBytes) {
      this->blocks.emplace_back();
      if (this->blocks.size() > 1) {
        this->blocks.back().reserve(kBlockBytes);
      }
    }
    std::string& block = this->blocks.back();
    const std::size_t part = std::min(data.size(), kBlockBytes - block.size());
    block.append(data.substr(0, part));
    data.remove_prefix(part);
  }
}

std::size_t BodyBuffer::Capacity() const {
  // All blocks but the first have the same capacity.
  return this->blocks.empty() ? 0
                              : this->blocks.front().capacity() +
                                    (this->blocks.size() - 1) * kBlockBytes;
}

std::string BodyBuffer::Take() {
  std::vector<std::string> parts = std::exchange(this->blocks, {});
  const std::size_t whole_size = std::exchange(this->size, 0);
  if (parts.empty()) {
    return {};
  }
  if (parts.size() == 1) {
    return std::move(parts.front());
  }
  std::string whole;
  whole.reserve(whole_size);
  for (std::string& part : parts) {
    whole.append(part);
    part = std::string();
  }
  return whole;
}

}  // namespace sycamorebend::gateway
