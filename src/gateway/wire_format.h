// Interface between the gateway and the message format that its callers,
// backend servers and operators use. The gateway works on the typed values
// below; an implementation only translates them from and to header and field
// names.
#ifndef SYCAMOREBEND_SRC_GATEWAY_WIRE_FORMAT_H_
#define SYCAMOREBEND_SRC_GATEWAY_WIRE_FORMAT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

#include "gateway/routes.h"
#include "net/http_reader.h"
#include "sycamorebend/base.h"
#include "sycamorebend/http.h"

namespace sycamorebend::gateway {

// A block of a prompt. Engines cache prompts by block; a cached block is only
// usable if all blocks before it are cached as well.
struct PromptBlock {
  std::uint64_t id = 0;
  int tokens = 0;
};

// A text generation request, as far as the gateway needs to know it.
struct GenerationRequest {
  std::string model;
  int input_tokens = 0;
  int max_output_tokens = 0;
  // The caller's estimate of the output length; often wrong.
  std::optional<int> expected_output_tokens;
  std::vector<PromptBlock> prompt;
};

// Fields of a request besides its method, path and body.
struct RequestFields {
  std::string request_id;
  std::string host;
  std::optional<Duration> deadline;
  std::string api_key;  // Empty if there is none.
  // Id of the last event received, if the caller resumes a stream.
  std::optional<std::int64_t> resume_after;
  std::optional<GenerationRequest> generation;
};

// Fields that the gateway adds to one attempt at a backend server.
struct AttemptFields {
  std::string server_id;
  Duration deadline{0};
  std::optional<std::string> tenant;
  std::optional<int> priority;
  std::optional<std::int64_t> resume_after;
};

// Load of a server at the time of its response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // Time that work takes on the server's host at this moment; 100 is usual.
  std::optional<int> host_percent;
};

// Fields of a response besides its status and body.
struct ResponseFields {
  std::optional<std::string> request_id;
  // The response comes from the server itself and not from an intermediary such
  // as a proxy.
  bool authentic = false;
  // The server guarantees that it has not run the request and never will.
  bool not_executed = false;
  std::optional<LoadReport> load;
  // Time for which the server keeps an idle connection open.
  std::optional<Duration> keep_alive;
  // The server is leaving and wants no new requests.
  bool leaving = false;
  // Time for which the server wants no requests from this gateway.
  std::optional<Duration> quiet_time;
  // Name of a header above whose value cannot be read; empty if there is none.
  std::string malformed_header;
};

class WireFormat {
 public:
  virtual ~WireFormat() = default;

  // @return the fields, or kMalformedRequest with the name of the header.
  virtual Result<RequestFields> ReadRequestFields(
      const net::MessageHead& head) const = 0;

  // @return the request headers to send to a server. Connection headers, the
  // API key and headers that callers may not set are left out.
  virtual HttpHeaders ServerHeaders(const net::MessageHead& head,
                                    const AttemptFields& fields) const = 0;

  virtual ResponseFields ReadResponseFields(
      const net::MessageHead& head) const = 0;

  // @return the routes, or kConfigurationInvalid with the name of the field.
  virtual Result<RouteTable> ReadConfiguration(
      const Json::Value& document) const = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_WIRE_FORMAT_H_
