#ifndef SOURCE_CONFIGURATION_CONFIGURATION_DRIVER_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_DRIVER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Base/ids.h"
#include "Base/time.h"
#include "Configuration/configuration_core.h"

namespace cowslip {

class ObjectStore;
class Snapshot;

/// \class ConfigurationDriverOptions
/// \brief Who this entry is and how often it acts.
struct ConfigurationDriverOptions {
  ConfigurationCoreOptions core;
  /// Where the configuration in force is kept over a restart; empty for none.
  std::string data_folder;
  Duration tick = std::chrono::milliseconds(250);
  /// How long one watch waits at the platform.
  Duration watch_timeout = std::chrono::seconds(20);
};

/// \class ConfigurationDriver
/// \brief Runs ConfigurationCore on an entry: turns answers of the store and
/// frames of peers into events, and its actions into calls. All on the
/// io_context's thread.
class ConfigurationDriver {
 public:
  /// Sends CBOR bytes to an entry on kConfigurationChannel.
  using PeerSender =
      std::function<void(const VmId& vm, const std::string& cbor)>;
  using ApplyHandler =
      std::function<void(std::shared_ptr<const Snapshot> snapshot)>;

  /// `store` must live until `Stop`, and the coroutines it runs until they
  /// end.
  ConfigurationDriver(boost::asio::io_context& context,
                      ObjectStore& store,
                      ConfigurationDriverOptions options,
                      PeerSender send_peer,
                      ApplyHandler on_apply);
  ~ConfigurationDriver();
  ConfigurationDriver(const ConfigurationDriver&) = delete;
  ConfigurationDriver& operator=(const ConfigurationDriver&) = delete;

  void Start();
  /// After it no callback is called any more.
  void Stop();

  void OnPeerUp(const VmId& vm);
  void OnPeerDown(const VmId& vm);
  void OnPeerFrame(const VmId& vm, const std::string& cbor);
  /// The live entries of this region, this VM included.
  void OnMembers(std::vector<VmId> entries);

  /// Whether keyed routes may be served now; ask for each request.
  bool KeysTrusted() const;
  ConfigVersion held() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_DRIVER_H_
