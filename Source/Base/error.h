#ifndef SOURCE_BASE_ERROR_H_
#define SOURCE_BASE_ERROR_H_

#include <ostream>
#include <string>
#include <system_error>

namespace cowslip {

/// Error kinds that callers can handle differently.
enum class ErrorKind {
  kInvalidArgument = 1,
  kNotFound,
  kConflict,
  kTooLarge,
  kPermissionDenied,
  kRateLimited,
  kTimeout,
  /// It is certain that the operation had no effect.
  kUnavailable,
  /// The operation may or may not have had an effect.
  kInDoubt,
  kMalformedMessage,
  /// The requested changes are no longer retained.
  kHistoryLost,
  kCancelled,
  kInternal,
};

/// Returns the category of `ErrorKind` codes.
const std::error_category& CowslipCategory();

std::error_code make_error_code(ErrorKind kind);

/// \class Error
/// \brief An error code with a message that states the cause and the remedy.
struct Error {
  Error() = default;
  Error(ErrorKind kind, std::string message);

  ErrorKind kind() const { return static_cast<ErrorKind>(code.value()); }

  std::error_code code;
  /// One or two sentences: what went wrong, and what to change.
  std::string message;
};

std::ostream& operator<<(std::ostream& out, const Error& error);

}  // namespace cowslip

template <>
struct std::is_error_code_enum<cowslip::ErrorKind> : std::true_type {};

#endif  // SOURCE_BASE_ERROR_H_
