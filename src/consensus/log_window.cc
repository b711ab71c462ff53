#include "consensus/log_window.h"

#include <algorithm>
#include <utility>

namespace sycamorebend::internal {

std::optional<Term> LogWindow::TermAt(LogIndex index) const {
  if (index == this->base_index) {
    return this->base_term;
  }
  if (index < this->base_index || index > this->LastIndex()) {
    return std::nullopt;
  }
  return this->At(index)->term;
}

std::uint64_t LogWindow::EndOf(LogIndex index) const {
  if (index <= this->base_index || this->slots.empty()) {
    return this->base_end;
  }
  const LogIndex last = std::min(index, this->LastIndex());
  return this->slots[last - this->base_index - 1].end;
}

void LogWindow::Append(EntryPtr entry) {
  const std::uint64_t end =
      this->EndOf(this->LastIndex()) + kEntryBytes + entry->payload.size();
  this->slots.push_back({std::move(entry), end});
}

void LogWindow::TruncateFrom(LogIndex from) {
  while (!this->slots.empty() && this->LastIndex() >= from) {
    this->slots.pop_back();
  }
}

void LogWindow::DropThrough(LogIndex index) {
  while (!this->slots.empty() && this->base_index < index) {
    this->base_term = this->slots.front().entry->term;
    this->base_end = this->slots.front().end;
    ++this->base_index;
    this->slots.pop_front();
  }
}

void LogWindow::Reset(LogIndex index, Term term) {
  this->slots.clear();
  this->base_index = index;
  this->base_term = term;
}

}  // namespace sycamorebend::internal
