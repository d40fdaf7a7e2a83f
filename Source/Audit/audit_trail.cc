#include "Audit/audit_trail.h"

#include <utility>

#include "Configuration/configuration_reader.h"
#include "Platform/object_store.h"

namespace cowslip {

boost::asio::awaitable<Result<std::vector<AuditRecord>>> ReadAuditTrail(
    ObjectStore& store,
    size_t limit) {
  const Result<ConfigurationHead> head = co_await ReadHead(store);
  if (!head.has_value()) {
    co_return head.error();
  }
  std::vector<AuditRecord> trail;
  Digest next = head.value().audit;
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
