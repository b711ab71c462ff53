// Deterministic answers of the fake engine. The text follows from the content
// of the request alone, so that every caller can check the answer it received.
#ifndef SYCAMOREBEND_LOAD_ANSWER_TEXT_H_
#define SYCAMOREBEND_LOAD_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamorebend/base.h"

namespace sycamorebend {

// The parts of a completion request that decide its answer.
struct CompletionRequest {
  std::string model;
  // The messages' contents, or the prompt.
  std::string prompt;
  bool chat = true;
  bool stream = false;
  int max_tokens = 0;  // 0: the length follows from the prompt.
};

// Reads the body of a chat or text completion.
// @return the request, or kMalformedRequest.
Result<CompletionRequest> ParseCompletion(bool chat, std::string_view body);

// Answer to one request. Tokens are numbered from 1.
class AnswerText {
 public:
  explicit AnswerText(const CompletionRequest& request);

  int TokenCount() const { return this->token_count; }
  std::string Token(int number) const;
  // @return the text of the whole answer.
  std::string Text() const;
  // @return the server-sent event of one token, with its `id:` line.
  std::string Event(int number) const;
  // @return the events of the whole answer, with the final one.
  std::string AllEvents() const;
  // @return the JSON body of an answer that is not streamed.
  std::string WholeBody() const;

 private:
  std::uint64_t seed;
  int token_count;
  std::size_t prompt_bytes;
  bool chat;
  std::string event_head;
};

// The event that ends a stream.
inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_LOAD_ANSWER_TEXT_H_
