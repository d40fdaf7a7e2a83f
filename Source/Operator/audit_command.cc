#include <sstream>
#include <utility>

#include "Audit/audit_trail.h"
#include "Configuration/configuration_reader.h"
#include "Operator/commands.h"
#include "Operator/wall_time_text.h"

namespace cowslip {

namespace {

std::string TextOf(const AuditRecord& record) {
  const WallTime when{std::chrono::milliseconds(record.when_ms)};
  std::ostringstream text;
  text << "version " << record.version << "  " << WallTimeText(when) << "  "
       << record.who << "  token " << record.token << "\n";
  for (const AuditChange& change : record.changes) {
    text << "  " << change.subject << ": "
         << (change.from.empty() ? "(none)" : change.from) << " -> "
         << (change.to.empty() ? "(none)" : change.to) << "\n";
  }
  return text.str();
}

}  // namespace

CommandTask RunAudit(CommandContext context) {
  const auto head = co_await ReadHead(*context.store);
  if (!head.has_value()) {
    co_return FailureOf(head.error());
  }
  Digest newest = head.value().audit;
  const auto trail = co_await ReadAuditTrail(*context.store, std::move(newest),
                                             context.options.limit);
  if (!trail.has_value()) {
    co_return FailureOf(trail.error());
  }
  CommandResult result;
  for (const AuditRecord& record : trail.value()) {
    result.text += TextOf(record);
  }
  result.data = {{"records", trail.value()}};
  co_return result;
}

}  // namespace cowslip
