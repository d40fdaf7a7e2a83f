#include "Operator/operator_options.h"

#include <charconv>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <utility>

#include <popt.h>

namespace cowslip {

namespace {

constexpr char kOverview[] =
    R"(Usage: cowslip COMMAND [ARGUMENTS] [OPTIONS]

Commands:
  validate PATH...        check declaration files
  publish PATH...         put declarations into force
  status                  show the version in force and that of each entry
  organisations           list the organisations in force
  keys add|withdraw|list  give, end and list keys
  jobs list|show|cancel   look after batch jobs
  audit                   show who changed what, newest first

`cowslip COMMAND --help` describes a command and its options.
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid declarations,
4 conflict with another change, 5 platform unavailable or outcome in doubt.
)";

struct CommandHelp {
  std::string_view name;
  std::string_view text;
};

constexpr CommandHelp kHelp[] = {
    {"validate",
     R"(Usage: cowslip validate PATH... [--platform HOST:PORT] [--json]

Checks every .json file below the paths and prints all errors at once, each as
FILE: POINTER: what to change. With --platform, also checks them together with
what is in force.
)"},
    {"publish",
     R"(Usage: cowslip publish [PATH...] --platform HOST:PORT [--who NAME]
         [--remove-service ID] [--remove-set ID] [--since VERSION] [--json]

Checks the declarations and puts them into force as one new version. What the
files do not name stays as it is. Safe to repeat. With --since, refuses to
replace what somebody has changed after that version.
)"},
    {"status",
     R"(Usage: cowslip status [--platform HOST:PORT] [--entry HOST:PORT]... [--json]

Shows the version in force and what each entry says about itself. Exit code 1
when an entry does not answer.
)"},
    {"organisations",
     R"(Usage: cowslip organisations --platform HOST:PORT [--json]

Lists the organisations in force with their limits.
)"},
    {"keys",
     R"(Usage: cowslip keys add ORGANISATION [--label TEXT] --platform HOST:PORT
       cowslip keys withdraw DIGEST --platform HOST:PORT
       cowslip keys list [--organisation ID] --platform HOST:PORT
         [--who NAME] [--json]

add makes a key and shows it once. withdraw ends a key, named by at least the
first 8 digits of its digest.
)"},
    {"jobs",
     R"(Usage: cowslip jobs list [--organisation ID] --entry HOST:PORT... [--json]
       cowslip jobs show JOB --entry HOST:PORT...
       cowslip jobs cancel JOB --entry HOST:PORT...

Asks the entries in turn until one answers.
)"},
    {"audit",
     R"(Usage: cowslip audit [--limit N] --platform HOST:PORT [--json]

Shows who changed what, newest first.
)"}};

// Frees popt's memory on every way out.
struct PoptStrings {
  char* platform = nullptr;
  char* who = nullptr;
  char* organisation = nullptr;
  char* label = nullptr;
  const char** entries = nullptr;
  const char** services = nullptr;
  const char** sets = nullptr;

  ~PoptStrings() {
    for (char* text : {platform, who, organisation, label}) {
      std::free(text);
    }
    for (const char** list : {entries, services, sets}) {
      for (const char** each = list; each != nullptr && *each != nullptr;
           ++each) {
        std::free(const_cast<char*>(*each));
      }
      std::free(list);
    }
  }
};

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

std::string Text(const char* text) {
  return text == nullptr ? "" : text;
}

std::vector<std::string> List(const char** list) {
  std::vector<std::string> texts;
  for (; list != nullptr && *list != nullptr; ++list) {
    texts.emplace_back(*list);
  }
  return texts;
}

ParsedCommandLine Usage(const std::string& message) {
  return {.exit_code = kOperatorUsage,
          .message = "cowslip: " + message + " See cowslip --help.\n"};
}

ParsedCommandLine Show(std::string_view text) {
  return {.exit_code = kOperatorOk, .message = std::string(text)};
}

const CommandHelp* FindHelp(std::string_view command) {
  for (const CommandHelp& help : kHelp) {
    if (help.name == command) {
      return &help;
    }
  }
  return nullptr;
}

std::string DefaultWho() {
  const char* user = std::getenv("USER");
  return Text(user);
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint{.address = text.substr(0, colon)};
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(begin, end, endpoint.port);
  if (error != std::errc() || rest != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

ParsedCommandLine ParseOperatorOptions(int argc, const char** argv) {
  PoptStrings strings;
  int help = 0;
  int version = 0;
  int json = 0;
  int limit = 50;
  long long since = -1;
  const auto string_option = [](const char* name, char** to) {
    return poptOption{name, '\0', POPT_ARG_STRING, to, 0, nullptr, nullptr};
  };
  const auto list_option = [](const char* name, const char*** to) {
    return poptOption{name, '\0', POPT_ARG_ARGV, to, 0, nullptr, nullptr};
  };
  const poptOption table[] = {
      string_option("platform", &strings.platform),
      string_option("who", &strings.who),
      string_option("organisation", &strings.organisation),
      string_option("label", &strings.label),
      list_option("entry", &strings.entries),
      list_option("remove-service", &strings.services),
      list_option("remove-set", &strings.sets),
      {"limit", '\0', POPT_ARG_INT, &limit, 0, nullptr, nullptr},
      {"since", '\0', POPT_ARG_LONGLONG, &since, 0, nullptr, nullptr},
      {"json", '\0', POPT_ARG_NONE, &json, 0, nullptr, nullptr},
      {"version", '\0', POPT_ARG_NONE, &version, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, nullptr, nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, FreeContext> context(
      poptGetContext("cowslip", argc, argv, table, 0));
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    return Usage(Text(poptBadOption(context.get(), 0)) + ": " +
                 poptStrerror(parsed) + ".");
  }
  OperatorOptions options;
  options.arguments = List(poptGetArgs(context.get()));
  if (!options.arguments.empty()) {
    options.command = options.arguments.front();
    options.arguments.erase(options.arguments.begin());
  }
  const CommandHelp* command = FindHelp(options.command);
  if (version != 0) {
    return Show("cowsliphollow " COWSLIP_VERSION "\n");
  }
  if (help != 0) {
    return Show(command == nullptr ? std::string_view(kOverview)
                                   : command->text);
  }
  if (command == nullptr) {
    return Usage(options.command.empty()
                     ? "name a command."
                     : "there is no command " + options.command + ".");
  }
  if (strings.platform != nullptr) {
    options.platform = ParseEndpoint(strings.platform);
    if (!options.platform) {
      return Usage("write --platform as HOST:PORT.");
    }
  }
  for (const std::string& entry : List(strings.entries)) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(entry);
    if (!endpoint) {
      return Usage("write --entry as HOST:PORT.");
    }
    options.entries.push_back(*endpoint);
  }
  if (limit < 1) {
    return Usage("set --limit to at least 1.");
  }
  options.who = strings.who == nullptr ? DefaultWho() : strings.who;
  options.organisation = Text(strings.organisation);
  options.label = Text(strings.label);
  options.removed_services = List(strings.services);
  options.removed_sets = List(strings.sets);
  options.limit = static_cast<size_t>(limit);
  if (since >= 0) {
    options.since = ConfigVersion(static_cast<uint64_t>(since));
  }
  options.json = json != 0;
  return {.options = std::move(options)};
}

}  // namespace cowslip
