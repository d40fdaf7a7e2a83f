#include "Peers/peer_gossip.h"

#include <algorithm>
#include <utility>

#include "Base/log.h"

namespace cowslip {

namespace asio = boost::asio;
using asio::ip::udp;

PeerGossip::PeerGossip(asio::io_context& context,
                       PeerGossipOptions options,
                       Compose compose,
                       Addresses addresses,
                       Receive receive)
    : m_options(std::move(options)),
      m_compose(std::move(compose)),
      m_addresses(std::move(addresses)),
      m_receive(std::move(receive)),
      m_socket(context),
      m_timer(context) {}

Result<void> PeerGossip::Start() {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(m_options.listen.address, error);
  if (!error) {
    const udp::endpoint endpoint(address, m_options.listen.port);
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
      m_socket.bind(endpoint, error);
    }
  }
  if (error) {
    return Error(ErrorKind::kUnavailable,
                 "Cannot receive datagrams on " + m_options.listen.ToString() +
                     ": " + error.message() + ". Choose a free internal port.");
  }
  m_socket.non_blocking(true, error);
  ReceiveNext();
  Schedule(Duration::zero());
  return Ok();
}

void PeerGossip::Stop() {
  boost::system::error_code ignored;
  m_timer.cancel();
  m_socket.close(ignored);
}

uint16_t PeerGossip::port() const {
  boost::system::error_code ignored;
  return m_socket.local_endpoint(ignored).port();
}

Duration PeerGossip::MinInterval() const {
  const Duration interval =
      m_options.min_interval_per_peer * static_cast<int64_t>(m_peer_count);
  return std::max(m_options.min_interval, interval);
}

void PeerGossip::StateChanged() {
  if (m_send_requested) {
    return;
  }
  m_send_requested = true;
  const Duration since_last = MonotonicClock::now() - m_last_sent;
  Schedule(std::max(Duration::zero(), MinInterval() - since_last));
}

void PeerGossip::Schedule(Duration delay) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Send();
    }
  });
}

void PeerGossip::Send() {
  m_send_requested = false;
  m_last_sent = MonotonicClock::now();
  const std::vector<Endpoint> addresses = m_addresses();
  m_peer_count = addresses.size();
  if (!addresses.empty()) {
    PeerMessage message = m_compose();
    message.sequence = ++m_sequence;
    const std::string bytes = EncodePeerMessage(message);
    for (const Endpoint& address : addresses) {
      // The next datagram makes up for one that could not be sent.
      SendTo(address, bytes);
    }
  }
  Schedule(m_options.heartbeat_interval);
}

void PeerGossip::SendTo(const Endpoint& to, const std::string& bytes) {
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(to.address, error);
  if (!error) {
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(ip, to.port), 0, error);
  }
  LOG_IF_EVERY_N(WARNING, error, 1000)
      << "peers: Cannot send to " << to << ": " << error.message();
}

void PeerGossip::HandleDatagram(std::string_view bytes) {
  const Result<PeerDatagram> datagram = DecodePeerDatagram(bytes);
  if (!datagram.has_value()) {
    LOG_EVERY_N(WARNING, 100) << "peers: " << datagram.error();
    return;
  }
  m_receive(datagram.value());
}

void PeerGossip::ReceiveNext() {
  m_socket.async_receive_from(
      asio::buffer(m_receive_buffer), m_sender,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          HandleDatagram(std::string_view(m_receive_buffer.data(), size));
        }
        ReceiveNext();
      });
}

}  // namespace cowslip
