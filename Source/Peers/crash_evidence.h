#ifndef SOURCE_PEERS_CRASH_EVIDENCE_H_
#define SOURCE_PEERS_CRASH_EVIDENCE_H_

#include <cstdint>
#include <vector>

#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Fleet/caller_request.h"

namespace cowslip {

/// \class BackendCrash
/// \brief The shared prompt parts of the runs that broke off together at one
/// incarnation of a backend server.
struct BackendCrash {
  BackendId backend;
  uint64_t started_at_ms = 0;
  /// How long ago the runs broke off.
  Duration age{0};
  std::vector<PromptPartId> parts;
};

/// \class CompletedPart
/// \brief A prompt part with which a run was completed after a crash.
struct CompletedPart {
  PromptPartId part;
  /// How long ago the run was completed.
  Duration age{0};
};

/// \class CrashEvidence
/// \brief What a process knows of crashes, from its own runs and from others.
struct CrashEvidence {
  std::vector<BackendCrash> crashes;
  std::vector<CompletedPart> completed;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_CRASH_EVIDENCE_H_
