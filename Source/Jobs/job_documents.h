#ifndef SOURCE_JOBS_JOB_DOCUMENTS_H_
#define SOURCE_JOBS_JOB_DOCUMENTS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Base/result.h"
#include "Jobs/job_types.h"
#include "Platform/document_store.h"

namespace cowslip {

// The documents of batch jobs in the platform's store.

/// One document a job: definition and status.
inline constexpr char kJobKind[] = "cowslip-jobs";
/// The items of jobs, in segments.
inline constexpr char kInputKind[] = "cowslip-job-inputs";
/// The results of jobs, in segments that only grow.
inline constexpr char kResultKind[] = "cowslip-job-results";

/// What the items of a job have come to, for the case that its owner is lost.
/// Nobody watches these documents: they are read when a job changes owners.
inline constexpr char kProgressKind[] = "cowslip-job-progress";

/// Bytes of items or results after which the next segment begins: half of what
/// one document may hold, so that the largest item still fits.
inline constexpr size_t kSegmentBytes = 400 * 1024;

/// \class ResultSegment
/// \brief One document of results.
struct ResultSegment {
  std::vector<ItemResult> results;
  /// Of the owner that may append; a later owner's is higher.
  FencingNumber fence;
  /// The next segment has begun: this one never changes again.
  bool sealed = false;
};

JobKey JobKeyFor(const JobId& id, const OrganisationId& organisation);
DocumentName JobName(const JobKey& key);
DocumentName InputName(const JobKey& key,
                       const Digest& digest,
                       uint32_t segment);
DocumentName ResultName(const JobKey& key, uint32_t segment);
DocumentName ProgressName(const JobKey& key);

/// Cuts items into documents.
std::vector<nlohmann::json> EncodeInputs(const std::vector<JobItem>& items);
/// Errors: kMalformedMessage.
Result<std::vector<JobItem>> DecodeInputs(const nlohmann::json& content);

nlohmann::json EncodeDefinition(const JobDefinition& definition);
nlohmann::json EncodeStatus(const JobStatus& status);
/// nullopt for what is not of that form.
std::optional<JobRecord> DecodeJob(const Document& document);

nlohmann::json EncodeProgress(const std::map<ItemId, ItemProgress>& progress);
/// Errors: kMalformedMessage.
Result<std::map<ItemId, ItemProgress>> DecodeProgress(
    const nlohmann::json& content);

nlohmann::json EncodeResults(const ResultSegment& segment);
/// Errors: kMalformedMessage.
Result<ResultSegment> DecodeResults(const nlohmann::json& content);

}  // namespace cowslip

#endif  // SOURCE_JOBS_JOB_DOCUMENTS_H_
