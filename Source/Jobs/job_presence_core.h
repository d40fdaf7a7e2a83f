#ifndef SOURCE_JOBS_JOB_PRESENCE_CORE_H_
#define SOURCE_JOBS_JOB_PRESENCE_CORE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/staleness_budget.h"

namespace cowslip {

class FleetConfiguration;

/// \class JobPresenceOptions
/// \brief How far processes may lag behind each other.
struct JobPresenceOptions {
  /// After a change of a host's routes, another process may accept a job by the
  /// old ones for this long, or this process may not have seen its record.
  Duration unseen_time = std::chrono::seconds(6);
};

/// \class JobView
/// \brief What this process knows of the configuration and of the jobs.
struct JobView {
  /// Everything that is older than the bound on staleness is known.
  bool is_current = false;
  /// No other process reports contents that are unknown here.
  bool agrees_with_peers = false;
};

/// \class JobViewEvidence
/// \brief What a JobView is concluded from.
struct JobViewEvidence {
  /// The watches on the configuration and on the jobs have not failed since
  /// both were listed.
  bool watches_work = false;
  /// Everything was listed that peers compare; otherwise none of it is.
  bool is_compared = false;
  /// This process has stood still, and has not yet begun to read again.
  bool has_paused = false;
  /// When the newest complete poll of any process began.
  MonotonicTime last_poll;
  /// Since when a peer has reported a configuration or jobs that are unknown
  /// here; nullopt if none does.
  std::optional<MonotonicTime> differs_since;
};

/// Concludes how far the jobs are known. A watch may be silent while the store
/// is cut off: then polls fail, or the peers know more.
JobView JobViewOf(const JobViewEvidence& evidence,
                  const StalenessBudget& staleness,
                  MonotonicTime now);

/// \class JobHostRoutes
/// \brief The path prefixes of a host's routes.
struct JobHostRoutes {
  std::set<std::string> accepting_jobs;
  std::set<std::string> others;

  friend bool operator==(const JobHostRoutes&, const JobHostRoutes&) = default;
};

/// A configuration has come into force.
struct JobHostsChanged {
  ConfigVersion version;
  /// The hosts that accept jobs, each as NormaliseHost() returns it.
  std::map<std::string, JobHostRoutes> hosts;
};
using JobPresenceEvent = std::variant<JobHostsChanged>;

/// Whether there can be batch jobs of a host.
enum class JobPresence {
  /// A route of it accepts jobs, or there is one.
  kPossible,
  /// None is known. One may have been accepted a moment ago; the store tells.
  kUnconfirmed,
  /// This process can't tell.
  kUnknown,
  kNone,
};

/// The name of a presence in the log.
const char* NameOf(JobPresence presence);

/// Returns the event for a configuration.
JobHostsChanged JobHostsOf(const FleetConfiguration& configuration);

/// \class JobPresenceCore
/// \brief Decides whether there can be batch jobs of a host, and whether this
/// process knows all of them. See docs/design/job-paths.md.
class JobPresenceCore {
 public:
  explicit JobPresenceCore(JobPresenceOptions options) : m_options(options) {}

  void Handle(const JobPresenceEvent& event, MonotonicTime now);

  /// If no job of the host is known.
  JobPresence PresenceWithoutJob(const std::string& host,
                                 const JobView& view,
                                 MonotonicTime now) const;
  /// Whether every job of the host is known here that was accepted by a route
  /// which is not in force here.
  bool KnowsAllJobs(const std::string& host,
                    const JobView& view,
                    MonotonicTime now) const;

 private:
  void Apply(const JobHostsChanged& event, MonotonicTime now);
  /// Whether the host's routes have changed, or may have changed, within
  /// `unseen_time`.
  bool HasChangedLately(const std::string& host, MonotonicTime now) const;

  const JobPresenceOptions m_options;
  std::map<std::string, JobHostRoutes> m_hosts;
  std::optional<ConfigVersion> m_version;
  /// When a configuration came into force here without the one before it: the
  /// first one, or one after versions that this process never had.
  std::optional<MonotonicTime> m_gap;
  /// When the routes of a host that accepts jobs, or did so, changed last.
  std::map<std::string, MonotonicTime> m_changes;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_PRESENCE_CORE_H_
