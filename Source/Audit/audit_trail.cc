#include "Audit/audit_trail.h"

#include <utility>

#include "Platform/object_store.h"

namespace cowslip {

boost::asio::awaitable<Result<std::vector<AuditRecord>>>
ReadAuditTrail(ObjectStore& store, Digest newest, size_t limit) {
  std::vector<AuditRecord> trail;
  Digest next = std::move(newest);
  while (!next.empty() && trail.size() < limit) {
    ObjectKey key(kAuditPrefix + next.value());
    const Result<StoredObject> read = co_await store.Get(std::move(key));
    if (!read.has_value()) {
      co_return read.error();
    }
    Result<AuditRecord> record = DecodeAuditRecord(next, read.value().value);
    if (!record.has_value()) {
      co_return record.error();
    }
    next = record.value().previous;
    trail.push_back(std::move(record.value()));
  }
  co_return trail;
}

}  // namespace cowslip
