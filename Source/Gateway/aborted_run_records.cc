#include "Gateway/aborted_run_records.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Base/event_log.h"
#include "Base/rendezvous.h"
#include "Gateway/aborted_run_documents.h"
#include "Net/sleep_for.h"
#include "Peers/peer_table.h"
#include "Placement/aborted_run_tracker.h"

namespace cowslip {

using boost::asio::awaitable;

namespace {

// Each entry tells how often one process has observed runs of one request, so
// its age is that of the last of them.
bool IsSame(const AbortedRuns& a, const AbortedRuns& b) {
  return a.fingerprint == b.fingerprint && a.vm == b.vm &&
         a.incarnation == b.incarnation && a.count == b.count;
}

}  // namespace

AbortedRunRecords::AbortedRunRecords(boost::asio::io_context& context,
                                     DocumentStore& store,
                                     AbortedRunTracker& tracker,
                                     const PeerTable& peers,
                                     EventLog& log,
                                     AbortedRunRecordsOptions options,
                                     std::function<void()> known)
    : m_context(context),
      m_store(store),
      m_tracker(tracker),
      m_peers(peers),
      m_log(log),
      m_options(std::move(options)),
      m_known(std::move(known)) {}

void AbortedRunRecords::Start() {
  m_tracker.Handle(AbortedRunRecordsAwaited{}, MonotonicClock::now());
  boost::asio::co_spawn(
      m_context, [this] { return Read(); }, boost::asio::detached);
}

awaitable<void> AbortedRunRecords::Read() {
  bool are_complete = true;
  while (true) {
    const Result<std::vector<Document>> records = co_await ListRecords();
    if (records.has_value()) {
      HandleRecords(records.value(), are_complete);
      co_return;
    }
    are_complete = false;
    m_log.Write("aborted_runs_not_read", {{"why", records.error().message}});
    co_await SleepFor(m_options.retry_delay);
  }
}

awaitable<Result<std::vector<Document>>> AbortedRunRecords::ListRecords() {
  std::vector<Document> records;
  DocumentName after;
  bool has_more = true;
  while (has_more) {
    const DocumentKind kind(kAbortedRunsKind);
    Result<DocumentPage> page = co_await m_store.List(kind, after);
    if (!page.has_value()) {
      co_return page.error();
    }
    for (Document& document : page.value().documents) {
      after = document.name;
      records.push_back(std::move(document));
    }
    has_more = page.value().has_more;
  }
  co_return records;
}

void AbortedRunRecords::HandleRecords(const std::vector<Document>& records,
                                      bool are_complete) {
  AbortedRunRecordsRead read{.are_complete = are_complete};
  for (const Document& record : records) {
    const bool is_own = record.name.value() == m_options.self.value();
    if (is_own) {
      m_version = record.version;
    }
    const Result<std::vector<AbortedRuns>> runs =
        DecodeAbortedRunRecord(record, WallNow());
    if (!runs.has_value()) {
      m_log.Write("aborted_runs_unreadable", {{"why", runs.error().message}});
      continue;
    }
    const bool has_expired = std::all_of(
        runs.value().begin(), runs.value().end(),
        [this](const AbortedRuns& r) { return r.age > m_options.expiry; });
    if (is_own) {
      m_recorded_runs = runs.value();
    } else if (has_expired) {
      m_expired.emplace_back(record.name, record.version);
    }
    read.runs.insert(read.runs.end(), runs.value().begin(), runs.value().end());
  }
  m_log.Write("aborted_runs_read", {{"records", records.size()},
                                    {"entries", read.runs.size()},
                                    {"are_complete", are_complete}});
  m_tracker.Handle(read, MonotonicClock::now());
  m_known();
  Update();
}

Duration AbortedRunRecords::WriteInterval() const {
  const auto processes = static_cast<int64_t>(m_peers.LiveProcesses().size());
  return Duration(std::chrono::seconds(1)) * processes / m_options.writes_per_s;
}

void AbortedRunRecords::Update() {
  const MonotonicTime now = MonotonicClock::now();
  if (!m_expired.empty() && now - m_start >= m_options.removal_delay) {
    RemoveExpired();
  }
  const bool is_due = now >= m_next_write || !m_waiting.empty();
  if (m_writing || !is_due || !m_tracker.records_are_known() ||
      m_recorded_changes == m_tracker.record_changes()) {
    return;
  }
  m_writing = true;
  boost::asio::co_spawn(
      m_context, [this] { return Write(); }, boost::asio::detached);
}

awaitable<void> AbortedRunRecords::Write() {
  const uint64_t changes = m_tracker.record_changes();
  const Result<void> written = co_await WriteRecord();
  m_writing = false;
  const MonotonicTime now = MonotonicClock::now();
  if (written.has_value()) {
    m_recorded_changes = changes;
    m_next_write = now + WriteInterval();
  } else {
    ++m_failures;
    m_next_write = now + m_options.retry_delay;
    m_log.Write("aborted_runs_not_recorded",
                {{"why", written.error().message}});
  }
  for (boost::asio::steady_timer* timer : m_waiting) {
    timer->cancel();
  }
}

awaitable<Result<void>> AbortedRunRecords::WriteRecord() {
  // A write in doubt may still be carried out while the document is unchanged.
  const bool must_write = m_must_read;
  if (m_must_read) {
    const Result<void> read = co_await ReadOwnRecord();
    if (!read.has_value()) {
      co_return read.error();
    }
  }
  const std::vector<AbortedRuns> runs =
      m_tracker.RunsToRecord(MonotonicClock::now());
  const bool is_recorded =
      std::equal(runs.begin(), runs.end(), m_recorded_runs.begin(),
                 m_recorded_runs.end(), IsSame);
  if (is_recorded && !must_write) {
    co_return Ok();
  }
  const DocumentKind kind(kAbortedRunsKind);
  const DocumentName name(m_options.self.value());
  const ObjectVersion version = m_version;
  nlohmann::json content = EncodeAbortedRunRecord(runs, WallNow());
  Result<Document> written = Error();
  if (version == ObjectVersion()) {
    written = co_await m_store.Create(kind, name, std::move(content));
  } else {
    written = co_await m_store.Replace(kind, name, std::move(content), version);
  }
  if (!written.has_value()) {
    m_must_read =
        must_write || written.error().kind() != ErrorKind::kUnavailable;
    co_return written.error();
  }
  m_version = written.value().version;
  m_recorded_runs = runs;
  m_log.Write("aborted_runs_recorded", {{"entries", runs.size()}});
  co_return Ok();
}

// What is found there may be a late write of an earlier incarnation.
awaitable<Result<void>> AbortedRunRecords::ReadOwnRecord() {
  const DocumentKind kind(kAbortedRunsKind);
  const DocumentName name(m_options.self.value());
  const Result<Document> read = co_await m_store.Get(kind, name);
  if (!read.has_value()) {
    if (read.error().kind() != ErrorKind::kNotFound) {
      co_return read.error();
    }
    m_version = ObjectVersion();
    m_recorded_runs.clear();
    m_must_read = false;
    co_return Ok();
  }
  m_version = read.value().version;
  m_recorded_runs.clear();
  m_must_read = false;
  Result<std::vector<AbortedRuns>> runs =
      DecodeAbortedRunRecord(read.value(), WallNow());
  if (runs.has_value()) {
    m_recorded_runs = runs.value();
    m_tracker.Handle(AbortedRunRecordsRead{.runs = std::move(runs.value())},
                     MonotonicClock::now());
  }
  co_return Ok();
}

awaitable<bool> AbortedRunRecords::Record() {
  const uint64_t changes = m_tracker.record_changes();
  const uint64_t failures = m_failures;
  boost::asio::steady_timer timer(m_context, m_options.record_timeout);
  const MonotonicTime end = MonotonicClock::now() + m_options.record_timeout;
  m_waiting.insert(&timer);
  while (m_recorded_changes < changes && m_failures == failures &&
         MonotonicClock::now() < end) {
    Update();
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
  m_waiting.erase(&timer);
  co_return m_recorded_changes >= changes;
}

// All processes that have started lately know of them, so one removes each.
void AbortedRunRecords::RemoveExpired() {
  const std::vector<VmId> live = m_peers.LiveProcesses();
  for (const auto& [name, version] : std::exchange(m_expired, {})) {
    const std::vector<VmId> first = RendezvousPick(name.value(), live, 1);
    if (!first.empty() && first.front() == m_options.self) {
      boost::asio::co_spawn(
          m_context,
          [this, name = name, version = version] {
            return Remove(name, version);
          },
          boost::asio::detached);
    }
  }
}

awaitable<void> AbortedRunRecords::Remove(DocumentName name,
                                          ObjectVersion version) {
  const DocumentKind kind(kAbortedRunsKind);
  const std::string vm = name.value();
  const Result<void> removed =
      co_await m_store.RemoveAt(kind, std::move(name), version);
  m_log.Write("aborted_runs_removed",
              {{"vm", vm},
               {"removed", removed.has_value()},
               {"why", removed.has_value() ? "" : removed.error().message}});
}

}  // namespace cowslip
