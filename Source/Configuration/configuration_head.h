#ifndef SOURCE_CONFIGURATION_CONFIGURATION_HEAD_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_HEAD_H_

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Base/result.h"

namespace cowslip {

/// The object that names the configuration in force. Moved only by conditional
/// update.
inline constexpr char kHeadKey[] = "config/head";
/// Followed by a digest: an immutable content object.
inline constexpr char kContentPrefix[] = "config/content/";

/// Drawn by a publisher for one publication; tells its own write from others.
using WriterToken = StrongId<struct WriterTokenTag>;

/// \class ConfigurationHead
/// \brief Names by digest everything that is in force.
struct ConfigurationHead {
  ConfigVersion version;
  WriterToken token;
  /// The newest record of the trail, which names the one before it.
  Digest audit;
  /// By service id.
  std::map<std::string, Digest> services;
  /// By shard name.
  std::map<std::string, Digest> organisations;
  std::map<std::string, Digest> keys;

  friend bool operator==(const ConfigurationHead&,
                         const ConfigurationHead&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationHead,
                                   version,
                                   token,
                                   audit,
                                   services,
                                   organisations,
                                   keys)

/// Errors: kMalformedMessage.
Result<ConfigurationHead> DecodeHead(std::string_view text);
std::string EncodeHead(const ConfigurationHead& head);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_HEAD_H_
