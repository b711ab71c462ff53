#include "platform/http_format.h"

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

namespace sycamorebend::platform {

namespace {

net::MessageHead RequestHead() {
  net::MessageHead head;
  head.method = "POST";
  head.target = "/a/x";
  head.headers = {{"Host", "h.example"},
                  {"X-Sycamorebend-Request-Id", "9c41"},
                  {"x-sycamorebend-deadline-ms", "5000"},
                  {"Authorization", "bearer key1"},
                  {"X-Sycamorebend-Model", "m"},
                  {"X-Sycamorebend-Token-Usage", "1460,80"},
                  {"X-Sycamorebend-Prefix-Hash", "5c1e07a2:800,e4402b7d:250"},
                  {"X-Sycamorebend-Length-Hint", "40"},
                  {"X-Sycamorebend-Tenant", "forged"},
                  {"X-Sycamorebend-Retain", "forged"},
                  {"Kv-From", "forged"},
                  {"Last-Event-Id", "12"},
                  {"Connection", "keep-alive"}};
  return head;
}

}  // namespace

// Guards against headers that are parsed into the wrong field.
BOOST_AUTO_TEST_CASE(RequestFieldsAreRead) {
  const auto read = HttpFormat().ReadRequestFields(RequestHead());
  BOOST_REQUIRE(read);
  const gateway::RequestFields& fields = read.value();
  BOOST_TEST(fields.request_id == "9c41");
  BOOST_TEST(ToMilliseconds(*fields.deadline) == 5000);
  BOOST_TEST(fields.api_key == "key1");
  BOOST_TEST(*fields.resume_after == 12);
  BOOST_TEST(fields.generation->input_tokens == 1460);
  BOOST_TEST(fields.generation->max_output_tokens == 80);
  BOOST_TEST(*fields.generation->expected_output_tokens == 40);
  BOOST_REQUIRE(fields.generation->prompt.size() == 2U);
  BOOST_TEST(fields.generation->prompt[1].id == 0xe4402b7dU);
  BOOST_TEST(fields.generation->prompt[1].tokens == 250);
}

// Guards against forwarding API keys to a backend server, and against callers
// that set headers reserved for the system.
BOOST_AUTO_TEST_CASE(ServerHeadersReplaceReservedHeaders) {
  gateway::AttemptFields fields;
  fields.server_id = "i-7";
  fields.deadline = milliseconds(4200);
  fields.tenant = "t";
  fields.priority = 3;
  fields.resume_after = 15;
  const HttpHeaders headers = HttpFormat().ServerHeaders(RequestHead(), fields);
  BOOST_TEST(!FindHeader(headers, "Authorization"));
  BOOST_TEST(!FindHeader(headers, "X-Sycamorebend-Retain"));
  BOOST_TEST(!FindHeader(headers, "Kv-From"));
  BOOST_TEST(!FindHeader(headers, "Connection"));
  BOOST_TEST(*FindHeader(headers, "X-Sycamorebend-Tenant") == "t");
  BOOST_TEST(*FindHeader(headers, "X-Sycamorebend-Request-Priority") == "3");
  BOOST_TEST(*FindHeader(headers, "X-Sycamorebend-Deadline-Ms") == "4200");
  BOOST_TEST(*FindHeader(headers, "X-Sycamorebend-Expect-Instance") == "i-7");
  BOOST_TEST(*FindHeader(headers, "Last-Event-Id") == "15");
  BOOST_TEST(*FindHeader(headers, "X-Sycamorebend-Model") == "m");
  BOOST_TEST(*FindHeader(headers, "Host") == "h.example");
}

// Guards against treating an unsigned response as authentic, or a request as
// not executed, when the header is absent.
BOOST_AUTO_TEST_CASE(ResponseFieldsAreRead) {
  net::MessageHead head;
  head.headers = {{"X-Sycamorebend-Request-Id", "9c41"},
                  {"X-Sycamorebend-Instance-Load", "3,1,8"},
                  {"Keep-Alive", "max=5, timeout=7"}};
  const gateway::ResponseFields fields = HttpFormat().ReadResponseFields(head);
  BOOST_TEST(!fields.authentic);
  BOOST_TEST(!fields.not_executed);
  BOOST_TEST(fields.load->waiting == 1);
  BOOST_TEST(fields.load->slots == 8);
  BOOST_TEST(!fields.load->host_percent);
  BOOST_TEST(ToMilliseconds(*fields.keep_alive) == 7000);
}

// Guards against a fourth figure that is not read, and against one that cannot
// be read and makes the other three useless.
BOOST_AUTO_TEST_CASE(HostTimeIsReadIfStated) {
  const auto read = [](const std::string& load) {
    net::MessageHead head;
    head.headers = {{"X-Sycamorebend-Instance-Load", load}};
    return HttpFormat().ReadResponseFields(head).load;
  };
  BOOST_TEST(read("3,1,8,250")->host_percent.value() == 250);
  for (const char* const load : {"3,1,8,", "3,1,8,0", "3,1,8,-5", "3,1,8,x"}) {
    BOOST_REQUIRE_MESSAGE(read(load), load);
    BOOST_TEST(read(load)->slots == 8);
    BOOST_TEST(!read(load)->host_percent, load);
  }
}

// Guards against notices of servers that are not read, and against malformed
// ones that are obeyed.
BOOST_AUTO_TEST_CASE(NoticesOfServersAreRead) {
  const auto read = [](HttpHeaders headers) {
    net::MessageHead head;
    head.headers = std::move(headers);
    return HttpFormat().ReadResponseFields(head);
  };
  BOOST_TEST(read({{"Server-Leaving", "1"}}).leaving);
  BOOST_TEST(read({{"Server-Leaving", "1"}}).malformed_header.empty());
  BOOST_TEST(!read({}).leaving);
  for (const char* const value : {"0", "true", "", "11"}) {
    BOOST_TEST(!read({{"Server-Leaving", value}}).leaving);
    BOOST_TEST(read({{"Server-Leaving", value}}).malformed_header ==
               "Server-Leaving");
  }
  BOOST_TEST(!read({{"Server-Leaving", "1"}, {"server-leaving", "1"}}).leaving);
  const auto quiet_ms = [&](const char* value) {
    const auto time = read({{"Retry-After", value}}).quiet_time;
    return time ? ToMilliseconds(*time) : -1;
  };
  BOOST_TEST(quiet_ms("0") == 0);
  BOOST_TEST(quiet_ms("0.5") == 500);
  BOOST_TEST(quiet_ms("3") == 3000);
  BOOST_TEST(quiet_ms("3600") == 3600000);
  for (const char* const value : {"-1", "soon", "", "nan", "inf", "1e300",
                                  "3 s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    BOOST_TEST(quiet_ms(value) == -1, value);
    BOOST_TEST(read({{"Retry-After", value}}).malformed_header ==
               "Retry-After");
  }
}

// Guards against malformed headers that crash the process or fail a request.
// Only a malformed deadline is rejected.
BOOST_AUTO_TEST_CASE(MalformedOptionalHeadersAreIgnored) {
  net::MessageHead head;
  head.headers = {{"X-Sycamorebend-Token-Usage", ",,x"},
                  {"X-Sycamorebend-Prefix-Hash", "zz,:,a:,:5,,"},
                  {"X-Sycamorebend-Instance-Load", "3,"},
                  {"Keep-Alive", "timeout="}};
  const auto read = HttpFormat().ReadRequestFields(head);
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().generation->prompt.empty());
  BOOST_TEST(!HttpFormat().ReadResponseFields(head).load);
  head.headers = {{"X-Sycamorebend-Deadline-Ms", "soon"}};
  BOOST_TEST(!HttpFormat().ReadRequestFields(head));
}

// Guards against numbers that overflow sums and durations: a deadline in the
// far future that has already passed, and token counts that wrap around.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreNotTaken) {
  const auto read = [](const char* name, const std::string& value) {
    net::MessageHead head;
    head.headers = {{"X-Sycamorebend-Token-Usage", "1,1"}};
    head.headers.insert(head.headers.begin(), {name, value});
    return HttpFormat().ReadRequestFields(head).value();
  };
  constexpr const char* kDeadline = "X-Sycamorebend-Deadline-Ms";
  constexpr const char* kTokens = "X-Sycamorebend-Token-Usage";
  constexpr const char* kBlocks = "X-Sycamorebend-Prefix-Hash";
  for (const char* const value :
       {"9223372036854775807", "9223372036855", "86400001"}) {
    BOOST_TEST(ToMilliseconds(*read(kDeadline, value).deadline) == 86400000);
  }
  for (const char* const value : {"-9223372036854775808", "-1", "0"}) {
    BOOST_TEST(ToMilliseconds(*read(kDeadline, value).deadline) == 0);
  }
  BOOST_TEST(read(kTokens, "16777216,5").generation->input_tokens == 16777216);
  for (const std::string value : {"16777217", "2147483647", "-1"}) {
    const auto generation =
        *read(kTokens, fmt::format("{0},{0}", value)).generation;
    BOOST_TEST(generation.input_tokens == 0, value);
    BOOST_TEST(generation.max_output_tokens == 0, value);
    BOOST_TEST(read(kBlocks, "a:5,b:" + value).generation->prompt.size() == 1U,
               value);
  }
  for (const char* const load :
       {"-1,0,8", "2147483647,2147483647,8", "1,1,-8"}) {
    net::MessageHead head;
    head.headers = {{"X-Sycamorebend-Instance-Load", load}};
    BOOST_TEST(!HttpFormat().ReadResponseFields(head).load, load);
  }
}

}  // namespace sycamorebend::platform
