#ifndef SOURCE_GATEWAY_PEER_DOCUMENTS_H_
#define SOURCE_GATEWAY_PEER_DOCUMENTS_H_

#include <optional>

#include "Peers/peer_table.h"
#include "Platform/document_store.h"

namespace cowslip {

/// The kind under which the system's processes register, each under its VM.
inline constexpr char kPeerKind[] = "cowslip-gateways";

nlohmann::json EncodePeer(const PeerRecord& record);
/// nullopt for what is not of that form.
std::optional<PeerRecord> DecodePeer(const Document& document);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_PEER_DOCUMENTS_H_
