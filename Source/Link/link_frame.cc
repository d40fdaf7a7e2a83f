#include "Link/link_frame.h"

#include <nlohmann/json.hpp>

#include "Base/json.h"

namespace cowslip {
namespace {

/// Increment it with every change of the frames that older processes cannot
/// decode.
constexpr int kProtocolVersion = 1;
constexpr size_t kMaxHelloBytes = 4096;
constexpr size_t kMaxHelloDepth = 4;

}  // namespace

std::string EncodeFrame(const std::string& channel, const std::string& cbor) {
  std::string bytes;
  bytes.reserve(1 + channel.size() + cbor.size());
  bytes.push_back(static_cast<char>(channel.size()));
  bytes += channel;
  bytes += cbor;
  return bytes;
}

Result<LinkFrame> DecodeFrame(const std::string& bytes) {
  if (bytes.empty()) {
    return Error(ErrorKind::kMalformedMessage,
                 "The frame is empty. Upgrade the sender.");
  }
  const size_t length = static_cast<uint8_t>(bytes.front());
  if (length == 0 || bytes.size() < 1 + length) {
    return Error(ErrorKind::kMalformedMessage,
                 "The frame has no complete channel name. Upgrade the sender.");
  }
  return LinkFrame{bytes.substr(1, length), bytes.substr(1 + length)};
}

std::string EncodeHello(const LinkHello& hello) {
  return ToCbor({{"protocol", kProtocolVersion},
                 {"vm", hello.vm},
                 {"incarnation", hello.incarnation}});
}

Result<LinkHello> DecodeHello(const std::string& cbor) {
  const JsonLimits limits{kMaxHelloBytes, kMaxHelloDepth};
  const Result<nlohmann::json> json = ParseCbor(cbor, limits);
  if (!json.has_value()) {
    return json.error();
  }
  LinkHello hello;
  try {
    if (json.value().at("protocol").get<int>() != kProtocolVersion) {
      return Error(
          ErrorKind::kMalformedMessage,
          "The peer uses another link protocol version. Upgrade the older VM.");
    }
    json.value().at("vm").get_to(hello.vm);
    json.value().at("incarnation").get_to(hello.incarnation);
  } catch (const nlohmann::json::exception& error) {
    return Error(
        ErrorKind::kMalformedMessage,
        std::string("The hello frame is invalid. Upgrade the sender: ") +
            error.what() + ".");
  }
  if (hello.vm.empty()) {
    return Error(
        ErrorKind::kMalformedMessage,
        "The hello frame has an empty VM id. Set `vm` in the peer's settings.");
  }
  return hello;
}

}  // namespace cowslip
