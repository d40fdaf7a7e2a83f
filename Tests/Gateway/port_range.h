#ifndef TESTS_GATEWAY_PORT_RANGE_H_
#define TESTS_GATEWAY_PORT_RANGE_H_

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace cowslip {

/// \class PortRange
/// \brief A range of ports below the kernel's range of ephemeral ports, which
/// no other PortRange has while this one exists, in any process.
class PortRange {
 public:
  static constexpr int kRanges = 100;

  /// Takes the first range that is not taken, from range `first` on.
  explicit PortRange(int first);

  /// The number of the range, or -1 when all are taken.
  int number() const { return m_number; }
  /// Returns the next port that is free for UDP and TCP; 0 when there is none.
  uint16_t Next();

 private:
  bool IsFree(uint16_t port);

  boost::asio::io_context m_context;
  // Bound to the first port of the range, which marks the range as taken. The
  // kernel releases it when the process ends.
  boost::asio::ip::udp::socket m_mark{m_context};
  int m_number = -1;
  int m_next = 0;
};

}  // namespace cowslip

#endif  // TESTS_GATEWAY_PORT_RANGE_H_
