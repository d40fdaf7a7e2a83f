#include <optional>
#include <sstream>
#include <utility>

#include "Base/json.h"
#include "Configuration/configuration_reader.h"
#include "Net/percent_encoding.h"
#include "Operator/commands.h"
#include "Operator/entry_client.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;
using nlohmann::json;

std::string Line(const Endpoint& entry, const std::string& text) {
  return entry.ToString() + "  " + text + "\n";
}

// The version in force, from the platform.
awaitable<CommandResult> StatusOfPlatform(ObjectStore& store) {
  const Result<ConfigurationHead> head = co_await ReadHead(store);
  if (!head.has_value()) {
    co_return FailureOf(head.error());
  }
  CommandResult result;
  const ConfigurationHead& found = head.value();
  std::ostringstream text;
  text << "Version " << found.version
       << " is in force: " << found.services.size() << " services.\n";
  result.text = text.str();
  result.data["version"] = found.version;
  co_return result;
}

// Asks the entries in turn until one answers.
awaitable<Result<json>> AskAnyEntry(std::vector<Endpoint> entries,
                                    std::string method,
                                    std::string target) {
  Result<json> answer =
      Error(ErrorKind::kUnavailable, "No entry answered. Check --entry.");
  for (const Endpoint& entry : entries) {
    Endpoint endpoint = entry;
    answer = co_await CallEntry(std::move(endpoint), method, target);
    if (answer.has_value()) {
      break;
    }
    const ErrorKind kind = answer.error().kind();
    const bool another = kind == ErrorKind::kUnavailable ||
                         kind == ErrorKind::kTimeout ||
                         kind == ErrorKind::kInDoubt;
    if (!another) {
      break;
    }
  }
  co_return answer;
}

std::optional<std::string> JobTarget(const OperatorOptions& options,
                                     std::string& method) {
  const auto& arguments = options.arguments;
  const std::string action = arguments.empty() ? "" : arguments.front();
  method = "GET";
  if (action == "list" && arguments.size() == 1) {
    return options.organisation.empty()
               ? "/jobs"
               : "/jobs?organisation=" + PercentEncode(options.organisation);
  }
  if (arguments.size() != 2) {
    return std::nullopt;
  }
  const std::string job = "/jobs/" + PercentEncode(arguments.at(1));
  if (action == "show") {
    return job;
  }
  if (action == "cancel") {
    // Cancelling is idempotent, so that another entry may be asked again.
    method = "POST";
    return job + "/cancel";
  }
  return std::nullopt;
}

}  // namespace

CommandTask RunStatus(CommandContext context) {
  CommandResult result;
  if (context.store == nullptr && context.options.entries.empty()) {
    co_return UsageError(
        "Name --platform HOST:PORT, --entry HOST:PORT or both.");
  }
  if (context.store != nullptr) {
    result = co_await StatusOfPlatform(*context.store);
  }
  json entries = json::array();
  for (const Endpoint& entry : context.options.entries) {
    Endpoint endpoint = entry;
    const Result<json> answer =
        co_await CallEntry(std::move(endpoint), "GET", "/status");
    if (answer.has_value()) {
      result.text += Line(entry, DumpJson(answer.value()));
      entries.push_back(
          {{"entry", entry.ToString()}, {"status", answer.value()}});
      continue;
    }
    result.errors.push_back(entry.ToString() + ": " + answer.error().message);
    if (result.exit_code == kOperatorOk) {
      result.exit_code = kOperatorFailure;
    }
  }
  result.data["entries"] = std::move(entries);
  co_return result;
}

CommandTask RunJobs(CommandContext context) {
  std::string method;
  const std::optional<std::string> target = JobTarget(context.options, method);
  if (!target) {
    co_return UsageError("Use jobs list, jobs show JOB or jobs cancel JOB.");
  }
  if (context.options.entries.empty()) {
    co_return UsageError("Name an entry with --entry HOST:PORT.");
  }
  const Result<json> answer =
      co_await AskAnyEntry(context.options.entries, method, *target);
  if (!answer.has_value()) {
    co_return FailureOf(answer.error());
  }
  CommandResult result;
  result.text = DumpJson(answer.value(), 2) + "\n";
  result.data = answer.value();
  co_return result;
}

}  // namespace cowslip
