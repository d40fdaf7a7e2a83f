#ifndef SOURCE_OPERATOR_COMMAND_RESULT_H_
#define SOURCE_OPERATOR_COMMAND_RESULT_H_

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/error.h"
#include "Operator/operator_options.h"

namespace cowslip {

/// \class CommandResult
/// \brief What a command prints, and its exit code.
struct CommandResult {
  int exit_code = kOperatorOk;
  /// For people, on standard output.
  std::string text;
  /// For `--json`, on standard output.
  nlohmann::json data = nlohmann::json::object();
  /// One per line, on standard error.
  std::vector<std::string> errors;
};

/// A result with one error, and the exit code of its kind.
CommandResult FailureOf(const Error& error);

/// The exit code for an error of that kind.
int ExitCodeOf(ErrorKind kind);

/// Wrong usage of a command.
CommandResult UsageError(const std::string& message);

}  // namespace cowslip

#endif  // SOURCE_OPERATOR_COMMAND_RESULT_H_
