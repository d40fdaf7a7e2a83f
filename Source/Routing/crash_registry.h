#ifndef SOURCE_ROUTING_CRASH_REGISTRY_H_
#define SOURCE_ROUTING_CRASH_REGISTRY_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/fingerprint.h"
#include "Base/time.h"

namespace cowslip {

/// The peer link channel on which entries exchange crash reports.
inline constexpr char kCrashChannel[] = "crash";

/// \class CrashReport
/// \brief State change of one fingerprint, sent to the other entries.
struct CrashReport {
  Fingerprint fingerprint;
  /// The request crashed a backend server that ran nothing else.
  bool quarantined = false;
  /// The request ran alone and completed, so it is no longer a suspect.
  bool cleared = false;
  /// An operator lifted the quarantine.
  bool released = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CrashReport,
                                   fingerprint,
                                   quarantined,
                                   cleared,
                                   released)

/// \class CrashRegistryOptions
/// \brief How long a suspicion and a quarantine last.
struct CrashRegistryOptions {
  Duration suspicion_lifetime = std::chrono::minutes(10);
  Duration quarantine_lifetime = std::chrono::hours(6);
  /// Bounds the memory; the record that expires first is evicted.
  size_t max_records = 10000;
};

/// \class CrashRegistry
/// \brief Identifies requests that crash backend servers, without quarantining
/// requests that merely ran at the same time.
///
/// Every request in flight at a crash becomes a suspect and runs alone from
/// then on. A suspect that completes is cleared; an online request that crashes
/// a backend server while it runs alone is quarantined. Batch items are never
/// quarantined: they are owed until their job's deadline.
class CrashRegistry {
 public:
  explicit CrashRegistry(CrashRegistryOptions options);

  enum class Status { kUnknown, kSuspect, kQuarantined };
  Status Classify(const Fingerprint& fingerprint, MonotonicTime now) const;

  /// A backend server crashed while that request ran. `quarantine` if it ran
  /// nothing else and the request is not owed. Returns the report for the other
  /// entries.
  CrashReport RecordCrash(const Fingerprint& fingerprint,
                          bool quarantine,
                          MonotonicTime now);
  /// A suspect that ran alone has completed. Returns the report for the other
  /// entries.
  CrashReport RecordCleared(const Fingerprint& fingerprint);
  /// Applies a report from another entry or from the store.
  void ApplyReport(const CrashReport& report, MonotonicTime now);

  /// The quarantined fingerprints, for operators and for new entries.
  std::vector<Fingerprint> Quarantined(MonotonicTime now) const;
  /// An operator lifts a quarantine.
  void Release(const Fingerprint& fingerprint);

 private:
  struct Record {
    bool quarantined = false;
    MonotonicTime until;
  };

  void AddRecord(const Fingerprint& fingerprint,
                 bool quarantined,
                 MonotonicTime now);
  void RemoveSuspicion(const Fingerprint& fingerprint);
  void EvictFirstExpiring();

  const CrashRegistryOptions m_options;
  std::map<Fingerprint, Record> m_records;
};

}  // namespace cowslip

#endif  // SOURCE_ROUTING_CRASH_REGISTRY_H_
