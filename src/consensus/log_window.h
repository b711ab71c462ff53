// The entries of the log that are kept in memory, with the bytes that they
// take. Not thread-safe.
#ifndef SYCAMOREBEND_SRC_CONSENSUS_LOG_WINDOW_H_
#define SYCAMOREBEND_SRC_CONSENSUS_LOG_WINDOW_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "consensus/types.h"

namespace sycamorebend::internal {

// Contains the entries after BaseIndex(), without gaps. The number of entries
// says little about memory and transfer time, as their sizes differ by several
// orders of magnitude; limits are therefore given in bytes.
class LogWindow {
 public:
  // Memory of an entry in addition to its payload.
  static constexpr std::uint64_t kEntryBytes =
      sizeof(Entry) + sizeof(EntryPtr) + sizeof(std::uint64_t);

  LogIndex BaseIndex() const { return this->base_index; }
  Term BaseTerm() const { return this->base_term; }
  LogIndex LastIndex() const { return this->base_index + this->slots.size(); }
  Term LastTerm() const {
    return this->slots.empty() ? this->base_term
                               : this->slots.back().entry->term;
  }
  bool Empty() const { return this->slots.empty(); }

  // @return the term of the entry; empty if it is before BaseIndex() or after
  // LastIndex().
  std::optional<Term> TermAt(LogIndex index) const;
  // @param index greater than BaseIndex() and at most LastIndex().
  const EntryPtr& At(LogIndex index) const {
    return this->slots[index - this->base_index - 1].entry;
  }

  // @return bytes of the entries in the window.
  std::uint64_t Bytes() const { return this->BytesAfter(this->base_index); }
  // @return bytes of the entries in the window after `index`.
  std::uint64_t BytesAfter(LogIndex index) const {
    return this->EndOf(this->LastIndex()) - this->EndOf(index);
  }
  // @return bytes of the entries in the window after `after`, up to and
  // including `through`.
  std::uint64_t BytesBetween(LogIndex after, LogIndex through) const {
    return through <= after ? 0 : this->EndOf(through) - this->EndOf(after);
  }

  // Appends the entry LastIndex() + 1.
  void Append(EntryPtr entry);
  // Removes the entries from `from` on. They must be after BaseIndex().
  void TruncateFrom(LogIndex from);
  // Removes the entries up to and including `index`, at most LastIndex(), which
  // becomes the base.
  void DropThrough(LogIndex index);
  // Removes all entries and sets the base.
  void Reset(LogIndex index, Term term);

 private:
  struct Slot {
    EntryPtr entry;
    // Bytes of all entries appended up to and including this one.
    std::uint64_t end = 0;
  };

  // @return Slot::end of the entry at `index`, limited to the window.
  std::uint64_t EndOf(LogIndex index) const;

  std::deque<Slot> slots;
  LogIndex base_index = 0;
  Term base_term = 0;
  // Slot::end of the entry at the base.
  std::uint64_t base_end = 0;
};

}  // namespace sycamorebend::internal

#endif  // SYCAMOREBEND_SRC_CONSENSUS_LOG_WINDOW_H_
