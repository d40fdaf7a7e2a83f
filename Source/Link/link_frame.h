#ifndef SOURCE_LINK_LINK_FRAME_H_
#define SOURCE_LINK_LINK_FRAME_H_

#include <cstdint>
#include <string>

#include "Base/result.h"

namespace cowslip {

/// The channel of the first frame on each link.
inline constexpr char kHelloChannel[] = "hello";
/// The channel of empty frames that show that the sender is alive.
inline constexpr char kHeartbeatChannel[] = "heartbeat";

/// \class LinkFrame
/// \brief One binary websocket message: a byte with the length of the channel
/// name, the name, and a CBOR payload, which the link does not parse.
struct LinkFrame {
  std::string channel;
  std::string cbor;
};

/// \class LinkHello
/// \brief The identity of the sender. Both sides send it as the first frame.
struct LinkHello {
  std::string vm;
  uint64_t incarnation = 0;
};

/// Encodes a frame. The channel name has at most 255 bytes.
std::string EncodeFrame(const std::string& channel, const std::string& cbor);

/// Errors: kMalformedMessage.
Result<LinkFrame> DecodeFrame(const std::string& bytes);

/// Encodes the payload of the hello frame.
std::string EncodeHello(const LinkHello& hello);

/// Errors: kMalformedMessage, kTooLarge.
Result<LinkHello> DecodeHello(const std::string& cbor);

}  // namespace cowslip

#endif  // SOURCE_LINK_LINK_FRAME_H_
