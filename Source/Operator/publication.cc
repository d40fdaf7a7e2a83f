#include "Operator/publication.h"

#include <random>
#include <utility>

#include "Audit/audit_trail.h"
#include "Base/sha256.h"
#include "Configuration/configuration_reader.h"
#include "Operator/wall_time_text.h"

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

PublishFailed FailedRead(const Error& error) {
  return {.kind = error.kind(),
          .problems = {{.subject = "platform", .message = error.message}}};
}

using ReplacedMap = std::map<std::string, nlohmann::json>;

bool IsPartOf(const AuditChange& change, const std::string& subject) {
  return change.subject == subject || change.subject.starts_with(subject + " ");
}

// What others have changed in the parts that this change replaces.
std::vector<DeclarationProblem> LaterChanges(
    const std::vector<AuditRecord>& trail,
    ConfigVersion since,
    const ReplacedMap& replaced) {
  std::vector<DeclarationProblem> problems;
  for (const AuditRecord& record : trail) {
    if (record.version <= since) {
      break;
    }
    const WallTime when{std::chrono::milliseconds(record.when_ms)};
    for (const AuditChange& change : record.changes) {
      for (const auto& [subject, now] : replaced) {
        if (IsPartOf(change, subject)) {
          problems.push_back(
              {.subject = change.subject,
               .message = "changed by " + record.who + " in version " +
                          std::to_string(record.version.value()) + " at " +
                          WallTimeText(when) +
                          "; join the two changes and publish again"});
        }
      }
    }
  }
  return problems;
}

// Reads what the change replaces, and fails when it was changed after `since`.
boost::asio::awaitable<std::variant<ReplacedMap, PublishFailed>> ReadBase(
    ObjectStore& store,
    const ConfigurationChange& change,
    ConfigVersion since) {
  const auto in_force = co_await ReadConfiguration(store);
  if (!in_force.has_value()) {
    co_return FailedRead(in_force.error());
  }
  const ConfigurationInForce& found = in_force.value();
  if (found.head.version < since) {
    co_return PublishFailed{
        .kind = ErrorKind::kNotFound,
        .problems = {{.subject = "--since",
                      .message = "version " +
                                 std::to_string(found.head.version.value()) +
                                 " is the newest; name it or an older one"}}};
  }
  const size_t newer = (found.head.version - since).value();
  const auto trail = co_await ReadAuditTrail(store, found.head.audit, newer);
  if (!trail.has_value()) {
    co_return FailedRead(trail.error());
  }
  ReplacedMap replaced = ReplacedParts(change, *found.snapshot);
  std::vector<DeclarationProblem> problems =
      LaterChanges(trail.value(), since, replaced);
  if (!problems.empty()) {
    co_return PublishFailed{.kind = ErrorKind::kConflict,
                            .problems = std::move(problems)};
  }
  co_return replaced;
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
  if (context.options.since) {
    auto base = co_await ReadBase(*context.store, options.change,
                                  *context.options.since);
    if (auto* failed = std::get_if<PublishFailed>(&base)) {
      co_return std::move(*failed);
    }
    options.base = std::move(std::get<ReplacedMap>(base));
  }
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
