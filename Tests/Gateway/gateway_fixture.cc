#include "gateway_fixture.h"

#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/base64.h"
#include "gateway_log.h"
#include "port_range.h"

namespace cowslip {

using boost::asio::awaitable;
using namespace std::chrono_literals;

namespace {

// Returns a port for a gateway's datagrams and connections of its peers.
uint16_t InternalPort() {
  static PortRange range(::getpid() % PortRange::kRanges);
  const uint16_t port = range.Next();
  INFO("No port is free in the range " << range.number() << ".");
  REQUIRE(port != 0);
  return port;
}

nlohmann::json Route(const char* name, const char* prefix, const char* kind) {
  return {
      {"name", name},         {"host", "h.example"}, {"path_prefix", prefix},
      {"kind", kind},         {"timeout_ms", 3000},  {"target_latency_ms", 300},
      {"gap_target_ms", 400}, {"priority", 0},       {"service", "s"},
      {"max_attempts", 2},    {"public", false}};
}

}  // namespace

GatewayFixture::GatewayFixture(size_t backends) {
  REQUIRE(::ftruncate(GatewayLogDescriptor(), 0) == 0);
  REQUIRE(server.Start().has_value());
  REQUIRE(other_server.Start().has_value());
  configuration = {{"version", 1},
                   {"routes", nlohmann::json::array()},
                   {"services", {{{"name", "s"}, {"max_connections", 100}}}},
                   {"tenants",
                    {{{"name", "mill"}, {"api_keys", {"key1"}}},
                     {{"name", "studio"},
                      {"api_keys", {"key2"}},
                      {"rate_per_s", 1},
                      {"burst", 2}}}}};
  nlohmann::json stream = Route("stream", "/stream/", "streaming");
  stream["resumable"] = true;
  nlohmann::json job = Route("job", "/job/", "batch");
  job["completion_target_ms"] = 18000;
  job["retention_s"] = 60;
  configuration["routes"] = {stream, Route("once", "/once/", "streaming"),
                             Route("safe", "/safe/", "safe"),
                             Route("unsafe", "/unsafe/", "unsafe"), job};
  Publish();
  for (size_t i = 0; i < backends; ++i) {
    m_backends.push_back(
        std::make_unique<ModelServer>(context, "i-" + std::to_string(i)));
    REQUIRE(m_backends.back()->Start().has_value());
    Register(i);
  }
}

GatewayFixture::~GatewayFixture() {
  // Suspended coroutines of the gateways are destroyed with the context, after
  // this destructor, so the gateways must outlive them and are leaked.
  for (auto& gateway : m_gateways) {
    static_cast<void>(gateway.release());
  }
  static_cast<void>(m_killable_context.release());
}

void GatewayFixture::Publish() {
  store.Put("config", "main", configuration);
}

nlohmann::json GatewayFixture::Entry(size_t index) const {
  return {{"service", "s"},
          {"address", "127.0.0.1:" + std::to_string(m_backends[index]->port())},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"sequence", 1}};
}

void GatewayFixture::Register(size_t index) {
  store.Put("servers", "i-" + std::to_string(index), Entry(index));
}

void GatewayFixture::SetZone(size_t index, const std::string& zone) {
  const std::string id = "i-" + std::to_string(index);
  nlohmann::json entry = store.Find("servers", id)->content;
  entry["zone"] = zone;
  store.Put("servers", id, entry);
}

size_t GatewayFixture::AddGateway() {
  return AddGateway(server.port());
}

size_t GatewayFixture::AddGateway(uint16_t store_port) {
  return AddGateway(store_port, "gateway-" + std::to_string(m_gateways.size()));
}

size_t GatewayFixture::AddGateway(uint16_t store_port, const std::string& vm) {
  return AddGateway(context, store_port, vm);
}

size_t GatewayFixture::AddKillableGateway() {
  return AddKillableGateway(server.port());
}

size_t GatewayFixture::AddKillableGateway(uint16_t store_port) {
  REQUIRE(m_killable_context == nullptr);
  m_killable_context = std::make_unique<boost::asio::io_context>();
  m_killable = AddGateway(*m_killable_context, store_port,
                          "gateway-" + std::to_string(m_gateways.size()));
  return m_killable;
}

// The gateway's suspended coroutines refer to it, so their context is leaked.
void GatewayFixture::KillGateway() {
  REQUIRE(m_killable_context != nullptr);
  static_cast<void>(m_killable_context.release());
  m_gateways[m_killable].reset();
}

// The gateway is leaked with the context, as the destructor does.
void GatewayFixture::FreezeGateway() {
  REQUIRE(m_killable_context != nullptr);
  static_cast<void>(m_killable_context.release());
}

void GatewayFixture::RunFor(Duration limit) {
  const MonotonicTime end = MonotonicClock::now() + limit;
  while (!context.stopped() && MonotonicClock::now() < end) {
    if (m_killable_context == nullptr) {
      context.run_for(end - MonotonicClock::now());
    } else {
      m_killable_context->restart();
      m_killable_context->poll();
      context.run_one_for(200us);
    }
  }
}

size_t GatewayFixture::AddGateway(boost::asio::io_context& gateway_context,
                                  uint16_t store_port,
                                  const std::string& vm) {
  const size_t index = m_gateways.size();
  GatewaySettings settings{.vm = VmId(vm),
                           .zone = ZoneId("z"),
                           .address = "127.0.0.1",
                           .store = Endpoint{.port = store_port}};
  settings.first_internal_port = InternalPort();
  settings.stop_grace = stop_grace;
  settings.evacuate_within = evacuate_within;
  settings.cold_bounds = cold_bounds;
  settings.region = region;
  settings.zone_regions = zone_regions;
  m_gateways.push_back(std::make_unique<GatewayDaemon>(
      gateway_context,
      GatewayDaemonOptions{.settings = settings,
                           .incarnation = Incarnation(100 + index),
                           .log_descriptor = GatewayLogDescriptor(),
                           .on_stopped = on_stopped,
                           .remove_peers_after = remove_peers_after}));
  const Result<void> started = m_gateways.back()->Start();
  INFO((started.has_value() ? "" : started.error().message));
  REQUIRE(started.has_value());
  m_clients.push_back(std::make_unique<HttpClient>(
      context.get_executor(),
      Endpoint{.port = m_gateways.back()->caller_port()}));
  return index;
}

awaitable<void> GatewayFixture::Sleep(Duration pause) {
  boost::asio::steady_timer timer(context, pause);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

awaitable<void> GatewayFixture::WaitUntilReady() {
  for (const auto& gateway : m_gateways) {
    while (gateway != nullptr && !gateway->IsReady()) {
      co_await Sleep(10ms);
    }
  }
}

awaitable<Result<HttpResponse>> GatewayFixture::Send(size_t gateway,
                                                     HttpRequest request) {
  const Duration timeout = 10s;
  co_return co_await m_clients[gateway]->Send(std::move(request), timeout);
}

std::string GatewayFixture::Describe(const Result<HttpResponse>& response) {
  if (!response.has_value()) {
    return "no response: " + response.error().message;
  }
  return std::to_string(response.value().status) + " " +
         response.value().body.substr(0, 300);
}

HttpRequest GatewayFixture::Request(const std::string& method,
                                    const std::string& target,
                                    const std::string& attempt,
                                    std::string body) {
  HttpRequest request{
      .method = method, .target = target, .body = std::move(body)};
  request.headers = {{"Host", "h.example"},
                     {"Key", "key1"},
                     {"Attempt-Id", attempt},
                     {"Deadline-Ms", "3000"}};
  return request;
}

HttpRequest GatewayFixture::Submission(const std::string& job, size_t items) {
  nlohmann::json list = nlohmann::json::array();
  for (size_t i = 0; i < items; ++i) {
    list.push_back({{"id", job + "-" + std::to_string(i)},
                    {"path", "/job/x"},
                    {"headers", {{"Model", "m"}}},
                    {"body", EncodeBase64("body" + std::to_string(i))}});
  }
  return Request("POST", "/job/submit", job,
                 nlohmann::json({{"items", list}}).dump());
}

awaitable<nlohmann::json> GatewayFixture::ReadAllResults(size_t gateway,
                                                         std::string job) {
  nlohmann::json all = nlohmann::json::array();
  for (int i = 0; i < 400; ++i) {
    HttpRequest request = Request(
        "GET", "/lots/" + job + "?after=" + std::to_string(all.size()), "read");
    const Result<HttpResponse> response =
        co_await Send(gateway, std::move(request));
    if (response.has_value() && response.value().status == 200) {
      const auto page = nlohmann::json::parse(response.value().body);
      for (const auto& result : page["results"]) {
        all.push_back(result);
      }
      if (all.size() == page["total"]) {
        break;
      }
    }
    co_await Sleep(50ms);
  }
  co_return all;
}

}  // namespace cowslip
