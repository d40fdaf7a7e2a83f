#include "Gateway/stream_end.h"

#include <chrono>
#include <optional>
#include <utility>

#include "Gateway/dispatcher.h"
#include "Net/http_client.h"
#include "Net/sleep_for.h"
#include "Net/sse_reader.h"
#include "platform/backend_report.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// The caller has all events and waits only for the end of the stream. A report
// needs no slot and takes a round trip; a pause of 300 ms is late for a caller.
constexpr Duration kReportTimeout = std::chrono::milliseconds(200);

// The pause before a report is asked for again: a process that was killed is
// gone within a few of them.
constexpr Duration kReportRetryDelay = std::chrono::milliseconds(10);

Error ProcessEnded(const std::string& why) {
  return Error(ErrorKind::kInDoubt,
               "The response ended with its connection, and the process that "
               "wrote it has ended: " +
                   why + " Resume the stream after its last event.");
}

}  // namespace

Result<void> CheckStreamEnd(const HttpResponseStream& response,
                            const SseReader& events) {
  if (!events.partial_event().empty()) {
    return Error(ErrorKind::kInDoubt,
                 "The stream ended inside an event. Check the backend server, "
                 "and resume the stream after its last whole event.");
  }
  if (response.ends_with_connection() && events.event_count() == 0) {
    return Error(ErrorKind::kInDoubt,
                 "The connection was closed before the stream's first event. "
                 "Check the backend server, and retry only what is "
                 "idempotent.");
  }
  return Ok();
}

awaitable<Result<void>> ConfirmBodyEnd(const HttpResponseStream& response,
                                       const AttemptLease& lease) {
  if (!response.ends_with_connection() || lease.started_at_ms() == 0) {
    co_return Ok();
  }
  HttpClient& client = *lease.client();
  const uint64_t expected = lease.started_at_ms();
  const MonotonicTime end = MonotonicClock::now() + kReportTimeout;
  Result<HttpResponse> report = Error();
  bool was_cut_off = true;
  while (was_cut_off && MonotonicClock::now() < end) {
    HttpRequest call = platform::EncodeReportCall();
    const Duration timeout = end - MonotonicClock::now();
    report = co_await client.Send(std::move(call), timeout);
    was_cut_off =
        !report.has_value() && report.error().kind() == ErrorKind::kInDoubt;
    if (was_cut_off) {
      co_await SleepFor(kReportRetryDelay);
    }
  }
  if (!report.has_value()) {
    // Whoever accepts a connection and does not respond in time still runs.
    co_return report.error().kind() == ErrorKind::kUnavailable
        ? Result<void>(ProcessEnded(report.error().message))
        : Ok();
  }
  const Result<std::optional<uint64_t>> start =
      platform::DecodeReportedStart(report.value());
  if (start.has_value() && start.value().has_value() &&
      *start.value() != expected) {
    co_return ProcessEnded("Another incarnation runs there.");
  }
  co_return Ok();
}

awaitable<Result<void>> ConfirmStreamEnd(const HttpResponseStream& response,
                                         const SseReader& events,
                                         const AttemptLease& lease) {
  const Result<void> complete = CheckStreamEnd(response, events);
  if (!complete.has_value()) {
    co_return complete;
  }
  co_return co_await ConfirmBodyEnd(response, lease);
}

}  // namespace cowslip
