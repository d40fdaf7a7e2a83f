#ifndef SOURCE_PEERS_PEER_GOSSIP_H_
#define SOURCE_PEERS_PEER_GOSSIP_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/endpoint.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Peers/peer_datagram.h"

namespace cowslip {

/// \class PeerGossipOptions
/// \brief Address for incoming datagrams and rate of outgoing ones.
struct PeerGossipOptions {
  Endpoint listen;
  /// Interval between datagrams while nothing changes; a quarter of the time
  /// after which a peer counts as silent.
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  /// The shortest interval between two rounds of datagrams, per peer: with N
  /// peers it is N times this value, so that every process sends and receives
  /// at most 2 / `min_interval_per_peer` datagrams per second, whatever N is.
  Duration min_interval_per_peer = std::chrono::milliseconds(10);
  /// Lower bound of the interval between two rounds when there are few peers.
  Duration min_interval = std::chrono::milliseconds(40);
};

/// \class PeerGossip
/// \brief Sends this process's state to every peer in datagrams, soon after it
/// has changed and as a heartbeat, and passes on the datagrams of the peers.
class PeerGossip {
 public:
  /// Builds the message to send, without its sequence number.
  using Compose = std::function<PeerMessage()>;
  /// Returns the current addresses of the peers.
  using Addresses = std::function<std::vector<Endpoint>()>;
  using Receive = std::function<void(const PeerDatagram& datagram)>;

  PeerGossip(boost::asio::io_context& context,
             PeerGossipOptions options,
             Compose compose,
             Addresses addresses,
             Receive receive);

  /// Binds the UDP port and starts to send. Errors: kUnavailable.
  Result<void> Start();
  void Stop();
  /// Sends the changed state as soon as the minimum interval allows.
  void StateChanged();
  /// Sends one datagram at once. It may be lost.
  void SendTo(const Endpoint& to, const std::string& bytes);

  uint16_t port() const;

 private:
  void ReceiveNext();
  void HandleDatagram(std::string_view bytes);
  void Schedule(Duration delay);
  void Send();
  Duration MinInterval() const;

  const PeerGossipOptions m_options;
  const Compose m_compose;
  const Addresses m_addresses;
  const Receive m_receive;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 65536> m_receive_buffer;
  uint64_t m_sequence = 0;
  size_t m_peer_count = 0;
  MonotonicTime m_last_sent;
  bool m_send_requested = false;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_GOSSIP_H_
