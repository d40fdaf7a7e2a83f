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
/// \brief The results of one job that this process has read or written. They
/// are always a prefix of the results in the store, in the same order, so the
/// position of a result never changes.
///
/// Only the job's owner appends. A new owner first writes its fencing number
/// into the last segment, so that conditional writes by earlier owners fail,
/// however late they arrive. After that, the new owner's log holds all results.
/// Only one coroutine may use a log at a time.
class ResultLog {
 public:
  /// `fence` is the version of the job's document that names this process as
  /// its owner; 0 for a read-only log.
  ResultLog(DocumentStore& store, JobKey key, FencingNumber fence);

  const std::vector<ItemResult>& results() const { return m_results; }
  FencingNumber fence() const { return m_fence; }
  bool Contains(const ItemId& item) const { return m_items.contains(item); }
  size_t bytes() const { return m_bytes; }
  /// Whether the log holds everything that this process may have written. False
  /// from the start of a write until its outcome is known: other processes may
  /// then already have read results that this log does not hold yet.
  bool is_current() const { return !m_maybe_stale && !HasInDoubtWrite(); }

  /// Skips the initial read for a job that has just been created and therefore
  /// has no results.
  void AssumeEmpty() { m_maybe_stale = false; }
  /// Reads all results and fences off earlier owners. Errors: those of the
  /// store, and kConflict when a later owner has already claimed the log.
  boost::asio::awaitable<Result<void>> Claim();
  /// Reads the results appended since the last read. Errors: those of the
  /// store, and kMalformedMessage.
  boost::asio::awaitable<Result<void>> Refresh();
  /// Appends the results of items that have none yet. Errors: kUnavailable and
  /// kInDoubt, after which the same call may be repeated; kConflict when a
  /// later owner has claimed the log.
  boost::asio::awaitable<Result<void>> Append(std::vector<ItemResult> results);

 private:
  boost::asio::awaitable<Result<void>> WriteLastSegment(ResultSegment segment);
  void ApplySegment(const ResultSegment& segment, ObjectVersion version);
  void OpenNextSegment();
  /// Whether a write whose outcome is unknown may still take effect.
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
  // The last segment: its number, its version (0 while it does not exist), the
  // index of its first result in `m_results`, its fence (that of the previous
  // segment while it does not exist) and its size.
  uint32_t m_segment = 0;
  ObjectVersion m_version;
  size_t m_segment_begin = 0;
  FencingNumber m_segment_fence;
  size_t m_segment_bytes = 0;
  // The segment and version that the conditional write with an unknown outcome
  // requires.
  std::optional<std::pair<uint32_t, ObjectVersion>> m_in_doubt_write;
  // The results held here may be behind the store.
  bool m_maybe_stale = true;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_RESULT_LOG_H_
