#ifndef TESTS_BACKEND_SIDECAR_FIXTURE_H_
#define TESTS_BACKEND_SIDECAR_FIXTURE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Backend/sidecar_daemon.h"
#include "Backend/sidecar_settings.h"
#include "Exchange/exchange_messages.h"
#include "Link/peer_link.h"
#include "Net/http_message.h"
#include "Utilities/StandIns/Engine/engine_server.h"
#include "Utilities/StandIns/Platform/platform_server.h"

namespace cowslip {

/// \class ReceivedAnswer
/// \brief What an entry got for one exchange.
struct ReceivedAnswer {
  int status = 0;
  std::string body;
  std::vector<ResponseEnd> ends;
  std::vector<ExchangeFailed> failures;

  bool Ended() const { return !ends.empty() || !failures.empty(); }
};

/// \class SidecarFixture
/// \brief An engine, a platform, a side process and the link of one entry, all
/// in one process on loopback.
class SidecarFixture {
 public:
  explicit SidecarFixture(EngineServerOptions engine = {},
                          uint16_t engine_port = 0);

  void StartSidecar(uint32_t slots = 2, uint32_t headroom = 0);
  void StopSidecar();
  /// Runs the loop until the condition holds; false if it never does.
  bool RunUntil(const std::function<bool()>& condition);
  void RunFor(std::chrono::milliseconds time);

  ExchangeId Dispatch(DispatchRequest request);
  void Send(const ExchangeRequestMessage& message);
  ReceivedAnswer& answer(ExchangeId exchange) { return m_answers[exchange]; }
  const BackendStatus& status() const { return m_status; }

  HttpResponse Call(uint16_t port, HttpRequest request);
  HttpResponse CallEngine(HttpRequest request);
  HttpResponse CallAdmin(HttpRequest request);
  void SetFaults(const std::string& faults);
  SidecarDaemon& side() { return *m_side; }
  PeerLink& link() { return m_link; }
  boost::asio::io_context& context() { return m_context; }

 private:
  void OnReply(const std::string& cbor);

  boost::asio::io_context m_context;
  std::unique_ptr<EngineServer> m_engine;
  uint16_t m_engine_port;
  PlatformServer m_platform;
  std::unique_ptr<SidecarDaemon> m_side;
  PeerLink m_link;
  uint64_t m_last_exchange = 0;
  std::map<ExchangeId, ReceivedAnswer> m_answers;
  BackendStatus m_status;
};

/// A chat completion for `tokens` tokens.
DispatchRequest Chat(const std::string& text,
                     int tokens,
                     WorkClass work = WorkClass::kOnline);
/// The text that the engine answers.
std::string ChatText(const std::string& text, int tokens);

}  // namespace cowslip

#endif  // TESTS_BACKEND_SIDECAR_FIXTURE_H_
