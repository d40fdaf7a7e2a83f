#include "port_range.h"

#include <boost/asio/ip/tcp.hpp>

namespace cowslip {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace {

constexpr int kFirstPort = 26000;
constexpr int kPortsEach = 60;

}  // namespace

PortRange::PortRange(int first) {
  for (int i = 0; i < kRanges && m_number < 0; ++i) {
    const int number = (first + i) % kRanges;
    const auto port = static_cast<uint16_t>(kFirstPort + number * kPortsEach);
    boost::system::error_code error;
    m_mark = udp::socket(m_context, udp::v4());
    m_mark.bind(udp::endpoint(udp::v4(), port), error);
    if (!error) {
      m_number = number;
    }
  }
}

uint16_t PortRange::Next() {
  for (int tries = 1; m_number >= 0 && tries < kPortsEach; ++tries) {
    const int offset = 1 + m_next++ % (kPortsEach - 1);
    const auto port =
        static_cast<uint16_t>(kFirstPort + m_number * kPortsEach + offset);
    if (IsFree(port)) {
      return port;
    }
  }
  return 0;
}

bool PortRange::IsFree(uint16_t port) {
  boost::system::error_code error;
  udp::socket datagrams(m_context, udp::v4());
  datagrams.bind(udp::endpoint(udp::v4(), port), error);
  if (error) {
    return false;
  }
  tcp::acceptor connections(m_context, tcp::v4());
  connections.set_option(tcp::acceptor::reuse_address(true));
  connections.bind(tcp::endpoint(tcp::v4(), port), error);
  return !error;
}

}  // namespace cowslip
