#ifndef SOURCE_GATEWAY_ABORTED_RUN_RECORDS_H_
#define SOURCE_GATEWAY_ABORTED_RUN_RECORDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Base/ids.h"
#include "Base/time.h"
#include "Peers/peer_message.h"
#include "Platform/document_store.h"

namespace cowslip {

class AbortedRunTracker;
class EventLog;
class PeerTable;

/// \class AbortedRunRecordsOptions
/// \brief When the records are written.
struct AbortedRunRecordsOptions {
  /// The name of this VM's record.
  VmId self;
  /// Records that all VMs write per second at most, apart from those that a
  /// trial waits for: an eighth of the writes that the store takes.
  uint32_t writes_per_s = 50;
  /// The delay before a call that failed is repeated.
  Duration retry_delay = std::chrono::milliseconds(300);
  /// How long a trial waits for its record: a store that responds at all does
  /// so within a few round trips.
  Duration record_timeout = std::chrono::milliseconds(500);
  /// Records of VMs that no longer write are removed once their last run is
  /// older than this, and this long after the start, when the live processes
  /// are known.
  Duration expiry = std::chrono::minutes(20);
  Duration removal_delay = std::chrono::seconds(10);
};

/// \class AbortedRunRecords
/// \brief Records what blocks requests in the store, and reads what earlier
/// processes have recorded.
///
/// Each VM writes one document, on the condition that nothing else was written
/// since. The document holds counts by observer, so that a write which is
/// carried out late or twice adds nothing.
class AbortedRunRecords {
 public:
  /// `known` is called once, when the records have been read.
  AbortedRunRecords(boost::asio::io_context& context,
                    DocumentStore& store,
                    AbortedRunTracker& tracker,
                    const PeerTable& peers,
                    EventLog& log,
                    AbortedRunRecordsOptions options,
                    std::function<void()> known);

  /// Begins to read the records.
  void Start();
  /// Writes this VM's record if the tracker has something new for it. Call it
  /// after changes and periodically.
  void Update();
  /// Waits until everything is recorded that the tracker knows at the time of
  /// the call. Returns false if that fails or takes too long.
  boost::asio::awaitable<bool> Record();

 private:
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<Result<std::vector<Document>>> ListRecords();
  void HandleRecords(const std::vector<Document>& records, bool are_complete);
  boost::asio::awaitable<void> Write();
  /// Errors: those of the store; after kConflict and kInDoubt the document is
  /// read before the next write.
  boost::asio::awaitable<Result<void>> WriteRecord();
  boost::asio::awaitable<Result<void>> ReadOwnRecord();
  void RemoveExpired();
  boost::asio::awaitable<void> Remove(DocumentName name, ObjectVersion version);
  Duration WriteInterval() const;

  boost::asio::io_context& m_context;
  DocumentStore& m_store;
  AbortedRunTracker& m_tracker;
  const PeerTable& m_peers;
  EventLog& m_log;
  const AbortedRunRecordsOptions m_options;
  const std::function<void()> m_known;
  const MonotonicTime m_start = MonotonicClock::now();
  // The version of this VM's document, 0 while there is none, and what it
  // holds.
  ObjectVersion m_version;
  std::vector<AbortedRuns> m_recorded_runs;
  // Whether a write may have taken effect that is not known of.
  bool m_must_read = false;
  bool m_writing = false;
  // The tracker's changes that are recorded.
  uint64_t m_recorded_changes = 0;
  uint64_t m_failures = 0;
  MonotonicTime m_next_write;
  std::vector<std::pair<DocumentName, ObjectVersion>> m_expired;
  // The timers of Record(); cancelled when a write ends.
  std::set<boost::asio::steady_timer*> m_waiting;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_ABORTED_RUN_RECORDS_H_
