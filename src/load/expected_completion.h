// Deterministic completions of the fake engine. The text depends only on the
// content of the request, so that every caller can check its response.
#ifndef SYCAMOREBEND_LOAD_ANSWER_TEXT_H_
#define SYCAMOREBEND_LOAD_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamorebend/base.h"

namespace sycamorebend {

// The fields of a completion request that determine its response.
struct CompletionRequest {
  std::string model;
  // The messages' contents, or the prompt.
  std::string prompt;
  bool chat = true;
  bool stream = false;
  int max_tokens = 0;  // 0: derived from the model and the prompt.
};

// Parses the body of a chat or text completion request.
// @return the request, or kMalformedRequest.
Result<CompletionRequest> ParseCompletion(bool chat, std::string_view body);

// The expected response to one request. Tokens are numbered from 1.
class ExpectedCompletion {
 public:
  explicit ExpectedCompletion(const CompletionRequest& request);

  int TokenCount() const { return this->token_count; }
  std::string Token(int number) const;
  // @return the text of all tokens.
  std::string Text() const;
  // @return the server-sent event of one token, with its `id:` line.
  std::string Event(int number) const;
  // @return all events of the stream, including the final one.
  std::string AllEvents() const;
  // @return the JSON body of a response that is not streamed.
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
