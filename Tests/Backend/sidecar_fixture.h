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

/// \class ReceivedReplies
/// \brief The replies that the entry received for one exchange.
struct ReceivedReplies {
  int status = 0;
  std::string body;
  std::vector<ResponseEnd> ends;
  std::vector<ExchangeFailed> failures;

  bool Ended() const { return !ends.empty() || !failures.empty(); }
};

/// \class SidecarFixture
/// \brief An engine, a platform, a sidecar and the peer link of one entry, all
/// in one process on the loopback interface.
class SidecarFixture {
 public:
  explicit SidecarFixture(EngineServerOptions engine = {},
                          uint16_t engine_port = 0);

  void StartSidecar(uint32_t slots = 2, uint32_t headroom = 0);
  void StopSidecar();
  /// Runs the io_context until the condition holds; returns false if it does
  /// not hold within 20 s.
  bool RunUntil(const std::function<bool()>& condition);
  void RunFor(std::chrono::milliseconds time);

  ExchangeId Dispatch(DispatchRequest request);
  void Send(const ExchangeRequestMessage& message);
  ReceivedReplies& replies(ExchangeId exchange) { return m_replies[exchange]; }
  const BackendStatus& status() const { return m_status; }

  HttpResponse Call(uint16_t port, HttpRequest request);
  HttpResponse CallEngine(HttpRequest request);
  HttpResponse CallAdmin(HttpRequest request);
  void SetFaults(const std::string& faults);
  SidecarDaemon& sidecar() { return *m_sidecar; }
  PeerLink& link() { return m_link; }
  boost::asio::io_context& context() { return m_context; }

 private:
  void OnReply(const std::string& cbor);

  boost::asio::io_context m_context;
  std::unique_ptr<EngineServer> m_engine;
  uint16_t m_engine_port;
  PlatformServer m_platform;
  std::unique_ptr<SidecarDaemon> m_sidecar;
  PeerLink m_link;
  uint64_t m_last_exchange = 0;
  std::map<ExchangeId, ReceivedReplies> m_replies;
  BackendStatus m_status;
};

/// A dispatch of a chat completion with `tokens` tokens.
DispatchRequest Chat(const std::string& text,
                     int tokens,
                     WorkClass work = WorkClass::kOnline);
/// The text that the engine returns for such a request.
std::string ChatText(const std::string& text, int tokens);

}  // namespace cowslip

#endif  // TESTS_BACKEND_SIDECAR_FIXTURE_H_
