#ifndef SOURCE_PEERS_STREAM_ORIGIN_MESSAGE_H_
#define SOURCE_PEERS_STREAM_ORIGIN_MESSAGE_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/result.h"
#include "Peers/stream_origin.h"

namespace cowslip {

/// Encodes to CBOR, for a datagram or the response to a question.
std::string EncodeStreamOrigin(const StreamOrigin& origin);

/// Errors: kMalformedMessage, kTooLarge.
Result<StreamOrigin> DecodeStreamOrigin(std::string_view bytes);

/// Whether the parsed message is of the type that EncodeStreamOrigin() writes.
bool IsStreamOrigin(const nlohmann::json& fields);
/// Reads a parsed message. Errors: kMalformedMessage.
Result<StreamOrigin> ReadStreamOrigin(const nlohmann::json& fields);

}  // namespace cowslip

#endif  // SOURCE_PEERS_STREAM_ORIGIN_MESSAGE_H_
