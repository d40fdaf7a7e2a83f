#ifndef SOURCE_PEERS_PEER_DATAGRAM_H_
#define SOURCE_PEERS_PEER_DATAGRAM_H_

#include <string_view>
#include <variant>

#include "Base/result.h"
#include "Peers/peer_message.h"
#include "Peers/stream_origin.h"

namespace cowslip {

/// What one gateway sends to another in a datagram.
using PeerDatagram = std::variant<PeerMessage, StreamOrigin>;

/// Errors: kMalformedMessage, kTooLarge.
Result<PeerDatagram> DecodePeerDatagram(std::string_view bytes);

}  // namespace cowslip

#endif  // SOURCE_PEERS_PEER_DATAGRAM_H_
