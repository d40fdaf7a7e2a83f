#include "Operator/command_result.h"

namespace cowslip {

int ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidArgument:
    case ErrorKind::kTooLarge:
      return kOperatorInvalid;
    case ErrorKind::kConflict:
      return kOperatorConflict;
    case ErrorKind::kUnavailable:
    case ErrorKind::kInDoubt:
    case ErrorKind::kTimeout:
      return kOperatorUnavailable;
    default:
      return kOperatorFailure;
  }
}

CommandResult FailureOf(const Error& error) {
  CommandResult result;
  result.exit_code = ExitCodeOf(error.kind());
  result.errors = {error.code.message() + ": " + error.message};
  return result;
}

CommandResult UsageError(const std::string& message) {
  CommandResult result;
  result.exit_code = kOperatorUsage;
  result.errors = {message};
  return result;
}

}  // namespace cowslip
