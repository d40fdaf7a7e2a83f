#include "Gateway/peer_documents.h"

namespace cowslip {

nlohmann::json EncodePeer(const PeerRecord& record) {
  return {{"address", record.address}, {"incarnation", record.incarnation}};
}

std::optional<PeerRecord> DecodePeer(const Document& document) {
  try {
    return PeerRecord{
        .vm = VmId(document.name.value()),
        .address = document.content.at("address").get<Endpoint>(),
        .incarnation = document.content.at("incarnation").get<Incarnation>()};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslip
