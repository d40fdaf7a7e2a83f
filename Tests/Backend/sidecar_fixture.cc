#include "Tests/Backend/sidecar_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "Base/json.h"
#include "Base/message_codec.h"
#include "Net/http_client.h"

namespace cowslip {

using namespace std::chrono_literals;

namespace {

constexpr auto kWaitTimeout = 20s;

PeerLinkOptions EntryOptions() {
  PeerLinkOptions options;
  options.self_vm = "entry1";
  options.self_incarnation = 7;
  return options;
}

}  // namespace

SidecarFixture::SidecarFixture(EngineServerOptions engine, uint16_t engine_port)
    : m_engine_port(engine_port),
      m_platform(m_context, Endpoint()),
      m_link(m_context, EntryOptions()) {
  REQUIRE(m_platform.Start().has_value());
  if (m_engine_port == 0) {
    m_engine = std::make_unique<EngineServer>(m_context, engine);
    REQUIRE(m_engine->Start().has_value());
    m_engine_port = m_engine->port();
  }
  m_link.OnFrame(
      kExchangeReplyChannel,
      [this](const std::string&, const std::string& cbor) { OnReply(cbor); });
  REQUIRE(m_link.Start().empty());
}

void SidecarFixture::StartSidecar(uint32_t slots, uint32_t headroom) {
  SidecarSettings settings{.vm = VmId("b1"),
                           .engine = {.port = m_engine_port},
                           .platform = {.port = m_platform.port()},
                           .goodbye_linger = 100ms};
  settings.gate.service = ServiceId("veneer");
  settings.gate.slots = slots;
  settings.gate.policy = HeadroomWithPreemption{.headroom = headroom};
  m_sidecar = std::make_unique<SidecarDaemon>(m_context, settings);
  REQUIRE(m_sidecar->Start().has_value());
  m_status = {};
  m_link.Dial("b1", "127.0.0.1", m_sidecar->link_port());
  REQUIRE(RunUntil([&] { return m_status.service == ServiceId("veneer"); }));
}

void SidecarFixture::StopSidecar() {
  m_link.Hangup("b1");
  m_sidecar.reset();
  RunFor(50ms);
}

bool SidecarFixture::RunUntil(const std::function<bool()>& condition) {
  const auto give_up = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition() && std::chrono::steady_clock::now() < give_up) {
    m_context.restart();
    m_context.run_one_for(10ms);
  }
  return condition();
}

void SidecarFixture::RunFor(std::chrono::milliseconds time) {
  m_context.restart();
  m_context.run_for(time);
}

ExchangeId SidecarFixture::Dispatch(DispatchRequest request) {
  request.exchange = ExchangeId(++m_last_exchange);
  Send(request);
  return request.exchange;
}

void SidecarFixture::Send(const ExchangeRequestMessage& message) {
  REQUIRE(m_link.Send("b1", kExchangeRequestChannel,
                      ToCbor(EncodeMessage(message))));
}

void SidecarFixture::OnReply(const std::string& cbor) {
  const auto json = ParseCbor(cbor, {.max_bytes = 8 << 20});
  REQUIRE(json.has_value());
  const auto message = DecodeMessage<ExchangeReplyMessage>(json.value());
  REQUIRE(message.has_value());
  if (const auto* head = std::get_if<ResponseHead>(&message.value())) {
    m_replies[head->exchange].status = head->status;
  } else if (const auto* chunk = std::get_if<ResponseChunk>(&message.value())) {
    m_replies[chunk->exchange].body += chunk->data;
  } else if (const auto* end = std::get_if<ResponseEnd>(&message.value())) {
    m_replies[end->exchange].ends.push_back(*end);
  } else if (const auto* bad = std::get_if<ExchangeFailed>(&message.value())) {
    m_replies[bad->exchange].failures.push_back(*bad);
  } else if (const auto* status =
                 std::get_if<BackendStatus>(&message.value())) {
    m_status = *status;
  }
}

HttpResponse SidecarFixture::Call(uint16_t port, HttpRequest request) {
  HttpClient client(m_context.get_executor(), Endpoint{.port = port});
  std::optional<HttpResponse> response;
  boost::asio::co_spawn(
      m_context,
      [&]() -> boost::asio::awaitable<void> {
        Result<HttpResponse> got = co_await client.Send(request, 10s);
        REQUIRE(got.has_value());
        response = std::move(got.value());
      },
      boost::asio::detached);
  REQUIRE(RunUntil([&] { return response.has_value(); }));
  return *response;
}

HttpResponse SidecarFixture::CallEngine(HttpRequest request) {
  return Call(m_engine_port, std::move(request));
}

HttpResponse SidecarFixture::CallAdmin(HttpRequest request) {
  return Call(m_sidecar->admin_port(), std::move(request));
}

void SidecarFixture::SetFaults(const std::string& faults) {
  const HttpResponse set =
      CallEngine({.method = "PUT", .target = "/faults", .body = faults});
  REQUIRE(set.status == 200);
}

DispatchRequest Chat(const std::string& text, int tokens, WorkClass work) {
  const nlohmann::json body = {
      {"messages", {{{"role", "user"}, {"content", text}}}},
      {"max_tokens", tokens},
      {"stream", work == WorkClass::kOnline}};
  return {.work = work,
          .organisation = OrganisationId("namu"),
          .method = "POST",
          .target = "/v1/chat/completions",
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(),
          .idempotent = true,
          .deadline_ms = 20000};
}

std::string ChatText(const std::string& text, int tokens) {
  std::string response = text + " t1";
  for (int i = 2; i <= tokens; ++i) {
    response += " t" + std::to_string(i);
  }
  return response;
}

}  // namespace cowslip
