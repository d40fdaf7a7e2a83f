#ifndef SOURCE_JOBS_RESULT_LOG_H_
#define SOURCE_JOBS_RESULT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "Jobs/job_documents.h"
#include "Platform/document_store.h"

namespace cowslip {

/// \class ResultLog
/// \brief The results of one job, as far as this process has read or written
/// them. What it holds is a prefix of what the store holds, in the same order,
/// so a position never changes.
///
/// Only the job's owner appends. A new owner writes its fencing number into the
/// last segment first, so that a conditional write of an earlier one, however
/// late, fails: after that, the new owner's log holds all results. One
/// coroutine at a time may use a log.
class ResultLog {
 public:
  /// `fence` is the version of the job's document that names this process as
  /// its owner; 0 for a log that is only read.
  ResultLog(DocumentStore& store, JobKey key, FencingNumber fence);

  const std::vector<ItemResult>& results() const { return m_results; }
  FencingNumber fence() const { return m_fence; }
  bool Contains(const ItemId& item) const { return m_items.contains(item); }
  size_t bytes() const { return m_bytes; }
  /// False from the moment a write begins until its outcome is known: other
  /// processes may then have read results that this one does not have yet.
  bool is_current() const { return !m_maybe_stale && !HasInDoubtWrite(); }

  /// The job has just been created, so nothing has been appended yet.
  void AssumeEmpty() { m_maybe_stale = false; }
  /// Reads all results and shuts out earlier owners. Errors: those of the
  /// store, and kConflict when a later owner has done so.
  boost::asio::awaitable<Result<void>> Claim();
  /// Reads what has been appended since. Errors: those of the store.
  boost::asio::awaitable<Result<void>> Refresh();
  /// Appends the results of items that have none yet. Errors: kUnavailable and
  /// kInDoubt, after which the same call may be repeated; kConflict when a
  /// later owner has claimed the log.
  boost::asio::awaitable<Result<void>> Append(std::vector<ItemResult> results);

 private:
  boost::asio::awaitable<Result<void>> WriteLastSegment(ResultSegment segment);
  void ApplySegment(const ResultSegment& segment, ObjectVersion version);
  void OpenNextSegment();
  /// Whether a write without an answer may yet be carried out.
  bool HasInDoubtWrite() const {
    return m_in_doubt_write.has_value() &&
           *m_in_doubt_write == std::pair(m_segment, m_version);
  }
  ResultSegment LastSegment() const;

  DocumentStore& m_store;
  const JobKey m_key;
  const FencingNumber m_fence;
  std::vector<ItemResult> m_results;
  std::set<ItemId> m_items;
  size_t m_bytes = 0;
  // The last segment: its number, version (0 while it does not exist), where it
  // begins in `m_results`, its fence (the one before's while it does not exist)
  // and its size.
  uint32_t m_segment = 0;
  ObjectVersion m_version;
  size_t m_segment_begin = 0;
  FencingNumber m_segment_fence;
  size_t m_segment_bytes = 0;
  // The segment and version on which a write without an answer depends.
  std::optional<std::pair<uint32_t, ObjectVersion>> m_in_doubt_write;
  // What this process holds may be behind the store.
  bool m_maybe_stale = true;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_RESULT_LOG_H_
