#include "Peers/peer_datagram.h"

#include "Base/json.h"
#include "Peers/stream_origin_message.h"

namespace cowslip {

Result<PeerDatagram> DecodePeerDatagram(std::string_view bytes) {
  const Result<nlohmann::json> fields = ParseCbor(bytes, kPeerMessageLimits);
  if (!fields.has_value()) {
    return fields.error();
  }
  if (IsStreamOrigin(fields.value())) {
    Result<StreamOrigin> origin = ReadStreamOrigin(fields.value());
    if (!origin.has_value()) {
      return origin.error();
    }
    return PeerDatagram(std::move(origin.value()));
  }
  Result<PeerMessage> message = ReadPeerMessage(fields.value());
  if (!message.has_value()) {
    return message.error();
  }
  return PeerDatagram(std::move(message.value()));
}

}  // namespace cowslip
