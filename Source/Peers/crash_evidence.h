#ifndef SOURCE_PEERS_CRASH_EVIDENCE_H_
#define SOURCE_PEERS_CRASH_EVIDENCE_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Fleet/caller_request.h"

namespace cowslip {

/// \class SuspectPart
/// \brief A prompt part with which runs broke off in a crash.
struct SuspectPart {
  /// Of a run about whose progress nothing is known.
  static constexpr uint32_t kAllEvents = std::numeric_limits<uint32_t>::max();

  PromptPartId part;
  /// The most events that one of these runs had received.
  uint32_t events = kAllEvents;
  /// Whether one of them was the trial of a blocked part.
  bool is_trial = false;
};

/// \class BackendCrash
/// \brief The shared prompt parts of the runs that broke off together at one
/// incarnation of a backend server.
struct BackendCrash {
  BackendId backend;
  uint64_t started_at_ms = 0;
  /// How long ago the runs broke off.
  Duration age{0};
  std::vector<SuspectPart> parts;
};

/// \class ClearedPart
/// \brief A prompt part with which a run went on for some events after a crash.
struct ClearedPart {
  PromptPartId part;
  /// How long ago the run had received the events.
  Duration age{0};
  /// SuspectPart::kAllEvents for a run that was completed.
  uint32_t events = SuspectPart::kAllEvents;
};

/// \class CrashEvidence
/// \brief What a process knows of crashes, from its own runs and from others.
struct CrashEvidence {
  std::vector<BackendCrash> crashes;
  std::vector<ClearedPart> cleared;
  /// Blocked parts for which the process holds requests back.
  std::vector<PromptPartId> held_back;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_CRASH_EVIDENCE_H_
