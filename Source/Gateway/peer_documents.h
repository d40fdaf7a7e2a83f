#ifndef SOURCE_GATEWAY_PEER_DOCUMENTS_H_
#define SOURCE_GATEWAY_PEER_DOCUMENTS_H_

#include <optional>

#include "Peers/peer_table.h"
#include "Platform/document_store.h"

namespace cowslip {

/// The kind of the documents in which the gateway processes register, each
/// under the name of its VM.
inline constexpr char kPeerKind[] = "cowslip-gateways";

nlohmann::json EncodePeer(const PeerRecord& record);
/// Returns nullopt if the document has no valid address or incarnation.
std::optional<PeerRecord> DecodePeer(const Document& document);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PEER_DOCUMENTS_H_
