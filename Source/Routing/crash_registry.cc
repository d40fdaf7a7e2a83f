#include "Routing/crash_registry.h"

#include <algorithm>

namespace cowslip {

CrashRegistry::CrashRegistry(CrashRegistryOptions options)
    : m_options(options) {}

CrashRegistry::Status CrashRegistry::Classify(const Fingerprint& fingerprint,
                                              MonotonicTime now) const {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end() || found->second.until <= now) {
    return Status::kUnknown;
  }
  return found->second.quarantined ? Status::kQuarantined : Status::kSuspect;
}

CrashReport CrashRegistry::RecordCrash(const Fingerprint& fingerprint,
                                       bool quarantine,
                                       MonotonicTime now) {
  AddRecord(fingerprint, quarantine, now);
  return {.fingerprint = fingerprint, .quarantined = quarantine};
}

CrashReport CrashRegistry::RecordCleared(const Fingerprint& fingerprint) {
  RemoveSuspicion(fingerprint);
  return {.fingerprint = fingerprint, .cleared = true};
}

void CrashRegistry::ApplyReport(const CrashReport& report, MonotonicTime now) {
  if (report.released) {
    Release(report.fingerprint);
    return;
  }
  if (!report.cleared) {
    AddRecord(report.fingerprint, report.quarantined, now);
    return;
  }
  RemoveSuspicion(report.fingerprint);
}

// A report of clearance that arrives late must not lift a newer quarantine.
void CrashRegistry::RemoveSuspicion(const Fingerprint& fingerprint) {
  const auto found = m_records.find(fingerprint);
  if (found != m_records.end() && !found->second.quarantined) {
    m_records.erase(found);
  }
}

std::vector<Fingerprint> CrashRegistry::Quarantined(MonotonicTime now) const {
  std::vector<Fingerprint> fingerprints;
  for (const auto& [fingerprint, record] : m_records) {
    if (record.quarantined && record.until > now) {
      fingerprints.push_back(fingerprint);
    }
  }
  return fingerprints;
}

void CrashRegistry::Release(const Fingerprint& fingerprint) {
  m_records.erase(fingerprint);
}

void CrashRegistry::AddRecord(const Fingerprint& fingerprint,
                              bool quarantined,
                              MonotonicTime now) {
  Record& record = m_records[fingerprint];
  const bool still = record.quarantined && record.until > now;
  record.quarantined = still || quarantined;
  const Duration lifetime = record.quarantined ? m_options.quarantine_lifetime
                                               : m_options.suspicion_lifetime;
  record.until = now + lifetime;
  EvictFirstExpiring();
}

void CrashRegistry::EvictFirstExpiring() {
  if (m_records.size() <= m_options.max_records) {
    return;
  }
  const auto first_expiring = std::min_element(
      m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
        return a.second.until < b.second.until;
      });
  m_records.erase(first_expiring);
}

}  // namespace cowslip
