#include "Tests/Backend/gate_harness.h"

#include <catch2/catch.hpp>

#include "Base/overloaded.h"

namespace cowslip {

namespace {

DispatchRequest Chat(uint64_t exchange, WorkClass work) {
  return {.exchange = ExchangeId(exchange),
          .work = work,
          .organisation = OrganisationId("namu"),
          .method = "POST",
          .target = "/v1/chat/completions",
          .body = R"({"messages":[],"max_tokens":4})",
          .idempotent = true,
          .deadline_ms = 60000};
}

}  // namespace

DispatchReceived GateHarness::Online(uint64_t exchange, int64_t deadline_ms) {
  DispatchReceived event{.entry = VmId("e1"),
                         .incarnation = Incarnation(1),
                         .request = Chat(exchange, WorkClass::kOnline)};
  event.request.deadline_ms = deadline_ms;
  return event;
}

DispatchReceived GateHarness::Batch(uint64_t exchange,
                                    std::string resume_token) {
  DispatchReceived event{.entry = VmId("e1"),
                         .incarnation = Incarnation(1),
                         .request = Chat(exchange, WorkClass::kBatch)};
  event.request.resume_token = std::move(resume_token);
  return event;
}

std::string GateHarness::Events(int first, int last, bool done) {
  std::string events;
  for (int i = first; i <= last; ++i) {
    events += R"(data: {"choices":[{"delta":{"content":"t)" +
              std::to_string(i) + " \"}}]}\n\n";
  }
  return events + (done ? "data: [DONE]\n\n" : "");
}

void GateHarness::Head(const ExchangeKey& key) {
  Feed(EngineResponseHead{
      .key = key,
      .status = 200,
      .headers = {{.name = "Content-Type", .value = "text/event-stream"}}});
}

std::vector<ExchangeKey> GateHarness::Feed(GateEvent event) {
  RecordEngineEvent(event);
  if (const auto* dispatched = std::get_if<DispatchReceived>(&event)) {
    ++m_records[{dispatched->entry, dispatched->incarnation,
                 dispatched->request.exchange}]
          .dispatches;
  }
  std::vector<ExchangeKey> started;
  for (const GateAction& action : m_core.Handle(std::move(event), m_now)) {
    RecordAction(action, started);
  }
  return started;
}

void GateHarness::RecordEngineEvent(const GateEvent& event) {
  const auto ended = [this](const ExchangeKey& key) {
    m_calls.erase(key);
    m_closing.erase(key);
    m_paused.erase(key);
  };
  std::visit(Overloaded{[&](const EngineResponseEnd& e) { ended(e.key); },
                        [&](const EngineCallClosed& e) { ended(e.key); },
                        [&](const EngineCallFailed& e) {
                          ended(e.key);
                          m_records[e.key].not_sent =
                              e.failure == EngineFailureKind::kNotSent;
                        },
                        [](const auto&) {}},
             event);
}

void GateHarness::RecordAction(const GateAction& action,
                               std::vector<ExchangeKey>& started) {
  std::visit(
      Overloaded{
          [&](const StartEngineCall& start) {
            REQUIRE_FALSE(m_records[start.key].started);
            m_records[start.key].started = true;
            m_calls.insert(start.key);
            started.push_back(start.key);
          },
          [&](const AbortEngineCall& abort) {
            REQUIRE(m_calls.erase(abort.key) == 1);
            m_closing.insert(abort.key);
          },
          [&](const PauseEngineRead& pause) { m_paused.insert(pause.key); },
          [&](const ResumeEngineRead& resume) { m_paused.erase(resume.key); },
          [&](const ReplyToEntry& reply) { RecordReply(reply); },
          [&](const AnnounceStatus& announce) {
            m_announced.push_back(announce.status);
          },
          [&](const DrainFinished&) { ++m_drained; }},
      action);
}

void GateHarness::RecordReply(const ReplyToEntry& reply) {
  const auto record = [&](ExchangeId exchange) -> Record& {
    return m_records[{reply.entry, Incarnation(1), exchange}];
  };
  std::visit(Overloaded{[&](const ResponseHead& head) {
                          ++record(head.exchange).heads;
                        },
                        [&](const ResponseChunk& chunk) {
                          Record& to = record(chunk.exchange);
                          REQUIRE(chunk.sequence == to.chunks);
                          ++to.chunks;
                          to.body += chunk.data;
                        },
                        [&](const ResponseEnd& end) {
                          Record& to = record(end.exchange);
                          REQUIRE(end.chunks == to.chunks);
                          ++to.ends;
                        },
                        [&](const ExchangeFailed& failed) {
                          record(failed.exchange).failures.push_back(failed);
                        },
                        [](const BackendStatus&) {}},
             reply.message);
}

}  // namespace cowslip
