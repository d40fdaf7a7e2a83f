#ifndef SOURCE_GATEWAY_GATEWAY_CONTEXT_H_
#define SOURCE_GATEWAY_GATEWAY_CONTEXT_H_

#include <functional>
#include <memory>

#include "Base/ids.h"
#include "Base/time.h"
#include "Jobs/job_presence_core.h"

namespace boost::asio {
class io_context;
}

namespace cowslip {

class AbortedRunRecords;
class AbortedRunTracker;
class CrashSuspectCore;
class Dispatcher;
class EventLog;
class FleetConfiguration;
class GatewayMetrics;
class MemoryBudget;
class QuotaCore;
class RouteHistory;
class ShutdownNotice;
class StartupGate;
class StreamOriginDirectory;
class VersionHistory;

/// \class GatewayContext
/// \brief State that the request handlers of one gateway share. The daemon owns
/// all of it.
struct GatewayContext {
  boost::asio::io_context& io;
  Dispatcher& dispatcher;
  QuotaCore& quota;
  AbortedRunTracker& aborted_runs;
  AbortedRunRecords& aborted_run_records;
  CrashSuspectCore& crash_suspects;
  StreamOriginDirectory& stream_origins;
  VersionHistory& version_history;
  RouteHistory& route_history;
  /// Of online requests.
  EventLog& log;
  GatewayMetrics& metrics;
  /// Bounds what is held of the bytes that peers send.
  std::shared_ptr<MemoryBudget> memory;
  StartupGate& startup_gate;
  ShutdownNotice& shutdown_notice;
  /// The region of this VM; empty if it is not known.
  RegionId region;
  /// The configuration in force; null until the first one has been read.
  std::shared_ptr<const FleetConfiguration> configuration;
  /// Whether the watch on the configuration works, so that newer versions would
  /// be noticed. While it does not, a route or key that the version in force
  /// lacks may exist in a newer one.
  bool configuration_is_current = false;
  /// Whether the watch on jobs works, so that a takeover of a job by another
  /// process would be noticed.
  bool jobs_are_current = false;
  /// How far the configuration and the jobs are known.
  std::function<JobView()> job_view;
  /// Whether this process has processor time left for more batch work.
  bool has_time_left = true;
  /// The version of the store up to which this process knows all jobs.
  std::function<ObjectVersion()> jobs_as_of;
  /// Lists the jobs again, because a change may have been missed.
  std::function<void()> refresh_jobs;
  /// Called when something has changed that this process reports to the others:
  /// the quota usage, or what it knows of crashes.
  std::function<void()> reported_state_changed;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_GATEWAY_CONTEXT_H_
