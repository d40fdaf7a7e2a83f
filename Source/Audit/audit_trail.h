#ifndef SOURCE_AUDIT_AUDIT_TRAIL_H_
#define SOURCE_AUDIT_AUDIT_TRAIL_H_

#include <cstddef>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Audit/audit_record.h"
#include "Base/result.h"

namespace cowslip {

class ObjectStore;

/// Walks the trail from the record `newest` back, at most `limit` records.
/// Errors: those of the store; kMalformedMessage when a record was changed.
boost::asio::awaitable<Result<std::vector<AuditRecord>>>
ReadAuditTrail(ObjectStore& store, Digest newest, size_t limit);

}  // namespace cowslip

#endif  // SOURCE_AUDIT_AUDIT_TRAIL_H_
