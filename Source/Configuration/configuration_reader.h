#ifndef SOURCE_CONFIGURATION_CONFIGURATION_READER_H_
#define SOURCE_CONFIGURATION_CONFIGURATION_READER_H_

#include <memory>

#include <boost/asio/awaitable.hpp>

#include "Base/result.h"
#include "Configuration/configuration_head.h"
#include "Configuration/snapshot.h"

namespace cowslip {

class ObjectStore;

/// \class ConfigurationInForce
/// \brief The head with the whole configuration that it names.
struct ConfigurationInForce {
  ConfigurationHead head;
  std::shared_ptr<const Snapshot> snapshot;
};

/// Reads the head; version 0 when nothing was published yet. Errors: those of
/// the store, kMalformedMessage.
boost::asio::awaitable<Result<ConfigurationHead>> ReadHead(ObjectStore& store);

/// Reads everything in force. Errors: as above.
boost::asio::awaitable<Result<ConfigurationInForce>> ReadConfiguration(
    ObjectStore& store);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_CONFIGURATION_READER_H_
