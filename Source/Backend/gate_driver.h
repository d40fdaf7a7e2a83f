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
/// \brief How the gate reaches the entries. Called on the io_context's thread.
struct GateDriverHooks {
  std::function<void(const VmId&, const ExchangeReplyMessage&)> reply;
  std::function<void(const BackendStatus&)> announce;
  /// Everything taken has ended after GateDrainRequested.
  std::function<void()> drained;
};

/// \class GateDriver
/// \brief Feeds GateCore with what the backend server's connections and timers
/// bring, and carries its actions out.
///
/// Every call gets a fresh connection and is sent once: a connection that
/// breaks was broken by this call's own backend server, never left over from
/// an earlier one.
class GateDriver {
 public:
  GateDriver(boost::asio::io_context& context,
             GateOptions options,
             Endpoint engine,
             GateDriverHooks hooks);
  ~GateDriver();
  GateDriver(const GateDriver&) = delete;
  GateDriver& operator=(const GateDriver&) = delete;

  /// Begins to watch the deadlines and the backend server.
  void Start();
  void Feed(GateEvent event);
  const GateCore& core() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_GATE_DRIVER_H_
