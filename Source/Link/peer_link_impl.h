#ifndef SOURCE_LINK_PEER_LINK_IMPL_H_
#define SOURCE_LINK_PEER_LINK_IMPL_H_

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Link/link_endpoint.h"
#include "Link/link_frame.h"
#include "Link/peer_link.h"

namespace cowslip {

/// \class PeerLink::Impl
/// \brief Tracks the open connections, selects the one used for each VM, and
/// schedules redials.
class PeerLink::Impl : public std::enable_shared_from_this<PeerLink::Impl> {
 public:
  Impl(boost::asio::io_context& context, PeerLinkOptions options);

  std::string Start();
  void Stop();
  uint16_t port() const { return m_endpoint.port(); }

  void Dial(const std::string& vm, const std::string& address, uint16_t port);
  void Hangup(const std::string& vm);
  bool IsUp(const std::string& vm) const;
  bool Send(const std::string& vm,
            const std::string& channel,
            const std::string& cbor);
  size_t QueuedBytes(const std::string& vm) const;

  std::vector<UpHandler> m_up_handlers;
  std::vector<DownHandler> m_down_handlers;
  std::map<std::string, FrameHandler> m_frame_handlers;
  uint64_t m_bytes_sent = 0;
  uint64_t m_bytes_received = 0;

 private:
  using Clock = std::chrono::steady_clock;

  /// \class Connection
  /// \brief One open websocket connection.
  struct Connection {
    WebsocketConnection socket;
    std::string dialled_vm;
    /// From the peer's hello frame; empty until it is received.
    std::string vm;
    uint64_t incarnation = 0;
    Clock::time_point last_received;
  };

  /// \class DialState
  /// \brief A VM to which this process maintains a link.
  struct DialState {
    std::string address;
    uint16_t port = 0;
    int failures = 0;
    /// A redial timer is running, or a connection is being opened or open.
    bool pending = false;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void SetEndpointHandlers();
  void HandleOpen(WebsocketConnection socket, const std::string& dialled_vm);
  void HandleClose(const void* key);
  void HandleMessage(const void* key, const std::string& bytes);
  void HandleHello(const void* key, const std::string& cbor);
  /// Whether `candidate` replaces `current` as the connection in use. Both
  /// sides select the same one of two connections opened at the same time.
  bool ShouldReplace(const Connection& candidate,
                     const Connection& current) const;
  /// Removes and closes a connection. If it was in use, schedules the down
  /// notification; then schedules a redial of the VM if it is to be dialled.
  void Drop(const void* key, const std::string& reason);
  /// Removes and closes a connection, with no notification and no redial.
  void DropWithoutNotifying(const void* key, const std::string& reason);

  void ScheduleDial(const std::string& vm);
  void DialNow(const std::string& vm);
  std::chrono::milliseconds RedialDelay(int failures);

  void ScheduleTick();
  void Tick();
  bool SendOn(const Connection& connection,
              const std::string& channel,
              const std::string& cbor);

  void NotifyUp(const std::string& vm, uint64_t incarnation);
  void PostDownNotification(const std::string& vm);
  void NotifyPendingDowns();

  boost::asio::io_context& m_context;
  const PeerLinkOptions m_options;
  LinkEndpoint m_endpoint;
  boost::asio::steady_timer m_tick_timer;
  Clock::time_point m_last_tick;
  std::mt19937_64 m_random;
  bool m_stopped = false;

  std::unordered_map<const void*, Connection> m_connections;
  /// The connection in use for each VM.
  std::map<std::string, const void*> m_in_use;
  std::map<std::string, DialState> m_dials;
  /// VMs whose link went down and whose down handlers have not run yet.
  std::deque<std::string> m_pending_downs;
};

}  // namespace cowslip

#endif  // SOURCE_LINK_PEER_LINK_IMPL_H_
