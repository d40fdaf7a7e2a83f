#include "Base/error.h"

#include <utility>

namespace cowslip {

namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "cowslip"; }

  std::string message(int value) const override {
    switch (static_cast<ErrorKind>(value)) {
      case ErrorKind::kInvalidArgument:
        return "invalid argument";
      case ErrorKind::kNotFound:
        return "not found";
      case ErrorKind::kConflict:
        return "conflict";
      case ErrorKind::kTooLarge:
        return "too large";
      case ErrorKind::kPermissionDenied:
        return "permission denied";
      case ErrorKind::kRateLimited:
        return "rate limited";
      case ErrorKind::kTimeout:
        return "timeout";
      case ErrorKind::kUnavailable:
        return "unavailable";
      case ErrorKind::kInDoubt:
        return "outcome in doubt";
      case ErrorKind::kMalformedMessage:
        return "malformed message";
      case ErrorKind::kHistoryLost:
        return "history lost";
      case ErrorKind::kCancelled:
        return "cancelled";
      case ErrorKind::kInternal:
        return "internal error";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& CowslipCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorKind kind) {
  return {static_cast<int>(kind), CowslipCategory()};
}

Error::Error(ErrorKind kind, std::string message)
    : code(make_error_code(kind)), message(std::move(message)) {}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << error.code.message() << ": " << error.message;
}

}  // namespace cowslip
