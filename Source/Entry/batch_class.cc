#include "Entry/batch_class.h"

#include <algorithm>
#include <string_view>

#include "Batch/batch_driver.h"
#include "Configuration/snapshot.h"
#include "Net/http_message.h"

namespace cowslip {

namespace {

constexpr char kDefaultClass[] = "default";

bool IsBuiltIn(const std::string& job_class) {
  return job_class == "standard" || job_class == "bulk";
}

// Calls back with the number and the text of each line that is not empty.
template <class Visitor>
void VisitLines(std::string_view text, const Visitor& visit) {
  size_t number = 0;
  while (!text.empty()) {
    ++number;
    const size_t end = std::min(text.find('\n'), text.size());
    if (end > 0) {
      visit(number, text.substr(0, end));
    }
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

Result<void> CheckItems(const BatchDeclaration& declared,
                        std::string_view jsonl) {
  size_t items = 0;
  size_t long_line = 0;
  VisitLines(jsonl, [&](size_t number, std::string_view line) {
    ++items;
    const bool too_long = line.size() > declared.max_item_bytes;
    long_line = too_long && long_line == 0 ? number : long_line;
  });
  if (items > declared.max_items) {
    return Error(ErrorKind::kTooLarge,
                 "The job has " + std::to_string(items) + " items and class " +
                     declared.id.value() + " takes " +
                     std::to_string(declared.max_items) +
                     ". Split it, or name a class that takes more.");
  }
  if (long_line > 0) {
    return Error(ErrorKind::kTooLarge,
                 "Line " + std::to_string(long_line) + " is longer than the " +
                     std::to_string(declared.max_item_bytes) +
                     " bytes that class " + declared.id.value() +
                     " takes. Shorten it, or name another class.");
  }
  return Ok();
}

}  // namespace

Result<void> CheckBatchClass(const Snapshot& snapshot,
                             const HttpRequest& request,
                             const std::string& job_class,
                             SubmitOptions& options) {
  const RouteDeclaration* route = snapshot.FindRoute(options.route);
  const BatchClassId id(IsBuiltIn(job_class) ? kDefaultClass : job_class);
  const BatchDeclaration* declared =
      route == nullptr ? nullptr : snapshot.FindBatch(route->service, id);
  if (declared == nullptr) {
    if (IsBuiltIn(job_class)) {
      return Ok();
    }
    return Error(ErrorKind::kInvalidArgument,
                 "X-Batch-Class " + job_class +
                     " is not declared by the service of X-Batch-Route. Name "
                     "one of its classes, standard or bulk.");
  }
  if (!options.deadline.has_value()) {
    options.deadline = declared->default_deadline;
  }
  return CheckItems(*declared, request.body);
}

}  // namespace cowslip
