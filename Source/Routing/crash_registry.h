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

/// The peer link channel on which entries tell each other of crashes.
inline constexpr char kCrashChannel[] = "crash";

/// \class CrashReport
/// \brief What entries tell each other about one fingerprint.
struct CrashReport {
  Fingerprint fingerprint;
  /// The request crashed a backend server that ran nothing else.
  bool quarantined = false;
  /// The request ran alone to its end: it is innocent.
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
  /// Bounds the memory; the oldest records go first.
  size_t max_records = 10000;
};

/// \class CrashRegistry
/// \brief Finds the request that crashes backend servers without blaming those
/// that merely ran beside it.
///
/// Everything in flight at a crash becomes a suspect and runs alone from then
/// on. A suspect that ends is cleared; one that crashes a backend server while
/// alone is quarantined.
class CrashRegistry {
 public:
  explicit CrashRegistry(CrashRegistryOptions options);

  enum class Verdict { kUnknown, kSuspect, kQuarantined };
  Verdict Judge(const Fingerprint& fingerprint, MonotonicTime now) const;

  /// A backend server crashed while that request ran. Returns what the other
  /// entries must hear.
  CrashReport Crashed(const Fingerprint& fingerprint,
                      bool alone,
                      MonotonicTime now);
  /// A suspect that ran alone has ended well. Returns what the other entries
  /// must hear.
  CrashReport Cleared(const Fingerprint& fingerprint);
  /// Another entry, or the store, told of a crash.
  void Learn(const CrashReport& report, MonotonicTime now);

  /// The quarantined fingerprints, for operators and for new entries.
  std::vector<Fingerprint> Quarantined(MonotonicTime now) const;
  /// An operator lifts a quarantine.
  void Release(const Fingerprint& fingerprint);

 private:
  struct Record {
    bool quarantined = false;
    MonotonicTime until;
  };

  void Remember(const Fingerprint& fingerprint,
                bool quarantined,
                MonotonicTime now);
  void Forgive(const Fingerprint& fingerprint);
  void MakeRoom();

  const CrashRegistryOptions m_options;
  std::map<Fingerprint, Record> m_records;
};

}  // namespace cowslip

#endif  // SOURCE_ROUTING_CRASH_REGISTRY_H_
