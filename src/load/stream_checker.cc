#include "load/stream_checker.h"

namespace sycamorebend {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kErrorEvent = "event: error";
constexpr std::string_view kDone = "[DONE]";

std::string_view ExtractData(std::string_view event) {
  const std::size_t start = event.find(kDataPrefix) + kDataPrefix.size();
  return event.substr(start, event.find('\n', start) - start);
}

}  // namespace

int StreamChecker::Add(std::string_view data) {
  const int before = this->tokens;
  while (!data.empty()) {
    const std::size_t end = data.find('\n');
    this->partial_line.append(data.substr(0, end));
    if (end == std::string_view::npos) {
      break;
    }
    this->AddLine(this->partial_line);
    this->partial_line.clear();
    data.remove_prefix(end + 1);
  }
  return this->tokens - before;
}

void StreamChecker::AddLine(std::string_view line) {
  if (line == kErrorEvent) {
    this->error_event = true;
  } else if (line.substr(0, kDataPrefix.size()) == kDataPrefix) {
    this->AddData(line.substr(kDataPrefix.size()));
  }
  // Other lines are event IDs, heartbeat comments and separators.
}

void StreamChecker::AddData(std::string_view data) {
  if (this->error_event) {
    this->error_event = false;
    this->error_data = data;
    return;
  }
  const bool over =
      this->done || this->tokens >= this->expected_completion.TokenCount();
  if (data == kDone && !this->done) {
    this->done = true;
  } else if (over) {
    this->mismatch = true;
  } else {
    ++this->tokens;
    const std::string expected = this->expected_completion.Event(this->tokens);
    this->mismatch = this->mismatch || data != ExtractData(expected);
  }
}

bool StreamChecker::IsCorrect() const {
  return this->done && !this->mismatch && this->error_data.empty() &&
         this->partial_line.empty() &&
         this->tokens == this->expected_completion.TokenCount();
}

}  // namespace sycamorebend
