#ifndef SOURCE_PEERS_PEER_GOSSIP_H_
#define SOURCE_PEERS_PEER_GOSSIP_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Peers/peer_message.h"

namespace cowslip {

/// \class PeerGossipOptions
/// \brief Where datagrams come in and how often they go out.
struct PeerGossipOptions {
  Endpoint listen;
  /// A heartbeat when nothing changes; a quarter of the time after which a peer
  /// counts as silent.
  Duration heartbeat = std::chrono::milliseconds(250);
  /// The shortest time between two datagrams for each peer: with N peers, every
  /// process handles at most 2 / `pause_per_peer` datagrams a second, whatever
  /// N is.
  Duration pause_per_peer = std::chrono::milliseconds(10);
  /// No shorter pause than this, however few peers there are.
  Duration shortest_pause = std::chrono::milliseconds(40);
};

/// \class PeerGossip
/// \brief Sends this process's state to every peer in datagrams, soon after it
/// has changed and as a heartbeat, and hands on what comes from them.
class PeerGossip {
 public:
  /// Makes the message to send now, without its sequence number.
  using Compose = std::function<PeerMessage()>;
  /// The peers' addresses at the moment.
  using Addresses = std::function<std::vector<Endpoint>()>;
  using Receive = std::function<void(const PeerMessage& message)>;

  PeerGossip(boost::asio::io_context& context,
             PeerGossipOptions options,
             Compose compose,
             Addresses addresses,
             Receive receive);

  /// Opens the port. Errors: kUnavailable.
  Result<void> Start();
  void Stop();
  /// The state has changed: it is sent when the pause allows it.
  void StateChanged();

  uint16_t port() const;

 private:
  void ReceiveNext();
  void Schedule(Duration pause);
  void Send();
  Duration Pause() const;

  const PeerGossipOptions m_options;
  const Compose m_compose;
  const Addresses m_addresses;
  const Receive m_receive;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 65536> m_space;
  uint64_t m_sequence = 0;
  size_t m_peer_count = 0;
  MonotonicTime m_sent;
  bool m_send_is_soon = false;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_GOSSIP_H_
