#ifndef SOURCE_CONFIGURATION_PUBLISH_RUNNER_H_
#define SOURCE_CONFIGURATION_PUBLISH_RUNNER_H_

#include <variant>

#include <boost/asio/awaitable.hpp>

#include "Configuration/publish_core.h"

namespace cowslip {

class ObjectStore;

using PublishOutcome = std::variant<Published, PublishFailed>;

/// Runs one publication against the platform to its end. `store` must live
/// until then.
boost::asio::awaitable<PublishOutcome> RunPublish(ObjectStore& store,
                                                  PublishCoreOptions options);

}  // namespace cowslip

#endif  // SOURCE_CONFIGURATION_PUBLISH_RUNNER_H_
