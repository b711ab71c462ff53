#include "entry/caller_request.h"

#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <charconv>

#include "entry/prefix_hashes.h"
#include "sycamorebend/settings.h"

namespace sycamorebend::entry {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::int64_t kMaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::size_t kMaxKeyBytes = 255;
constexpr std::int64_t kMaxOutputTokens = 1 << 30;
// Average for English text; used only to estimate the work of a request.
constexpr std::size_t kBytesPerToken = 4;

Error Malformed(std::string message) {
  return MakeError(ResultCode::kMalformedRequest, std::move(message));
}

// The fields of a completion request that routing uses.
struct CompletionBody {
  std::string model;
  std::string prompt;
  bool stream = false;
  int max_output_tokens = 0;
};

// Appends the text of a message. Its content is a string, or a list of parts
// of which those without "text" are skipped.
Status AppendContent(const Json::Value& content, std::string& prompt) {
  if (content.isString()) {
    prompt += content.asString();
    return Success();
  }
  if (content.isNull()) {
    return Success();
  }
  if (!content.isArray()) {
    return Malformed("\"content\" must be a string or a list of parts");
  }
  for (const Json::Value& part : content) {
    if (!part.isObject()) {
      return Malformed("a part of \"content\" must be an object");
    }
    if (part["text"].isString()) {
      prompt += part["text"].asString();
    }
  }
  return Success();
}

Status ReadMessages(const Json::Value& body, CompletionBody& completion) {
  const Json::Value& messages = body["messages"];
  if (!messages.isArray() || messages.empty()) {
    return Malformed("\"messages\" must be a non-empty list");
  }
  for (const Json::Value& message : messages) {
    if (!message.isObject() || !message["role"].isString()) {
      return Malformed("a message must be an object with a \"role\"");
    }
    BOOST_OUTCOME_TRY(AppendContent(message["content"], completion.prompt));
  }
  return Success();
}

Status ReadPrompt(const Json::Value& body, CompletionBody& completion) {
  const Json::Value& prompt = body["prompt"];
  if (!prompt.isString()) {
    return Malformed("\"prompt\" must be a string");
  }
  completion.prompt = prompt.asString();
  return Success();
}

Status ReadMaxTokens(const Json::Value& body, CompletionBody& completion) {
  for (const char* const key : {"max_tokens", "max_completion_tokens"}) {
    const Json::Value& limit = body[key];
    if (limit.isNull()) {
      continue;
    }
    if (!limit.isInt64() || limit.asInt64() < 1 ||
        limit.asInt64() > kMaxOutputTokens) {
      return Malformed(
          fmt::format("\"{}\" must be a positive whole number", key));
    }
    completion.max_output_tokens = limit.asInt();
  }
  return Success();
}

Result<CompletionBody> ReadCompletion(const HttpRequest& request) {
  Result<Json::Value> parsed = ParseJson(request.body);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& body = parsed.value();
  if (!body.isObject()) {
    return Malformed("the body must be a JSON object");
  }
  CompletionBody completion;
  if (!body["model"].isString() || body["model"].asString().empty()) {
    return Malformed("\"model\" must be a non-empty string");
  }
  completion.model = body["model"].asString();
  if (!body["stream"].isNull() && !body["stream"].isBool()) {
    return Malformed("\"stream\" must be true or false");
  }
  completion.stream = body["stream"].asBool();
  BOOST_OUTCOME_TRY(request.path == kChatPath ? ReadMessages(body, completion)
                                              : ReadPrompt(body, completion));
  BOOST_OUTCOME_TRY(ReadMaxTokens(body, completion));
  return completion;
}

// Adds the labels of the model. They override labels of the same name from the
// header, because they determine which servers can run the request at all.
void AddModelLabels(const std::string& model,
                    const Policy& policy,
                    Labels& labels) {
  const auto known = policy.model_labels.find(model);
  if (known == policy.model_labels.end()) {
    labels["model"] = model;
    return;
  }
  for (const auto& [name, value] : known->second) {
    labels[name] = value;
  }
}

Status ReadDeadline(const HttpRequest& request,
                    TimePoint now,
                    RequestInfo& info) {
  const auto header = FindHeader(request.headers, kDeadlineHeader);
  if (!header) {
    return Success();
  }
  std::int64_t deadline_ms = 0;
  const char* const end = header->data() + header->size();
  const auto [stop, error] = std::from_chars(header->data(), end, deadline_ms);
  if (error != std::errc() || stop != end || deadline_ms < 1 ||
      deadline_ms > kMaxDeadlineMs) {
    return Malformed(
        fmt::format("{} must be a whole number of milliseconds from 1 to {}",
                    kDeadlineHeader, kMaxDeadlineMs));
  }
  info.deadline = now + milliseconds(deadline_ms);
  return Success();
}

Status ReadOrderKey(const HttpRequest& request, CallerRequest& result) {
  const auto key = FindHeader(request.headers, kIdempotencyHeader);
  if (!key) {
    return MakeError(ResultCode::kOrderKeyMissing);
  }
  const bool printable = std::all_of(key->begin(), key->end(), [](char byte) {
    return byte > ' ' && byte <= '~';
  });
  if (key->empty() || key->size() > kMaxKeyBytes || !printable) {
    return MakeError(
        ResultCode::kOrderKeyInvalid,
        fmt::format("{} must have 1 to {} printable ASCII characters "
                    "without spaces",
                    kIdempotencyHeader, kMaxKeyBytes));
  }
  result.idempotency_key = *key;
  if (const auto created = FindHeader(request.headers, kKeyCreatedHeader)) {
    std::uint64_t value = 0;
    const char* const end = created->data() + created->size();
    const auto [stop, error] = std::from_chars(created->data(), end, value);
    if (error != std::errc() || stop != end) {
      return MakeError(
          ResultCode::kOrderKeyInvalid,
          fmt::format("{} must be milliseconds since the Unix epoch",
                      kKeyCreatedHeader));
    }
    result.key_created_ms = value;
  }
  return Success();
}

// Finds the class, by the name in the header or else by the labels, and checks
// that the customer may use its tier.
Status ChooseClass(const HttpRequest& request,
                   const Policy& policy,
                   const CustomerPolicy& customer,
                   const std::string& model,
                   const ClassPolicy** chosen,
                   RequestInfo& info) {
  const auto class_name_header = FindHeader(request.headers, kClassHeader);
  *chosen = class_name_header ? policy.FindClass(*class_name_header)
                              : policy.MatchClass(info.labels);
  if (*chosen == nullptr) {
    if (class_name_header) {
      return MakeError(
          ResultCode::kUnknownClass,
          fmt::format("the class \"{}\" is unknown", *class_name_header));
    }
    if (!model.empty() && policy.model_labels.count(model) == 0) {
      return MakeError(ResultCode::kUnknownModel,
                       fmt::format("the model \"{}\" is unknown", model));
    }
    return MakeError(ResultCode::kUnknownClass,
                     fmt::format("no class matches the labels \"{}\"",
                                 FormatLabels(info.labels)));
  }
  info.class_name = (*chosen)->name;
  if (customer.tiers.count((*chosen)->tier) == 0) {
    return MakeError(
        ResultCode::kTierNotGranted,
        fmt::format(
            "the customer is not granted the tier \"{}\"",
            policy.tiers.at(static_cast<std::size_t>((*chosen)->tier))));
  }
  return Success();
}

}  // namespace

Result<const CustomerPolicy*> Authenticate(const HttpRequest& request,
                                           const Policy& policy) {
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = FindHeader(request.headers, "Authorization");
  if (!header || header->size() <= kScheme.size() ||
      strncasecmp(header->data(), kScheme.data(), kScheme.size()) != 0) {
    return MakeError(ResultCode::kUnknownCustomer,
                     "the header \"Authorization: Bearer KEY\" is required");
  }
  const CustomerPolicy* const customer =
      policy.FindCustomer(std::string_view(*header).substr(kScheme.size()));
  if (customer == nullptr) {
    return MakeError(ResultCode::kUnknownCustomer);
  }
  return customer;
}

Result<CallerRequest> ParseCallerRequest(const HttpRequest& request,
                                         const Policy& policy,
                                         TimePoint now) {
  BOOST_OUTCOME_TRY(customer, Authenticate(request, policy));
  CallerRequest result;
  RequestInfo& info = result.info;
  info.request_id = RandomId();
  info.customer = customer->name;
  const auto labels = FindHeader(request.headers, kLabelsHeader);
  BOOST_OUTCOME_TRY(header_labels, ParseLabels(labels.value_or("")));
  info.labels = std::move(header_labels);
  CompletionBody completion;
  if (request.path == kChatPath || request.path == kCompletionsPath) {
    if (request.method != "POST") {
      return MakeError(ResultCode::kMethodNotAllowed);
    }
    BOOST_OUTCOME_TRY(read, ReadCompletion(request));
    completion = std::move(read);
    AddModelLabels(completion.model, policy, info.labels);
    info.prefix_hashes = HashPrefixes(completion.prompt);
    info.max_output_tokens = completion.max_output_tokens;
    info.input_tokens = static_cast<int>(std::min<std::size_t>(
        completion.prompt.size() / kBytesPerToken + 1, kMaxOutputTokens));
    result.stream = completion.stream;
  } else {
    result.kind = ServerKind::kService;
  }
  const ClassPolicy* chosen = nullptr;
  BOOST_OUTCOME_TRY(
      ChooseClass(request, policy, *customer, completion.model, &chosen, info));
  BOOST_OUTCOME_TRY(ReadDeadline(request, now, info));
  result.deadline = now + chosen->deadline;
  if (info.deadline) {
    result.deadline = std::min(result.deadline, *info.deadline);
  }
  result.body_digest = Sha256Hex(
      fmt::format("{} {}\n{}", request.method, request.target, request.body));
  info.fingerprint = result.body_digest;
  result.is_order = !chosen->idempotent;
  if (result.is_order) {
    BOOST_OUTCOME_TRY(ReadOrderKey(request, result));
    if (result.stream) {
      return Malformed("the response to an order cannot be streamed");
    }
  }
  return result;
}

}  // namespace sycamorebend::entry
