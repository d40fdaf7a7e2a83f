#ifndef SOURCE_OPERATOR_OPERATOR_OPTIONS_H_
#define SOURCE_OPERATOR_OPERATOR_OPTIONS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "Base/endpoint.h"
#include "Base/ids.h"

namespace cowslip {

/// Exit codes of `cowslip`, for scripts.
enum OperatorExit : int {
  kOperatorOk = 0,
  kOperatorFailure = 1,
  kOperatorUsage = 2,
  kOperatorInvalid = 3,
  kOperatorConflict = 4,
  /// The platform or every entry was unavailable, or the outcome is in doubt.
  kOperatorUnavailable = 5,
};

/// \class OperatorOptions
/// \brief A parsed command line of `cowslip`.
struct OperatorOptions {
  std::string command;
  std::vector<std::string> arguments;
  std::optional<Endpoint> platform;
  /// The operators' ports of entries.
  std::vector<Endpoint> entries;
  /// Who is named in the audit trail.
  std::string who;
  std::string organisation;
  std::string label;
  std::vector<std::string> removed_services;
  std::vector<std::string> removed_sets;
  size_t limit = 50;
  /// Refuse to replace what was changed after this version.
  std::optional<ConfigVersion> since;
  bool json = false;
};

/// \class ParsedCommandLine
/// \brief Options to run, or an exit code with what to print.
struct ParsedCommandLine {
  std::optional<OperatorOptions> options;
  int exit_code = kOperatorOk;
  std::string message;
};

ParsedCommandLine ParseOperatorOptions(int argc, const char** argv);

/// Reads `ADDRESS:PORT`.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_OPERATOR_OPTIONS_H_
