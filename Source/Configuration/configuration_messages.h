#ifndef SOURCE_CONFIGURATION_CONFIGURATION_MESSAGES_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_MESSAGES_H_

#include <string>
#include <variant>

#include <nlohmann/json.hpp>

#include "Base/ids.h"

namespace cowslip {

/// The peer link channel between entries.
inline constexpr char kConfigurationChannel[] = "config";

/// \class ConfigurationAnnounce
/// \brief Says which version the sender holds.
struct ConfigurationAnnounce {
  static constexpr char kType[] = "announce";
  ConfigVersion held;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationAnnounce, held)

/// \class HeadRequest
/// \brief Asks for a head newer than the one held; always answered.
struct HeadRequest {
  static constexpr char kType[] = "head_request";
  ConfigVersion held;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeadRequest, held)

/// \class HeadReply
/// \brief The sender's head; no text when it is not newer.
struct HeadReply {
  static constexpr char kType[] = "head";
  ConfigVersion held;
  std::string text;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HeadReply, held, text)

/// \class ContentRequest
/// \brief Asks for one content object.
struct ContentRequest {
  static constexpr char kType[] = "content_request";
  Digest digest;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ContentRequest, digest)

/// \class ContentReply
/// \brief One content object, or word that the sender does not hold it.
struct ContentReply {
  static constexpr char kType[] = "content";
  Digest digest;
  bool found = false;
  std::string bytes;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ContentReply, digest, found, bytes)

using ConfigurationMessage = std::variant<ConfigurationAnnounce,
                                          HeadRequest,
                                          HeadReply,
                                          ContentRequest,
                                          ContentReply>;

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_MESSAGES_H_
