#include "Placement/version_history_core.h"

#include <algorithm>
#include <utility>

#include "Base/rendezvous.h"
#include "Peers/peer_table.h"

namespace cowslip {

VersionHistoryCore::VersionHistoryCore(VersionHistoryOptions options,
                                       const PeerTable& peers)
    : m_options(std::move(options)), m_peers(peers) {}

std::vector<VersionHistoryAction> VersionHistoryCore::Handle(
    const VersionHistoryEvent& event,
    MonotonicTime now) {
  m_actions.clear();
  std::visit([&](const auto& alternative) { Apply(alternative, now); }, event);
  return std::exchange(m_actions, {});
}

void VersionHistoryCore::MarkChanged(Service& service, MonotonicTime now) {
  service.changed = now;
  service.next_check = now;
}

void VersionHistoryCore::MarkGone(const ServiceId& service,
                                  const SoftwareVersion& version,
                                  MonotonicTime now) {
  const std::pair<ServiceId, SoftwareVersion> gone(service, version);
  const bool is_left =
      std::any_of(m_backends.begin(), m_backends.end(),
                  [&](const auto& backend) { return backend.second == gone; });
  if (!is_left) {
    m_services[service].seen[version] = now;
  }
}

void VersionHistoryCore::Apply(const VersionListed& event, MonotonicTime now) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    const auto [service, version] = found->second;
    if (service == event.service && version == event.version) {
      return;
    }
    m_backends.erase(found);
    MarkGone(service, version, now);
  }
  m_backends[event.backend] = {event.service, event.version};
  Service& service = m_services[event.service];
  const auto seen = service.seen.find(event.version);
  if (seen == service.seen.end() || seen->second.has_value()) {
    service.seen[event.version] = std::nullopt;
    MarkChanged(service, now);
    MaybeRecord(event.service, service, now);
  }
}

void VersionHistoryCore::Apply(const VersionUnlisted& event,
                               MonotonicTime now) {
  const auto found = m_backends.find(event.backend);
  if (found != m_backends.end()) {
    const auto [service, version] = found->second;
    m_backends.erase(found);
    MarkGone(service, version, now);
  }
}

void VersionHistoryCore::Apply(const VersionsListedCompletely&,
                               MonotonicTime now) {
  m_watched_since = now;
}

void VersionHistoryCore::Apply(const VersionWatchInterrupted&, MonotonicTime) {
  m_watched_since.reset();
}

void VersionHistoryCore::Apply(const VersionsReadUpTo& event, MonotonicTime) {
  m_read_up_to = std::max(m_read_up_to.value_or(event.began), event.began);
}

void VersionHistoryCore::Apply(const ResumableServicesChanged& event,
                               MonotonicTime now) {
  m_resumable = event.services;
  Apply(VersionHistoryTick{}, now);
}

void VersionHistoryCore::Apply(const VersionRecordKnown& event,
                               MonotonicTime now) {
  Service& service = m_services[event.service];
  service.call_pending = false;
  service.record = event.record.value_or(ServiceVersions());
  service.record_known = true;
  service.record_read = event.began;
  // Another recorder has seen what this process has missed: such a version
  // counts as one that was listed until now.
  for (const SoftwareVersion& version : service.record.versions) {
    service.seen.try_emplace(version, now);
  }
  if (service.in_doubt.has_value() &&
      service.record.revision != *service.in_doubt) {
    service.in_doubt.reset();
  }
  service.next_check = now;
  MaybeRecord(event.service, service, now);
}

void VersionHistoryCore::Apply(const VersionRecordCallFailed& event,
                               MonotonicTime now) {
  Service& service = m_services[event.service];
  service.call_pending = false;
  service.record_known = false;
  if (event.in_doubt) {
    service.in_doubt = service.record.revision;
  }
  service.next_check = now + m_options.retry_interval;
}

void VersionHistoryCore::Apply(const VersionRecordNeeded& event,
                               MonotonicTime now) {
  if (JudgeKnown(event.service, now).knowledge == Knowledge::kRecordNeeded) {
    Read(event.service, m_services[event.service]);
  }
}

void VersionHistoryCore::Apply(const VersionHistoryTick&, MonotonicTime now) {
  for (auto& [id, service] : m_services) {
    std::erase_if(service.seen, [&](const auto& seen) {
      return seen.second.has_value() && now - *seen.second > m_options.memory;
    });
    MaybeRecord(id, service, now);
  }
}

void VersionHistoryCore::Read(const ServiceId& id, Service& service) {
  if (!std::exchange(service.call_pending, true)) {
    m_actions.push_back(ReadVersionRecord{id});
  }
}

void VersionHistoryCore::MaybeRecord(const ServiceId& id,
                                     Service& service,
                                     MonotonicTime now) {
  if (!m_watched_since.has_value() || !m_resumable.contains(id) ||
      service.call_pending || now < service.next_check) {
    return;
  }
  const std::set<SoftwareVersion> wanted = Wanted(service, now);
  const bool is_recorded = service.record_known &&
                           !service.in_doubt.has_value() &&
                           service.record.versions == wanted;
  if (is_recorded || service.seen.empty()) {
    return;
  }
  service.next_check = now + m_options.retry_interval;
  const std::vector<VmId> recorders =
      RendezvousPick(id.value(), m_peers.LiveProcesses(), m_options.recorders);
  const auto self =
      std::find(recorders.begin(), recorders.end(), m_options.self);
  if (self == recorders.end()) {
    return;
  }
  const MonotonicTime due =
      service.changed + m_options.recorder_delay * (self - recorders.begin());
  if (now < due) {
    service.next_check = due;
    return;
  }
  // The first recorder may have written since this one read the record.
  const bool is_first = self == recorders.begin();
  const bool is_fresh =
      service.record_known && (is_first || service.record_read >= due);
  if (!is_fresh) {
    Read(id, service);
    return;
  }
  service.call_pending = true;
  m_actions.push_back(
      WriteVersionRecord{.service = id,
                         .record = {.versions = wanted,
                                    .writes = service.record.writes + 1,
                                    .revision = service.record.revision}});
}

std::set<SoftwareVersion> VersionHistoryCore::SeenLately(
    const Service& service,
    MonotonicTime now) const {
  std::set<SoftwareVersion> versions;
  for (const auto& [version, gone] : service.seen) {
    if (!gone.has_value() || now - *gone <= m_options.memory) {
      versions.insert(version);
    }
  }
  return versions;
}

std::set<SoftwareVersion> VersionHistoryCore::Wanted(const Service& service,
                                                     MonotonicTime now) const {
  std::set<SoftwareVersion> versions = SeenLately(service, now);
  if (!HasWatchedLongEnough(now)) {
    versions.insert(service.record.versions.begin(),
                    service.record.versions.end());
  }
  return versions;
}

bool VersionHistoryCore::HasWatchedLongEnough(MonotonicTime now) const {
  return m_watched_since.has_value() &&
         now - *m_watched_since > m_options.memory;
}

VersionHistoryCore::Verdict VersionHistoryCore::Judge(const ServiceId& service,
                                                      MonotonicTime asked,
                                                      MonotonicTime now) const {
  Verdict verdict = JudgeKnown(service, now);
  if (m_read_up_to.has_value()) {
    verdict.view_age = now - *m_read_up_to;
  }
  const bool is_current = m_read_up_to.has_value() && *m_read_up_to >= asked;
  if (verdict.knowledge == Knowledge::kSoleVersion && !is_current) {
    verdict.knowledge = Knowledge::kViewOutdated;
  }
  return verdict;
}

VersionHistoryCore::Verdict VersionHistoryCore::JudgeKnown(
    const ServiceId& service,
    MonotonicTime now) const {
  Verdict verdict;
  const auto found = m_services.find(service);
  if (!m_watched_since.has_value() || found == m_services.end()) {
    return verdict;
  }
  verdict.watched = now - *m_watched_since;
  const Service& known = found->second;
  verdict.versions = SeenLately(known, now);
  const bool is_read =
      known.record_known && known.record_read >= *m_watched_since;
  if (verdict.versions.size() <= 1 && !HasWatchedLongEnough(now)) {
    if (!is_read) {
      verdict.knowledge = Knowledge::kRecordNeeded;
      return verdict;
    }
    verdict.versions.insert(known.record.versions.begin(),
                            known.record.versions.end());
    if (known.record.revision == ObjectVersion()) {
      return verdict;
    }
  }
  if (!verdict.versions.empty()) {
    verdict.knowledge = verdict.versions.size() == 1
                            ? Knowledge::kSoleVersion
                            : Knowledge::kSeveralVersions;
  }
  return verdict;
}

}  // namespace cowslip
