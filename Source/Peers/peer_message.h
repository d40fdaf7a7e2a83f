#ifndef SOURCE_PEERS_PEER_MESSAGE_H_
#define SOURCE_PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Base/fingerprint.h"
#include "Base/ids.h"
#include "Base/json.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/backend_coldness.h"
#include "Fleet/backend_record.h"
#include "Fleet/request_rate.h"
#include "Peers/crash_evidence.h"
#include "Peers/divergence_detector.h"
#include "Peers/evacuated_zone.h"
#include "Peers/job_progress.h"
#include "Peers/poll_report.h"
#include "Quota/quota_core.h"

namespace cowslip {

/// \class BackendUse
/// \brief Requests that one process has in flight at one backend server.
struct BackendUse {
  BackendId backend;
  uint32_t online = 0;
  uint32_t batch = 0;
};

/// \class BackendLimit
/// \brief What an incarnation of a backend server last said about its limit.
struct BackendLimit {
  BackendId backend;
  uint64_t started_at_ms = 0;
  /// The requests that it takes from all processes together; nullopt when it no
  /// longer names a limit.
  std::optional<RequestRate> limit;
  /// How long ago it said so.
  Duration age{0};
};

/// \class AbortedRuns
/// \brief Number of aborted runs of one request that one process has seen.
struct AbortedRuns {
  Fingerprint fingerprint;
  uint32_t count = 0;
  /// Time since the last of them.
  Duration age{0};
  /// The process that has seen them; empty for the sender.
  VmId vm{};
  Incarnation incarnation{};
};

/// \class CompletedRequest
/// \brief A request that the sender has run to completion after aborted runs.
struct CompletedRequest {
  Fingerprint fingerprint;
  /// How long ago.
  Duration age{0};
};

/// \class PeerMessage
/// \brief State of a process, sent in every datagram. It holds complete values
/// instead of differences, so that lost and duplicate datagrams are harmless.
struct PeerMessage {
  VmId vm;
  Incarnation incarnation;
  /// Incremented with every datagram of an incarnation; a datagram with a lower
  /// one has arrived late.
  uint64_t sequence = 0;
  /// How long the sender's incarnation has run.
  Duration uptime{0};
  /// The configuration in force at the sender.
  ConfigVersion configuration;
  /// The sender accepts no new work.
  bool draining = false;
  /// The sender's own calls to the store succeed.
  bool reaches_store = false;
  /// Digests of the store contents that the sender knows.
  StoreDigests digests;
  std::vector<OrganisationUsage> usage;
  std::vector<BackendUse> in_flight;
  std::vector<AbortedRuns> aborted_runs;
  std::vector<CompletedRequest> completed_requests;
  CrashEvidence crash_evidence;
  std::vector<BackendLimit> backend_limits;
  /// Jobs whose end the sender has acknowledged to a client lately.
  std::vector<JobKey> ended_jobs;
  /// The sender's unfinished jobs of which some items have results.
  std::vector<JobProgress> job_progress;
  /// The sender has listed the evacuations, or has heard of them from a process
  /// that has.
  bool knows_evacuations = false;
  std::vector<EvacuatedZone> evacuated_zones;
  /// The backend servers that the sender knows to be cold.
  std::vector<BackendColdness> cold_backends;
  /// The sender's own polls of the store.
  PollReport poll;
};

/// The largest payload of a UDP datagram over IPv4.
inline constexpr JsonLimits kPeerMessageLimits{.max_bytes = 65507,
                                               .max_depth = 4};

/// Encodes to CBOR.
std::string EncodePeerMessage(const PeerMessage& message);

/// Errors: kMalformedMessage, kTooLarge.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);
/// Reads a parsed message. Errors: kMalformedMessage.
Result<PeerMessage> ReadPeerMessage(const nlohmann::json& fields);

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_MESSAGE_H_
