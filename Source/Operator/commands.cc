#include "Operator/commands.h"

#include <string_view>
#include <utility>

namespace cowslip {

namespace {

struct Command {
  std::string_view name;
  CommandTask (*run)(CommandContext context);
  bool needs_platform;
};

constexpr Command kCommands[] = {
    {"validate", RunValidate, false}, {"publish", RunPublishCommand, true},
    {"status", RunStatus, false},     {"organisations", RunOrganisations, true},
    {"keys", RunKeys, true},          {"jobs", RunJobs, false},
    {"audit", RunAudit, true},
};

}  // namespace

CommandTask RunCommand(CommandContext context) {
  for (const Command& command : kCommands) {
    if (command.name != context.options.command) {
      continue;
    }
    if (command.needs_platform && context.store == nullptr) {
      co_return UsageError("Name the platform with --platform HOST:PORT.");
    }
    co_return co_await command.run(std::move(context));
  }
  co_return UsageError("There is no command " + context.options.command + ".");
}

}  // namespace cowslip
