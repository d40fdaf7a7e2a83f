#ifndef SOURCE_JOBS_RESULT_LOG_H_
#define SOURCE_JOBS_RESULT_LOG_H_

#include <cstddef>
#include <set>
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
/// Any process may append: the conditional write of the last segment decides
/// whose result of an item counts, and the log drops the others. One coroutine
/// at a time may use it.
class ResultLog {
 public:
  ResultLog(DocumentStore& store, JobKey key);

  const std::vector<ItemResult>& results() const { return m_results; }
  bool Contains(const ItemId& item) const { return m_items.contains(item); }
  size_t bytes() const { return m_bytes; }
  /// False from the moment a write begins until its outcome is known: other
  /// processes may then have read results that this one does not have yet.
  bool is_certain() const { return !m_uncertain; }

  /// The job has just been created, so nothing has been appended yet.
  void AssumeEmpty() { m_uncertain = false; }
  /// Reads what has been appended since. Errors: those of the store.
  boost::asio::awaitable<Result<void>> Refresh();
  /// Appends the results of items that have none yet. Errors: kUnavailable and
  /// kInDoubt, after which the same call may be repeated.
  boost::asio::awaitable<Result<void>> Append(std::vector<ItemResult> results);

 private:
  boost::asio::awaitable<Result<void>> WriteLastSegment(ResultSegment segment);
  void TakeSegment(const ResultSegment& segment, ObjectVersion version);
  void OpenNextSegment();

  DocumentStore& m_store;
  const JobKey m_key;
  std::vector<ItemResult> m_results;
  std::set<ItemId> m_items;
  size_t m_bytes = 0;
  // The last segment: its number, version (0 while it does not exist), where it
  // begins in `m_results` and its size.
  uint32_t m_segment = 0;
  ObjectVersion m_version;
  size_t m_segment_begin = 0;
  size_t m_segment_bytes = 0;
  // What this process holds may be behind the store.
  bool m_uncertain = true;
};

}  // namespace cowslip

#endif  // SOURCE_JOBS_RESULT_LOG_H_
