#ifndef SOURCE_GATEWAY_GATEWAY_CONTEXT_H_
#define SOURCE_GATEWAY_GATEWAY_CONTEXT_H_

#include <functional>
#include <memory>

#include "Base/ids.h"
#include "Base/time.h"

namespace boost::asio {
class io_context;
}

namespace cowslip {

class AbortedRunTracker;
class Dispatcher;
class EventLog;
class FleetConfiguration;
class GatewayMetrics;
class QuotaCore;
class StartupGate;

/// \class GatewayContext
/// \brief What the handlers of one gateway share. The daemon owns all of it.
struct GatewayContext {
  boost::asio::io_context& io;
  Dispatcher& dispatcher;
  QuotaCore& quota;
  AbortedRunTracker& aborted_runs;
  EventLog& log;
  GatewayMetrics& metrics;
  StartupGate& startup_gate;
  /// The configuration in force; null before the first one.
  std::shared_ptr<const FleetConfiguration> configuration;
  /// Whether newer versions would be heard of. While they would not, what the
  /// version in force does not know may yet exist.
  bool configuration_is_current = false;
  /// Whether this process would hear that another one has taken over a job.
  bool jobs_are_current = false;
  /// Called when an admission has changed what the other processes must know.
  std::function<void()> usage_changed;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_GATEWAY_CONTEXT_H_
