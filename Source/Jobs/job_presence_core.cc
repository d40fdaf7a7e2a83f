#include "Jobs/job_presence_core.h"

#include "Fleet/fleet_configuration.h"

namespace cowslip {

const char* NameOf(JobPresence presence) {
  switch (presence) {
    case JobPresence::kPossible:
      return "possible";
    case JobPresence::kUnconfirmed:
      return "unconfirmed";
    case JobPresence::kUnknown:
      return "unknown";
    case JobPresence::kNone:
      return "none";
  }
  return "";
}

JobView JobViewOf(const JobViewEvidence& evidence,
                  const StalenessBudget& staleness,
                  MonotonicTime now) {
  const std::optional<MonotonicTime>& differs_since = evidence.differs_since;
  const bool differs_long = differs_since.has_value() &&
                            now - *differs_since > staleness.grace_period;
  return {.is_current = evidence.watches_work && evidence.is_compared &&
                        !evidence.has_paused && !differs_long &&
                        now - evidence.last_poll <= staleness.bound,
          .agrees_with_peers = !differs_since.has_value()};
}

JobHostsChanged JobHostsOf(const FleetConfiguration& configuration) {
  JobHostsChanged event{.version = configuration.version()};
  for (const FleetRoute& route : configuration.routes()) {
    JobHostRoutes& host = event.hosts[NormaliseHost(route.host)];
    const bool accepts_jobs = route.kind == RequestKind::kBatch;
    (accepts_jobs ? host.accepting_jobs : host.others)
        .insert(route.path_prefix);
  }
  std::erase_if(event.hosts, [](const auto& entry) {
    return entry.second.accepting_jobs.empty();
  });
  return event;
}

void JobPresenceCore::Handle(const JobPresenceEvent& event, MonotonicTime now) {
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
}

void JobPresenceCore::Apply(const JobHostsChanged& event, MonotonicTime now) {
  if (!m_version.has_value() ||
      event.version.value() != m_version->value() + 1) {
    m_gap = now;
  }
  m_version = event.version;
  std::erase_if(m_changes, [&](const auto& change) {
    return now - change.second > m_options.unseen_time;
  });
  for (const auto& [host, routes] : m_hosts) {
    const auto successor = event.hosts.find(host);
    if (successor == event.hosts.end() || successor->second != routes) {
      m_changes[host] = now;
    }
  }
  m_hosts = event.hosts;
}

bool JobPresenceCore::HasChangedLately(const std::string& host,
                                       MonotonicTime now) const {
  const auto change = m_changes.find(host);
  return !m_gap.has_value() || now - *m_gap <= m_options.unseen_time ||
         (change != m_changes.end() &&
          now - change->second <= m_options.unseen_time);
}

bool JobPresenceCore::KnowsAllJobs(const std::string& host,
                                   const JobView& view,
                                   MonotonicTime now) const {
  return view.is_current && view.agrees_with_peers &&
         !HasChangedLately(host, now);
}

JobPresence JobPresenceCore::PresenceWithoutJob(const std::string& host,
                                                const JobView& view,
                                                MonotonicTime now) const {
  if (m_hosts.contains(host)) {
    return JobPresence::kPossible;
  }
  if (!view.is_current) {
    return JobPresence::kUnknown;
  }
  return KnowsAllJobs(host, view, now) ? JobPresence::kNone
                                       : JobPresence::kUnconfirmed;
}

}  // namespace cowslip
