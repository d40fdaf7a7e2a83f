#ifndef SOURCE_BACKEND_SIDE_DAEMON_H_
#define SOURCE_BACKEND_SIDE_DAEMON_H_

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "Base/result.h"

namespace cowslip {

struct SideSettings;

/// \class SideDaemon
/// \brief The side process: peer links towards the entries, the gate, orders,
/// and the operators' port (`/healthz`, `/readyz`, `/metrics`, `/status`,
/// `POST /orders`).
class SideDaemon {
 public:
  SideDaemon(boost::asio::io_context& context, SideSettings settings);
  ~SideDaemon();
  SideDaemon(const SideDaemon&) = delete;
  SideDaemon& operator=(const SideDaemon&) = delete;

  /// Opens the ports. Errors: kUnavailable.
  Result<void> Start();
  /// Says goodbye, finishes what was taken, and stops the io_context.
  void Drain();

  uint16_t link_port() const;
  uint16_t admin_port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDE_DAEMON_H_
