#include "gateway_fixture.h"

#include <future>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "net/http_writer.h"

namespace sycamorebend::gateway {

namespace {

// @return the blocks of a prompt written as "ID ID ID".
std::vector<PromptBlock> ParsePrompt(const std::string& text) {
  constexpr int kBlockTokens = 10;
  std::vector<PromptBlock> prompt;
  std::istringstream words(text);
  for (std::uint64_t id = 0; words >> id;) {
    prompt.push_back({id, kBlockTokens});
  }
  return prompt;
}

RouteTable MakeRouteTable() {
  RouteTable table;
  const auto add = [&](const std::string& name, RouteKind kind, int attempts) {
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.services = {{"app", 1}};
    route.timeout = seconds(5);
    route.max_attempts = attempts;
    route.open = true;
    table.routes.push_back(std::move(route));
  };
  add("safe", RouteKind::kIdempotent, 2);
  add("once", RouteKind::kNonIdempotent, 2);
  add("stream", RouteKind::kStream, 2);
  table.routes.back().resumable = true;
  add("live", RouteKind::kStream, 1);
  return table;
}

}  // namespace

Result<RequestFields> TestFormat::ReadRequestFields(
    const net::MessageHead& head) const {
  RequestFields fields;
  fields.host = FindHeader(head.headers, "Host").value_or("");
  fields.request_id = FindHeader(head.headers, "Request-Id").value_or("");
  fields.api_key = FindHeader(head.headers, "Key").value_or("");
  const auto deadline = FindHeader(head.headers, "Deadline");
  if (deadline) {
    fields.deadline = milliseconds(std::stoi(*deadline));
  }
  const auto tokens = FindHeader(head.headers, "Tokens");
  if (tokens) {
    fields.generation.emplace();
    fields.generation->input_tokens = std::stoi(*tokens);
    fields.generation->prompt = {{1, std::stoi(*tokens)}};
    const auto prompt = FindHeader(head.headers, "Prompt");
    if (prompt) {
      fields.generation->prompt = ParsePrompt(*prompt);
    }
  }
  return fields;
}

HttpHeaders TestFormat::ServerHeaders(const net::MessageHead& head,
                                      const AttemptFields& fields) const {
  HttpHeaders headers = net::ForwardableHeaders(head.headers);
  headers.push_back({"Left", std::to_string(ToMilliseconds(fields.deadline))});
  headers.push_back({"Expect-Server", fields.server_id});
  if (fields.resume_after) {
    headers.push_back({"Resume-After", std::to_string(*fields.resume_after)});
  }
  return headers;
}

ResponseFields TestFormat::ReadResponseFields(
    const net::MessageHead& head) const {
  ResponseFields fields;
  fields.request_id = FindHeader(head.headers, "Request-Id");
  fields.authentic = FindHeader(head.headers, "Signed").has_value();
  fields.not_executed = FindHeader(head.headers, "Not-Run").has_value();
  fields.leaving = FindHeader(head.headers, "Leaving") == "1";
  const auto quiet = FindHeader(head.headers, "Retry-After");
  if (quiet) {
    fields.quiet_time = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::stod(*quiet)));
  }
  return fields;
}

Result<RouteTable> TestFormat::ReadConfiguration(
    const Json::Value& /*document*/) const {
  return MakeRouteTable();
}

GatewayFixture::GatewayFixture() {
  auto started = CallerServer::Start(*this->loop, "127.0.0.1:0", this->handler);
  BOOST_REQUIRE(started);
  this->callers = std::move(started.value());
  internal::RetryLimits limits;
  limits.slack = 100;
  this->budgets.SetLimits(limits);
  this->thread = std::thread([this] { this->loop->Run(); });
  this->SetTable();
}

GatewayFixture::~GatewayFixture() {
  this->loop->Stop();
  this->thread.join();
  this->callers.reset();
}

void GatewayFixture::OnLoop(const std::function<void()>& task) {
  std::promise<void> done;
  this->loop->Post([&] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

std::size_t GatewayFixture::OpenRequests() {
  std::size_t open = 0;
  this->OnLoop([&] { open = this->context.open.size(); });
  return open;
}

void GatewayFixture::AddServer(const ScriptedServer& server) {
  this->addresses.push_back(server.Address());
  this->SetServers(this->addresses);
}

void GatewayFixture::SetServers(const std::vector<std::string>& list,
                                const std::string& id_end) {
  std::vector<ServerRecord> records;
  for (const std::string& address : list) {
    ServerRecord record;
    record.server_id = "at-";
    record.server_id.append(address).append(id_end);
    record.incarnation = this->incarnation;
    record.service = "app";
    record.address = address;
    record.failure_domain = "a";
    record.slots = 8;
    records.push_back(std::move(record));
  }
  this->OnLoop([&] { this->balancer.SetServers(records); });
}

void GatewayFixture::SetTable(const std::function<void(RouteTable&)>& change) {
  auto table = std::make_shared<RouteTable>(MakeRouteTable());
  if (change) {
    change(*table);
  }
  table->BuildPriorityLevels();
  this->OnLoop([&] { this->handler.SetTable(table); });
}

}  // namespace sycamorebend::gateway
