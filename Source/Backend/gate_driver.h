#ifndef SOURCE_BACKEND_GATE_DRIVER_H_
#define SOURCE_BACKEND_GATE_DRIVER_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "Backend/gate_events.h"
#include "Backend/gate_options.h"
#include "Base/endpoint.h"

namespace cowslip {

class GateCore;

/// \class GateDriverHooks
/// \brief Callbacks of the gate, called on the io_context's thread.
struct GateDriverHooks {
  /// Sends a message to one entry.
  std::function<void(const VmId&, const ExchangeReplyMessage&)> reply;
  /// Sends the status to every connected entry.
  std::function<void(const BackendStatus&)> announce;
  /// All accepted requests have ended after GateDrainRequested.
  std::function<void()> drained;
};

/// \class GateDriver
/// \brief Passes the events of connections and timers to GateCore and executes
/// its actions.
///
/// Every call is sent once, on a new connection. A broken connection therefore
/// means that the backend server failed during this call; it cannot be a stale
/// connection that was reused.
class GateDriver {
 public:
  GateDriver(boost::asio::io_context& context,
             GateOptions options,
             Endpoint engine,
             GateDriverHooks hooks);
  ~GateDriver();
  GateDriver(const GateDriver&) = delete;
  GateDriver& operator=(const GateDriver&) = delete;

  /// Starts the deadline timer and the health probe of the backend server.
  void Start();
  void Feed(GateEvent event);
  const GateCore& core() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_DRIVER_H_
