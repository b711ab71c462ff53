// Checks a stream of server-sent events against the expected response while it
// arrives.
#ifndef SYCAMOREBEND_LOAD_STREAM_CHECKER_H_
#define SYCAMOREBEND_LOAD_STREAM_CHECKER_H_

#include <string>
#include <string_view>

#include "load/expected_completion.h"

namespace sycamorebend {

class StreamChecker {
 public:
  explicit StreamChecker(const ExpectedCompletion& expected_completion)
      : expected_completion(expected_completion) {}

  // @return the number of token events that `data` completed.
  int Add(std::string_view data);

  int Tokens() const { return this->tokens; }
  // @return true if the final event arrived.
  bool Done() const { return this->done; }
  // @return true if the expected events arrived and no other data.
  bool IsCorrect() const;
  // @return the data of an `error` event, or an empty text.
  const std::string& ErrorData() const { return this->error_data; }

 private:
  void AddLine(std::string_view line);
  void AddData(std::string_view data);

  const ExpectedCompletion expected_completion;
  std::string partial_line;
  bool error_event = false;
  bool mismatch = false;
  bool done = false;
  int tokens = 0;
  std::string error_data;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_LOAD_STREAM_CHECKER_H_
