#ifndef SOURCE_BACKEND_SIDECAR_DAEMON_H_
#define SOURCE_BACKEND_SIDECAR_DAEMON_H_

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "Base/result.h"

namespace cowslip {

struct SidecarSettings;

/// \class SidecarDaemon
/// \brief The sidecar process of a backend server: peer links to the entries,
/// admission control, orders, and the admin port (`/healthz`, `/readyz`,
/// `/metrics`, `/status`, `POST /orders`).
class SidecarDaemon {
 public:
  SidecarDaemon(boost::asio::io_context& context, SidecarSettings settings);
  ~SidecarDaemon();
  SidecarDaemon(const SidecarDaemon&) = delete;
  SidecarDaemon& operator=(const SidecarDaemon&) = delete;

  /// Opens the ports. Errors: kUnavailable.
  Result<void> Start();
  /// Announces to the entries that it accepts no new work, completes the
  /// accepted requests, and stops the io_context.
  void Drain();

  uint16_t link_port() const;
  uint16_t admin_port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_SIDECAR_DAEMON_H_
