#include "Configuration/configuration_head.h"

#include "Base/json.h"
#include "Base/message_codec.h"

namespace cowslip {

Result<ConfigurationHead> DecodeHead(std::string_view text) {
  const Result<nlohmann::json> parsed = ParseJson(text);
  if (!parsed.has_value()) {
    return Error(ErrorKind::kMalformedMessage, parsed.error().message);
  }
  return DecodeStruct<ConfigurationHead>(parsed.value());
}

std::string EncodeHead(const ConfigurationHead& head) {
  return DumpJson(head);
}

}  // namespace cowslip
