#include "Peers/stream_origin_message.h"

#include "Base/json.h"

namespace cowslip {

namespace {

using nlohmann::json;

// Tells these messages from a PeerMessage, whose first field is a number.
constexpr char kType[] = "stream-origin";
constexpr JsonLimits kLimits{.max_bytes = 4096, .max_depth = 2};

}  // namespace

std::string EncodeStreamOrigin(const StreamOrigin& origin) {
  return ToCbor(json::array({kType, origin.attempt.value(),
                             origin.service.value(), origin.version.value()}));
}

bool IsStreamOrigin(const json& fields) {
  return fields.is_array() && !fields.empty() && fields.front() == kType;
}

Result<StreamOrigin> ReadStreamOrigin(const json& fields) {
  try {
    if (IsStreamOrigin(fields)) {
      return StreamOrigin{.attempt = fields.at(1).get<AttemptId>(),
                          .service = fields.at(2).get<ServiceId>(),
                          .version = fields.at(3).get<SoftwareVersion>()};
    }
  } catch (const json::exception&) {
    // Falls through to the error below.
  }
  return Error(ErrorKind::kMalformedMessage,
               "The message is no origin of a stream. Upgrade the older "
               "process.");
}

Result<StreamOrigin> DecodeStreamOrigin(std::string_view bytes) {
  const Result<json> fields = ParseCbor(bytes, kLimits);
  if (!fields.has_value()) {
    return fields.error();
  }
  return ReadStreamOrigin(fields.value());
}

}  // namespace cowslip
