#include "Gateway/peer_documents.h"

namespace cowslip {

nlohmann::json EncodePeer(const PeerRecord& record) {
  nlohmann::json content = {{"address", record.address},
                            {"incarnation", record.incarnation}};
  if (!record.region.empty()) {
    content["region"] = record.region;
  }
  return content;
}

std::optional<PeerRecord> DecodePeer(const Document& document) {
  try {
    return PeerRecord{
        .vm = VmId(document.name.value()),
        .address = document.content.at("address").get<Endpoint>(),
        .incarnation = document.content.at("incarnation").get<Incarnation>(),
        // Processes of earlier releases register none.
        .region = RegionId(document.content.value("region", std::string()))};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cowslip
