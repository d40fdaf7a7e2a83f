#ifndef SOURCE_GATEWAY_ABORTED_RUN_DOCUMENTS_H_
#define SOURCE_GATEWAY_ABORTED_RUN_DOCUMENTS_H_

#include <vector>

#include "Base/result.h"
#include "Base/time.h"
#include "Peers/peer_message.h"
#include "Platform/document_store.h"

namespace cowslip {

/// The kind of the documents that record what blocks requests, each under the
/// name of the VM that has written it.
inline constexpr char kAbortedRunsKind[] = "cowslip-aborted-runs";

/// `now` turns the ages of the runs into times of day, which hold for all VMs.
nlohmann::json EncodeAbortedRunRecord(const std::vector<AbortedRuns>& runs,
                                      WallTime now);
/// Runs of a time of day that is still to come have the age 0. Errors:
/// kMalformedMessage.
Result<std::vector<AbortedRuns>> DecodeAbortedRunRecord(
    const Document& document,
    WallTime now);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_ABORTED_RUN_DOCUMENTS_H_
