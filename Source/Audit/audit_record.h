#ifndef SOURCE_AUDIT_AUDIT_RECORD_H_
#define SOURCE_AUDIT_AUDIT_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Base/ids.h"
#include "Base/result.h"
#include "Configuration/configuration_head.h"

namespace cowslip {

/// Followed by a digest: one record of the trail.
inline constexpr char kAuditPrefix[] = "audit/";

/// \class AuditChange
/// \brief One thing that changed; `from` or `to` is empty when it did not
/// exist before or after.
struct AuditChange {
  std::string subject;
  std::string from;
  std::string to;

  friend bool operator==(const AuditChange&, const AuditChange&) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AuditChange, subject, from, to)

/// \class AuditRecord
/// \brief Who changed what, and when.
///
/// It is written before the head that names it by digest, and names the record
/// before it: the trail of every version in force is complete, also when the
/// publisher dies just after moving the head.
struct AuditRecord {
  ConfigVersion version;
  WriterToken token;
  std::string who;
  /// Wall clock of the publisher, in milliseconds since 1970.
  int64_t when_ms = 0;
  std::vector<AuditChange> changes;
  /// Empty in the first record.
  Digest previous;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AuditRecord,
                                   version,
                                   token,
                                   who,
                                   when_ms,
                                   changes,
                                   previous)

std::string EncodeAuditRecord(const AuditRecord& record);
/// Errors: kMalformedMessage, also when the bytes do not have that digest.
Result<AuditRecord> DecodeAuditRecord(const Digest& digest,
                                      std::string_view bytes);

/// Lists what differs between two JSON documents, field by field, at most
/// kMaxChanges of them. A document that is null did not exist.
std::vector<AuditChange> DescribeChange(const std::string& subject,
                                        const nlohmann::json& from,
                                        const nlohmann::json& to);

/// A record keeps this many changes and counts the rest.
inline constexpr size_t kMaxChanges = 500;

}  // namespace cowslip

#endif  // SOURCE_AUDIT_AUDIT_RECORD_H_
