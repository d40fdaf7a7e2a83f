#include <sstream>
#include <utility>

#include "Configuration/configuration_reader.h"
#include "Configuration/declaration_json.h"
#include "Configuration/declaration_loader.h"
#include "Operator/commands.h"
#include "Operator/publication.h"

namespace cowslip {

namespace {

// Collects the files that the command line names.
struct Collected {
  DeclarationLoader loader;
  PublishDeclarations change;
};

Collected Collect(const OperatorOptions& options) {
  Collected collected;
  for (const std::string& path : options.arguments) {
    collected.loader.AddPath(path);
  }
  collected.change.declarations = collected.loader.Finish();
  for (const std::string& service : options.removed_services) {
    collected.change.removed_services.emplace_back(service);
  }
  for (const std::string& set : options.removed_sets) {
    collected.change.removed_sets.emplace_back(set);
  }
  return collected;
}

CommandResult Invalid(const std::vector<std::string>& errors) {
  CommandResult result;
  result.exit_code = kOperatorInvalid;
  result.errors = errors;
  result.data = {{"valid", false}, {"errors", errors}};
  return result;
}

CommandResult Valid(const Declarations& declarations) {
  CommandResult result;
  std::ostringstream text;
  text << "Valid: " << declarations.services.size() << " services, "
       << declarations.organisations.size() << " organisations.\n";
  result.text = text.str();
  result.data = {{"valid", true},
                 {"services", declarations.services.size()},
                 {"organisations", declarations.organisations.size()}};
  return result;
}

CommandResult ValidateAlone(Collected& collected) {
  collected.loader.CheckAll(collected.change.declarations);
  if (!collected.loader.errors().empty()) {
    return Invalid(collected.loader.errors());
  }
  return Valid(collected.change.declarations);
}

// Checks the declarations together with what is in force.
CommandResult ValidateAgainst(Collected& collected,
                              const ConfigurationInForce& in_force) {
  const ComposeResult composed =
      ComposeChange(collected.change, in_force.head, *in_force.snapshot);
  if (const auto* refusal = std::get_if<ChangeRefusal>(&composed)) {
    collected.loader.AddProblems(refusal->problems);
  }
  if (!collected.loader.errors().empty()) {
    return Invalid(collected.loader.errors());
  }
  return Valid(collected.change.declarations);
}

}  // namespace

CommandTask RunValidate(CommandContext context) {
  if (context.options.arguments.empty()) {
    co_return UsageError("Name the files or folders to check.");
  }
  Collected collected = Collect(context.options);
  if (context.store == nullptr) {
    co_return ValidateAlone(collected);
  }
  const auto in_force = co_await ReadConfiguration(*context.store);
  if (!in_force.has_value()) {
    co_return FailureOf(in_force.error());
  }
  co_return ValidateAgainst(collected, in_force.value());
}

CommandTask RunPublishCommand(CommandContext context) {
  const OperatorOptions& options = context.options;
  if (options.arguments.empty() && options.removed_services.empty() &&
      options.removed_sets.empty()) {
    co_return UsageError("Name the files or folders to publish.");
  }
  if (options.who.empty()) {
    co_return UsageError("Say for the audit trail who you are: --who NAME.");
  }
  Collected collected = Collect(options);
  if (!collected.loader.errors().empty()) {
    co_return Invalid(collected.loader.errors());
  }
  ConfigurationChange change = collected.change;
  const PublishOutcome outcome =
      co_await PublishChange(context, std::move(change));
  if (const auto* published = std::get_if<Published>(&outcome)) {
    co_return ResultOf(*published);
  }
  const auto& failed = std::get<PublishFailed>(outcome);
  if (failed.kind == ErrorKind::kInvalidArgument) {
    // The problems are named with the files that they came from.
    collected.loader.AddProblems(failed.problems);
    co_return Invalid(collected.loader.errors());
  }
  co_return ResultOf(failed);
}

CommandTask RunOrganisations(CommandContext context) {
  const auto in_force = co_await ReadConfiguration(*context.store);
  if (!in_force.has_value()) {
    co_return FailureOf(in_force.error());
  }
  CommandResult result;
  std::ostringstream text;
  nlohmann::json list = nlohmann::json::array();
  for (const auto* each : in_force.value().snapshot->Organisations()) {
    list.push_back(ToJson(*each));
    text << each->id << "  rate " << each->rate << "/s  burst " << each->burst
         << "  weight " << each->weight << "  set " << each->set << "\n";
  }
  result.text = text.str();
  result.data = {{"version", in_force.value().head.version},
                 {"organisations", std::move(list)}};
  co_return result;
}

}  // namespace cowslip
