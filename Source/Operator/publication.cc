#include "Operator/publication.h"

#include <random>
#include <utility>

#include "Configuration/sha256.h"

namespace cowslip {

namespace {

constexpr size_t kTokenDigits = 24;

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

WriterToken MakeToken() {
  std::string seed;
  for (int i = 0; i < 4; ++i) {
    seed += std::to_string(RandomNumber()) + "/";
  }
  return WriterToken(Sha256(seed).value().substr(0, kTokenDigits));
}

}  // namespace

boost::asio::awaitable<PublishOutcome> PublishChange(
    const CommandContext& context,
    ConfigurationChange change) {
  PublishCoreOptions options{.change = std::move(change),
                             .who = context.options.who,
                             .when = WallNow(),
                             .token = MakeToken(),
                             .seed = RandomNumber()};
  co_return co_await RunPublish(*context.store, std::move(options));
}

CommandResult ResultOf(const PublishFailed& failed) {
  CommandResult result;
  result.exit_code = ExitCodeOf(failed.kind);
  const std::string kind = make_error_code(failed.kind).message();
  for (const DeclarationProblem& problem : failed.problems) {
    result.errors.push_back(kind + ": " + problem.subject + problem.field +
                            ": " + problem.message);
  }
  result.data = {{"error", kind}, {"problems", result.errors}};
  return result;
}

CommandResult ResultOf(const Published& published) {
  CommandResult result;
  const std::string version = std::to_string(published.version.value());
  result.text = published.changed
                    ? "Version " + version + " is in force.\n"
                    : "Nothing to change: the same is in force.\n";
  for (const AuditChange& change : published.changes) {
    result.text += "  " + change.subject + ": " +
                   (change.from.empty() ? "(none)" : change.from) + " -> " +
                   (change.to.empty() ? "(none)" : change.to) + "\n";
  }
  result.data = {{"version", published.version},
                 {"changed", published.changed},
                 {"changes", published.changes}};
  return result;
}

}  // namespace cowslip
