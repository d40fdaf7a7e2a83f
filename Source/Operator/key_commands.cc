#include <sstream>
#include <utility>

#include "Access/key_text.h"
#include "Configuration/configuration_reader.h"
#include "Configuration/declaration_json.h"
#include "Operator/commands.h"
#include "Operator/publication.h"
#include "Operator/wall_time_text.h"

namespace cowslip {

namespace {

constexpr size_t kShownDigits = 12;

std::string ShortDigest(const Digest& digest) {
  return digest.value().substr(0, kShownDigits);
}

CommandTask RunKeysAdd(CommandContext context) {
  const Result<std::string> key = GenerateKey();
  if (!key.has_value()) {
    co_return FailureOf(key.error());
  }
  const KeyRecord record{
      .digest = DigestOfKey(key.value()),
      .organisation = OrganisationId(context.options.arguments.at(1)),
      .label = context.options.label,
      .created = WallNow()};
  ConfigurationChange change = AddKey{.key = record};
  const PublishOutcome outcome =
      co_await PublishChange(context, std::move(change));
  if (const auto* failed = std::get_if<PublishFailed>(&outcome)) {
    // The key is not shown: one that may be in force can be withdrawn by its
    // digest, and nobody else knows it.
    CommandResult result = ResultOf(*failed);
    if (failed->kind == ErrorKind::kInDoubt) {
      result.errors.push_back("If it is in force, run: cowslip keys withdraw " +
                              ShortDigest(record.digest));
    }
    co_return result;
  }
  CommandResult result = ResultOf(std::get<Published>(outcome));
  result.text = "Key: " + key.value() +
                "\nIt is shown only now; hand it over safely.\nDigest: " +
                ShortDigest(record.digest) + "\n";
  result.data["key"] = key.value();
  result.data["digest"] = record.digest;
  co_return result;
}

CommandTask RunKeysWithdraw(CommandContext context) {
  std::string name = context.options.arguments.at(1);
  if (ContainsKey(name)) {
    name = DigestOfKey(name).value();
  }
  ConfigurationChange change =
      WithdrawKey{.digest_prefix = name, .when = WallNow()};
  const PublishOutcome outcome =
      co_await PublishChange(context, std::move(change));
  if (const auto* failed = std::get_if<PublishFailed>(&outcome)) {
    co_return ResultOf(*failed);
  }
  co_return ResultOf(std::get<Published>(outcome));
}

CommandTask RunKeysList(CommandContext context) {
  const auto in_force = co_await ReadConfiguration(*context.store);
  if (!in_force.has_value()) {
    co_return FailureOf(in_force.error());
  }
  CommandResult result;
  std::ostringstream text;
  nlohmann::json list = nlohmann::json::array();
  const std::string& wanted = context.options.organisation;
  for (const KeyRecord* key : in_force.value().snapshot->Keys()) {
    if (!wanted.empty() && key->organisation.value() != wanted) {
      continue;
    }
    list.push_back(ToJson(*key));
    text << ShortDigest(key->digest) << "  " << key->organisation << "  "
         << (key->label.empty() ? "-" : key->label) << "  since "
         << WallTimeText(key->created);
    if (key->withdrawn) {
      text << "  withdrawn " << WallTimeText(*key->withdrawn);
    }
    text << "\n";
  }
  result.text = text.str();
  result.data = {{"version", in_force.value().head.version},
                 {"keys", std::move(list)}};
  co_return result;
}

}  // namespace

CommandTask RunKeys(CommandContext context) {
  const auto& arguments = context.options.arguments;
  const std::string action = arguments.empty() ? "" : arguments.front();
  if (action == "list" && arguments.size() == 1) {
    co_return co_await RunKeysList(std::move(context));
  }
  const bool changes =
      (action == "add" || action == "withdraw") && arguments.size() == 2;
  if (!changes) {
    co_return UsageError(
        "Use keys add ORGANISATION, keys withdraw DIGEST or keys list.");
  }
  if (context.options.who.empty()) {
    co_return UsageError("Say for the audit trail who you are: --who NAME.");
  }
  if (action == "add") {
    co_return co_await RunKeysAdd(std::move(context));
  }
  co_return co_await RunKeysWithdraw(std::move(context));
}

}  // namespace cowslip
