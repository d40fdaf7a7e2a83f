#ifndef SOURCE_GATEWAY_OFFER_RECORDS_H_
#define SOURCE_GATEWAY_OFFER_RECORDS_H_

#include <map>

#include <boost/asio/awaitable.hpp>

#include "Jobs/job_types.h"
#include "Platform/document_store.h"

namespace cowslip {

/// \class OfferRecords
/// \brief Removes the records of offered jobs that are not accepted.
///
/// The store may carry out a removal seconds after its response was lost, as
/// long as the record is unchanged. So once a removal is in doubt, the job may
/// be accepted only by a write of the record, which ends the removal's
/// condition.
class OfferRecords {
 public:
  explicit OfferRecords(DocumentStore& store) : m_store(store) {}

  /// Removes the record if it is still at `version`; succeeds if there is none.
  /// Errors: those of DocumentStore::RemoveAt().
  boost::asio::awaitable<Result<void>> Remove(JobKey job,
                                              ObjectVersion version);
  /// Whether a removal may still take effect on the record at this version.
  bool MayBeRemoved(const JobKey& job, ObjectVersion version) const;
  /// Writes that the job is accepted, so that no earlier removal takes effect.
  /// Returns the new document. Errors: those of DocumentStore::ReplaceStatus().
  boost::asio::awaitable<Result<Document>> MarkAccepted(JobRecord record);
  /// Call it when the record is known at this version: no removal of an earlier
  /// one takes effect any more.
  void RecordVersion(const JobKey& job, ObjectVersion version);
  /// Call it when the record is gone.
  void Forget(const JobKey& job) { m_in_doubt.erase(job); }

 private:
  DocumentStore& m_store;
  /// The versions at which removals in doubt are conditional.
  std::map<JobKey, ObjectVersion> m_in_doubt;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_OFFER_RECORDS_H_
