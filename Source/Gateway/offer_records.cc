#include "Gateway/offer_records.h"

#include <utility>

#include "Jobs/job_documents.h"

namespace cowslip {

using boost::asio::awaitable;

awaitable<Result<void>> OfferRecords::Remove(JobKey job,
                                             ObjectVersion version) {
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(job);
  const Result<void> removed = co_await m_store.RemoveAt(kind, name, version);
  if (removed.has_value() || removed.error().kind() == ErrorKind::kNotFound) {
    m_in_doubt.erase(job);
    co_return Ok();
  }
  if (removed.error().kind() == ErrorKind::kInDoubt) {
    m_in_doubt[job] = version;
  }
  co_return removed;
}

bool OfferRecords::MayBeRemoved(const JobKey& job,
                                ObjectVersion version) const {
  const auto found = m_in_doubt.find(job);
  return found != m_in_doubt.end() && found->second == version;
}

awaitable<Result<Document>> OfferRecords::MarkAccepted(JobRecord record) {
  JobStatus status = std::move(record.status);
  status.accepted = true;
  nlohmann::json encoded = EncodeStatus(status);
  const DocumentKind kind(kJobKind);
  const DocumentName name = JobName(record.key);
  const ObjectVersion version = record.version;
  co_return co_await m_store.ReplaceStatus(kind, name, std::move(encoded),
                                           version);
}

void OfferRecords::RecordVersion(const JobKey& job, ObjectVersion version) {
  const auto found = m_in_doubt.find(job);
  if (found != m_in_doubt.end() && found->second < version) {
    m_in_doubt.erase(found);
  }
}

}  // namespace cowslip
