#include "Settings/daemon_options.h"

#include <cstdlib>
#include <iostream>

#include <popt.h>

#include "Settings/schema.h"

namespace cowslip {

std::optional<DaemonOptions> ParseDaemonOptions(int argc,
                                                const char** argv,
                                                const nlohmann::json& schema,
                                                int& exit_code) {
  char* settings = nullptr;
  int check = 0;
  int version = 0;
  const poptOption table[] = {
      {"settings", 's', POPT_ARG_STRING, static_cast<void*>(&settings), 0,
       "Read the settings from this JSON file", "FILE"},
      {"check", 'c', POPT_ARG_NONE, static_cast<void*>(&check), 0,
       "Check the settings and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, static_cast<void*>(&version), 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(argv[0], argc, argv, table, 0);
  const int parsed = poptGetNextOpt(context);
  const char* extra = poptGetArg(context);
  const bool bad = parsed < -1 || extra != nullptr;
  if (bad) {
    std::cerr << argv[0] << ": "
              << (parsed < -1 ? poptStrerror(parsed) : "unexpected argument")
              << ". See --help.\n";
  }
  poptFreeContext(context);
  const std::string path = settings != nullptr ? settings : "";
  std::free(settings);
  exit_code = kExitUsage;
  if (bad) {
    return std::nullopt;
  }
  if (version != 0) {
    std::cout << "cowsliphollow " << COWSLIP_VERSION << "\n";
    exit_code = kExitSuccess;
    return std::nullopt;
  }
  if (path.empty()) {
    std::cerr << argv[0] << ": name the settings with --settings FILE.\n";
    return std::nullopt;
  }
  Result<nlohmann::json> loaded = LoadJsonFile(path, schema);
  if (!loaded.has_value()) {
    std::cerr << loaded.error().message << "\n";
    return std::nullopt;
  }
  if (check != 0) {
    std::cout << path << ": the settings are valid.\n";
    exit_code = kExitSuccess;
    return std::nullopt;
  }
  return DaemonOptions{.settings = std::move(loaded.value())};
}

}  // namespace cowslip
