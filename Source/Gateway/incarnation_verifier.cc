#include "Gateway/incarnation_verifier.h"

#include <string>
#include <utility>

#include "Base/event_log.h"
#include "Net/connection_check.h"
#include "platform/backend_report.h"

namespace cowslip {

IncarnationVerifier::IncarnationVerifier(EventLog& log,
                                         std::function<void()> read_directory,
                                         IncarnationVerifierOptions options)
    : m_log(log),
      m_read_directory(std::move(read_directory)),
      m_options(options) {}

std::shared_ptr<const ConnectionCheck> IncarnationVerifier::CheckFor(
    const BackendRecord& record) {
  if (record.started_at_ms == 0) {
    return nullptr;
  }
  return std::make_shared<ConnectionCheck>(
      ConnectionCheck{.request = platform::EncodeReportCall(),
                      .timeout = m_options.timeout,
                      .max_response_bytes = platform::kMaxReportBytes,
                      .judge = [this, record](const HttpResponse& response) {
                        return Judge(record, response);
                      }});
}

Result<void> IncarnationVerifier::Judge(const BackendRecord& record,
                                        const HttpResponse& response) {
  const Result<std::optional<uint64_t>> start =
      platform::DecodeReportedStart(response);
  if (!start.has_value()) {
    return start.error();
  }
  if (!start.value().has_value()) {
    LogSilentIncarnation(record, response.status);
    return Ok();
  }
  if (*start.value() == record.started_at_ms) {
    return Ok();
  }
  m_log.Write("backend_incarnation_differs",
              {{"backend", record.id.value()},
               {"version", record.version.value()},
               {"listed_start_ms", record.started_at_ms},
               {"reported_start_ms", *start.value()}});
  ReadDirectory();
  return Error(
      ErrorKind::kConflict,
      "The backend server has started at " + std::to_string(*start.value()) +
          " ms, but service discovery lists the start at " +
          std::to_string(record.started_at_ms) + " ms. Read its entry again.");
}

void IncarnationVerifier::LogSilentIncarnation(const BackendRecord& record,
                                               int status) {
  if (m_silent_incarnations.size() >= m_options.max_silent_incarnations) {
    m_silent_incarnations.clear();
  }
  const uint64_t logged =
      std::exchange(m_silent_incarnations[record.id], record.started_at_ms);
  if (logged != record.started_at_ms) {
    m_log.Write("backend_incarnation_unknown",
                {{"backend", record.id.value()},
                 {"version", record.version.value()},
                 {"listed_start_ms", record.started_at_ms},
                 {"status", status}});
  }
}

void IncarnationVerifier::ReadDirectory() {
  const MonotonicTime now = MonotonicClock::now();
  if (!m_last_read.has_value() ||
      now - *m_last_read >= m_options.min_read_interval) {
    m_last_read = now;
    m_read_directory();
  }
}

}  // namespace cowslip
