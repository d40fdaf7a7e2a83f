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

// The encoding of batch jobs as documents in the platform's store.

/// One document per job, with its definition and status.
inline constexpr char kJobKind[] = "cowslip-jobs";
/// The items of jobs, split into segments.
inline constexpr char kInputKind[] = "cowslip-job-inputs";
/// The results of jobs, split into append-only segments.
inline constexpr char kResultKind[] = "cowslip-job-results";

/// The progress of a job's unfinished items, from which a later owner resumes
/// if the owner is lost. These documents are not watched, only read when a job
/// changes owners.
inline constexpr char kProgressKind[] = "cowslip-job-progress";

/// Size in bytes at which the next segment of items or results begins: half of
/// the maximum document size, so that the largest item still fits.
inline constexpr size_t kSegmentBytes = 400 * 1024;

/// \class ResultSegment
/// \brief The contents of one document of results.
struct ResultSegment {
  std::vector<ItemResult> results;
  /// The fencing number of the owner that may append; later owners have higher
  /// ones.
  FencingNumber fence;
  /// The segment is full and never changes again; appends go to the next one.
  bool sealed = false;
};

JobKey JobKeyFor(const JobId& id, const OrganisationId& organisation);
DocumentName JobName(const JobKey& key);
DocumentName InputName(const JobKey& key,
                       const Digest& digest,
                       uint32_t segment);
DocumentName ResultName(const JobKey& key, uint32_t segment);
DocumentName ProgressName(const JobKey& key);

/// Encodes items as documents of at most about kSegmentBytes plus one item.
std::vector<nlohmann::json> EncodeInputs(const std::vector<JobItem>& items);
/// Errors: kMalformedMessage.
Result<std::vector<JobItem>> DecodeInputs(const nlohmann::json& content);

nlohmann::json EncodeDefinition(const JobDefinition& definition);
nlohmann::json EncodeStatus(const JobStatus& status);
/// Returns nullopt if the document is malformed.
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
