#ifndef SOURCE_OPERATOR_COMMANDS_H_
#define SOURCE_OPERATOR_COMMANDS_H_

#include <boost/asio/awaitable.hpp>

#include "Operator/command_result.h"
#include "Operator/operator_options.h"

namespace cowslip {

class ObjectStore;

/// \class CommandContext
/// \brief What a command works with. `store` is null without `--platform`.
struct CommandContext {
  ObjectStore* store = nullptr;
  OperatorOptions options;
};

using CommandTask = boost::asio::awaitable<CommandResult>;

/// Runs the command that the options name.
CommandTask RunCommand(CommandContext context);

CommandTask RunValidate(CommandContext context);
CommandTask RunPublishCommand(CommandContext context);
CommandTask RunOrganisations(CommandContext context);
CommandTask RunKeys(CommandContext context);
CommandTask RunStatus(CommandContext context);
CommandTask RunJobs(CommandContext context);
CommandTask RunAudit(CommandContext context);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_COMMANDS_H_
