#include "Audit/audit_record.h"

#include <set>

#include "Base/json.h"
#include "Base/message_codec.h"
#include "Base/sha256.h"

namespace cowslip {

namespace {

using nlohmann::json;

std::string TextAt(const json& flat, const std::string& pointer) {
  const auto found = flat.find(pointer);
  return found == flat.end() ? "" : DumpJson(*found);
}

}  // namespace

std::string EncodeAuditRecord(const AuditRecord& record) {
  return DumpJson(record);
}

Result<AuditRecord> DecodeAuditRecord(const Digest& digest,
                                      std::string_view bytes) {
  if (Sha256(bytes) != digest) {
    return Error(ErrorKind::kMalformedMessage,
                 "Audit record " + digest.value() +
                     " was changed after it was written. Compare the store "
                     "with a backup.");
  }
  const Result<json> parsed = ParseJson(bytes);
  if (!parsed.has_value()) {
    return Error(ErrorKind::kMalformedMessage, parsed.error().message);
  }
  return DecodeStruct<AuditRecord>(parsed.value());
}

std::vector<AuditChange> DescribeChange(const std::string& subject,
                                        const json& from,
                                        const json& to) {
  if (from == to) {
    return {};
  }
  if (from.is_null() || to.is_null()) {
    return {{.subject = subject,
             .from = from.is_null() ? "" : DumpJson(from),
             .to = to.is_null() ? "" : DumpJson(to)}};
  }
  const json flat_from = from.flatten();
  const json flat_to = to.flatten();
  std::set<std::string> pointers;
  for (const json* flat : {&flat_from, &flat_to}) {
    for (const auto& [pointer, value] : flat->items()) {
      pointers.insert(pointer);
    }
  }
  std::vector<AuditChange> changes;
  for (const std::string& pointer : pointers) {
    AuditChange change{.subject = subject + " " + pointer,
                       .from = TextAt(flat_from, pointer),
                       .to = TextAt(flat_to, pointer)};
    if (change.from != change.to && changes.size() < kMaxChanges) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

}  // namespace cowslip
