#ifndef SOURCE_PEERS_PEER_MESSAGE_H_
#define SOURCE_PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Base/fingerprint.h"
#include "Base/ids.h"
#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Peers/divergence_detector.h"
#include "Quota/quota_core.h"

namespace cowslip {

/// \class BackendUse
/// \brief Requests that one process has in flight at one backend server.
struct BackendUse {
  BackendId backend;
  uint32_t online = 0;
  uint32_t batch = 0;
};

/// \class BrokenRuns
/// \brief Runs of one request that one process saw break off.
struct BrokenRuns {
  Fingerprint fingerprint;
  uint32_t count = 0;
};

/// \class PeerMessage
/// \brief What the processes tell each other in every datagram. It holds whole
/// values, no differences, so that lost and repeated datagrams do no harm.
struct PeerMessage {
  VmId vm;
  Incarnation incarnation;
  /// Grows with every datagram of an incarnation; a lower one came late.
  uint64_t sequence = 0;
  /// How long the sender's incarnation has run.
  Duration uptime{0};
  /// The configuration in force at the sender.
  ConfigVersion configuration;
  /// The sender takes no new work.
  bool draining = false;
  /// The sender's own calls to the store are answered.
  bool reaches_store = false;
  /// What the sender knows of the store.
  StoreDigests digests;
  std::vector<OrganisationUsage> usage;
  std::vector<BackendUse> in_flight;
  std::vector<BrokenRuns> broken_runs;
};

/// Encodes to CBOR.
std::string EncodePeerMessage(const PeerMessage& message);

/// Errors: kMalformedMessage, kTooLarge.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_MESSAGE_H_
