#include "load/expected_completion.h"

#include <array>

#include <fmt/format.h>
#include <json/value.h>

#include "sycamorebend/settings.h"

namespace sycamorebend {

namespace {

constexpr int kMinimumTokens = 16;
constexpr int kTokenCountRange = 48;
constexpr std::size_t kBytesPerToken = 4;

constexpr std::array<std::string_view, 32> kWords = {
    "press",  "plate", "riser", "chart", "bolt",  "order", "seat",  "row",
    "voice",  "alto",  "tenor", "bass",  "heat",  "gauge", "spare", "belt",
    "motor",  "check", "stock", "list",  "north", "south", "early", "late",
    "before", "after", "above", "below", "left",  "right", "open",  "closed"};

// Mixes the bits of `value` (finaliser of SplitMix64).
std::uint64_t MixBits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

Result<std::string> ExtractPrompt(const Json::Value& body, bool chat) {
  if (!chat) {
    if (!body["prompt"].isString()) {
      return MakeError(ResultCode::kMalformedRequest,
                       "\"prompt\" must be a string");
    }
    return body["prompt"].asString();
  }
  if (!body["messages"].isArray()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "\"messages\" must be an array");
  }
  std::string prompt;
  for (const Json::Value& message : body["messages"]) {
    if (!message.isObject() || !message["content"].isString()) {
      return MakeError(ResultCode::kMalformedRequest,
                       "each message needs a string \"content\"");
    }
    prompt += message["content"].asString();
  }
  return prompt;
}

}  // namespace

Result<CompletionRequest> ParseCompletion(bool chat, std::string_view body) {
  BOOST_OUTCOME_TRY(value, ParseJson(body));
  if (!value.isObject() || !value["model"].isString()) {
    return MakeError(ResultCode::kMalformedRequest,
                     "the body must be an object with a string \"model\"");
  }
  CompletionRequest request;
  request.chat = chat;
  request.model = value["model"].asString();
  BOOST_OUTCOME_TRY(prompt, ExtractPrompt(value, chat));
  request.prompt = std::move(prompt);
  request.stream = value["stream"].isBool() && value["stream"].asBool();
  if (value["max_tokens"].isInt()) {
    request.max_tokens = value["max_tokens"].asInt();
  }
  return request;
}

ExpectedCompletion::ExpectedCompletion(const CompletionRequest& request)
    : seed(MixBits(StableHash64(request.model) ^
                   MixBits(StableHash64(request.prompt)))),
      token_count(request.max_tokens > 0
                      ? request.max_tokens
                      : kMinimumTokens +
                            static_cast<int>(this->seed % kTokenCountRange)),
      prompt_bytes(request.prompt.size()),
      chat(request.chat),
      event_head(fmt::format(
          R"({{"id":"cmpl-{:016x}","object":"{}","created":0,"model":{},)"
          R"("choices":[{{"index":0,)",
          this->seed,
          request.chat ? "chat.completion.chunk" : "text_completion",
          WriteJson(Json::Value(request.model)))) {}

std::string ExpectedCompletion::Token(int number) const {
  const std::uint64_t pick =
      MixBits(this->seed + static_cast<std::uint64_t>(number));
  return fmt::format("{}{} ", kWords[pick % kWords.size()], number);
}

std::string ExpectedCompletion::Text() const {
  std::string text;
  for (int number = 1; number <= this->token_count; ++number) {
    text += this->Token(number);
  }
  return text;
}

std::string ExpectedCompletion::Event(int number) const {
  const std::string_view finish =
      number == this->token_count ? R"("stop")" : "null";
  const std::string token = this->Token(number);
  if (this->chat) {
    return fmt::format(
        "id: {}\ndata: {}\"delta\":{{\"content\":\"{}\"}},"
        "\"finish_reason\":{}}}]}}\n\n",
        number, this->event_head, token, finish);
  }
  return fmt::format(
      "id: {}\ndata: {}\"text\":\"{}\",\"finish_reason\":{}}}]}}\n\n", number,
      this->event_head, token, finish);
}

std::string ExpectedCompletion::AllEvents() const {
  std::string events;
  for (int number = 1; number <= this->token_count; ++number) {
    events += this->Event(number);
  }
  events += kDoneEvent;
  return events;
}

std::string ExpectedCompletion::WholeBody() const {
  const std::string usage =
      fmt::format(R"("usage":{{"prompt_tokens":{},"completion_tokens":{}}})",
                  this->prompt_bytes / kBytesPerToken, this->token_count);
  if (this->chat) {
    return fmt::format(R"({}"message":{{"role":"assistant","content":"{}"}},)"
                       R"("finish_reason":"stop"}}],{}}})",
                       this->event_head, this->Text(), usage);
  }
  return fmt::format(R"({}"text":"{}","finish_reason":"stop"}}],{}}})",
                     this->event_head, this->Text(), usage);
}

}  // namespace sycamorebend
