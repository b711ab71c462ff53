// What a gateway's callers, backend servers and operators speak. The gateway
// decides on the typed values below; an implementation knows the names of
// headers and fields and decides nothing.
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

// A part of a prompt. Engines keep parts in their cache; a part is of use only
// if all parts before it are cached as well.
struct PromptBlock {
  std::uint64_t id = 0;
  int tokens = 0;
};

// Size of a generation.
struct GenerationRequest {
  std::string model;
  int input_tokens = 0;
  int max_output_tokens = 0;
  // The caller's guess of the output; often wrong.
  std::optional<int> expected_output_tokens;
  std::vector<PromptBlock> prompt;
};

// What a request says beside its route.
struct RequestFields {
  std::string request_id;
  std::string host;
  std::optional<Duration> deadline;
  std::string api_key;  // Empty if there is none.
  // Set if the caller continues a stream.
  std::optional<std::int64_t> resume_after;
  std::optional<GenerationRequest> generation;
};

// What the gateway tells a backend server about one sending.
struct AttemptFields {
  std::string server_id;
  Duration deadline{0};
  std::optional<std::string> tenant;
  std::optional<int> priority;
  std::optional<std::int64_t> resume_after;
};

// Load of a server when it answered.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
};

// What an answer says beside its status.
struct ResponseFields {
  std::optional<std::string> request_id;
  // The answer is the server's own; proxies on the way cannot make it.
  bool authentic = false;
  // The server states that it did not and will not run the request.
  bool not_executed = false;
  std::optional<LoadReport> load;
  // How long the server keeps the connection open when idle.
  std::optional<Duration> keep_alive;
};

class WireFormat {
 public:
  virtual ~WireFormat() = default;

  // @return the fields, or kMalformedRequest naming the header.
  virtual Result<RequestFields> ReadRequestFields(
      const net::MessageHead& head) const = 0;

  // @return the caller's headers as they go to a server: without those that
  // concern one connection, the API key, and those that callers may not set.
  virtual HttpHeaders ServerHeaders(const net::MessageHead& head,
                                    const AttemptFields& fields) const = 0;

  virtual ResponseFields ReadResponseFields(
      const net::MessageHead& head) const = 0;

  // @return the routes, or kConfigurationInvalid naming the field.
  virtual Result<RouteTable> ReadConfiguration(
      const Json::Value& document) const = 0;
};

}  // namespace sycamorebend::gateway

#endif  // SYCAMOREBEND_SRC_GATEWAY_WIRE_FORMAT_H_
