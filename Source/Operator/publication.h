#ifndef SOURCE_OPERATOR_PUBLICATION_H_
#define SOURCE_OPERATOR_PUBLICATION_H_

#include <boost/asio/awaitable.hpp>

#include "Configuration/publish_runner.h"
#include "Operator/commands.h"

namespace cowslip {

/// Publishes one change in the name of `--who`, with a fresh token. With
/// `--since`, fails with kConflict when what it replaces was changed later.
boost::asio::awaitable<PublishOutcome> PublishChange(
    const CommandContext& context,
    ConfigurationChange change);

/// Describes a publication that failed. Problems are lines of `SUBJECT: what
/// to change`.
CommandResult ResultOf(const PublishFailed& failed);

/// Describes a publication that succeeded: version and changes.
CommandResult ResultOf(const Published& published);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_PUBLICATION_H_
