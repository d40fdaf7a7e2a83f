#include "Gateway/item_run.h"

#include <algorithm>
#include <utility>

#include "Gateway/dispatcher.h"
#include "Gateway/response_classification.h"
#include "Gateway/stream_end.h"
#include "platform/request_headers.h"

namespace cowslip {

namespace {

using boost::asio::awaitable;

// A run without data for this time is given up if the item may move. The limit
// is longer than for online streams, because no caller waits for the next
// event.
constexpr Duration kStallLimit = std::chrono::milliseconds(2500);

// The limit doubles so many times with the runs of the item that ended in
// doubt, since an item whose events take longer everywhere must end, too.
constexpr uint32_t kMaxDoublings = 3;

// After so many times the limit, the run is taken to hang, and is given up even
// if the same backend server is the only one for the next run.
constexpr int kHangFactor = 4;

StallWatchOptions StallOptions(uint32_t in_doubt_runs) {
  return {.limit = kStallLimit * (1 << std::min(in_doubt_runs, kMaxDoublings)),
          .repeat = std::chrono::milliseconds(500)};
}

// The largest output of an item: one read of results returns no more.
constexpr size_t kMaxOutputBytes = 1 << 20;

}  // namespace

ItemRun::ItemRun(boost::asio::io_context& context, ItemRunRequest request)
    : m_request(std::move(request)),
      m_shared_parts(platform::DecodeSharedParts(m_request.item.headers)),
      m_memory(m_request.memory),
      m_stall_watch(context,
                    StallOptions(m_request.in_doubt_runs),
                    [this](Duration silent) { HandleStall(silent); }) {}

void ItemRun::Stop() {
  m_stopped = true;
  Abort();
}

void ItemRun::HandleStall(Duration silent) {
  m_longest_stall = std::max(m_longest_stall, silent);
  if (m_stopped || m_gave_up) {
    return;
  }
  const Duration limit = StallOptions(m_request.in_doubt_runs).limit;
  if (silent >= limit * kHangFactor || m_request.may_move(m_request.progress)) {
    m_gave_up = true;
    Abort();
  }
}

void ItemRun::EndRead() {
  const std::optional<Duration> stall = m_stall_watch.EndRead();
  m_longest_stall = std::max(m_longest_stall, stall.value_or(Duration::zero()));
}

void ItemRun::Abort() {
  if (m_abort != nullptr) {
    m_abort->Abort();
  }
  if (m_response != nullptr) {
    m_response->Abort();
  }
}

ItemRunOutcome ItemRun::EndInDoubt(AttemptLease& lease,
                                   std::string failure_reason) {
  if (m_stopped) {
    m_failure_reason = "the run was stopped by this process";
    return ItemRunOutcome::kInterrupted;
  }
  lease.SetOutcome(AttemptOutcome::kFailed);
  m_failure_reason = std::move(failure_reason);
  return ItemRunOutcome::kInDoubt;
}

ItemRunOutcome ItemRun::EndAfterError(AttemptLease& lease, const Error& error) {
  if (m_gave_up) {
    return EndInDoubt(lease, "the backend server was silent");
  }
  // A timeout has many causes.
  m_broke_off = !m_stopped && error.kind() == ErrorKind::kInDoubt;
  return EndInDoubt(lease, error.message);
}

awaitable<ItemRunOutcome> ItemRun::Run(AttemptLease& lease) {
  BackendCall call = m_request.call;
  call.last_event = m_request.progress.last_event;
  HttpRequest request{.method = "POST",
                      .target = m_request.item.target,
                      .headers = platform::EncodeItemHeaders(
                          m_request.item.headers, m_request.host,
                          AttemptId(m_request.item.id.value()), call),
                      .body = m_request.item.body};
  m_abort = std::make_shared<HttpAbort>();
  m_abort->SetSendCondition([&lease] { return lease.BeginSend(); });
  const auto client = lease.client();
  const Duration timeout = m_request.call.deadline;
  m_stall_watch.BeginRead();
  RequestTag tag(m_request.item.id.value());
  Result<std::unique_ptr<HttpResponseStream>> opened = co_await client->Open(
      std::move(request), timeout, m_abort, std::move(tag), PeerCheck::kNeeded);
  EndRead();
  if (!opened.has_value()) {
    if (opened.error().kind() == ErrorKind::kInvalidArgument) {
      // Submitted under an earlier release that accepted it.
      m_failure_reason = opened.error().message;
      co_return ItemRunOutcome::kUnprocessable;
    }
    if (opened.error().kind() == ErrorKind::kUnavailable && !m_stopped) {
      m_withheld = lease.was_withheld();
      m_unverified = m_abort->check_failed();
      lease.SetOutcome(m_withheld ? AttemptOutcome::kCancelled
                                  : AttemptOutcome::kFailed);
      m_failure_reason = opened.error().message;
      co_return ItemRunOutcome::kNotRun;
    }
    co_return EndAfterError(lease, opened.error());
  }
  m_response = std::move(opened.value());
  co_return co_await ReadResponse(lease);
}

awaitable<ItemRunOutcome> ItemRun::ReadResponse(AttemptLease& lease) {
  const int status = m_response->status();
  const AttemptId attempt(m_request.item.id.value());
  m_failure_reason =
      "the backend server answered status " + std::to_string(status);
  const ResponseClassification classified =
      ClassifyResponse(*m_response, attempt);
  if (classified.is_leaving) {
    lease.MarkBackendLeaving();
  }
  if (classified.from_backend) {
    lease.RecordLimit(classified.limit);
    lease.RecordColdness(classified.cold_remaining);
  }
  switch (classified.kind) {
    case ResponseKind::kOtherRequest:
      co_return EndInDoubt(lease, "the response belongs to another request");
    case ResponseKind::kNotRun:
      lease.SetOutcome(AttemptOutcome::kFull);
      co_return ItemRunOutcome::kNotRun;
    case ResponseKind::kUnverified:
      co_return EndInDoubt(
          lease,
          "the response is encoded or has no backend server's signature");
    case ResponseKind::kFailure:
      co_return HandleFailureStatus(lease, status);
    case ResponseKind::kSuccess:
      m_failure_reason.clear();
      break;
  }
  co_return co_await ReadEvents(lease);
}

ItemRunOutcome ItemRun::HandleFailureStatus(AttemptLease& lease, int status) {
  switch (status) {
    case 422:
      lease.SetOutcome(AttemptOutcome::kCompleted);
      return ItemRunOutcome::kUnprocessable;
    case 500:
      lease.SetOutcome(AttemptOutcome::kCompleted);
      return ItemRunOutcome::kFailed;
    default:
      return EndInDoubt(lease, m_failure_reason);
  }
}

awaitable<ItemRunOutcome> ItemRun::ReadEvents(AttemptLease& lease) {
  const MonotonicTime deadline =
      MonotonicClock::now() + m_request.call.deadline;
  while (true) {
    const Duration timeout = deadline - MonotonicClock::now();
    if (timeout <= Duration::zero()) {
      co_return EndInDoubt(lease, "the run did not end by its deadline");
    }
    m_stall_watch.BeginRead();
    Result<std::optional<std::string>> chunk =
        co_await m_response->ReadSome(timeout);
    EndRead();
    if (!chunk.has_value()) {
      co_return EndAfterError(lease, chunk.error());
    }
    if (!chunk.value().has_value()) {
      break;
    }
    const Result<std::vector<SseEvent>> events =
        m_event_reader.FeedEvents(*chunk.value());
    if (!events.has_value() || !AppendEvents(events.value())) {
      co_return EndInDoubt(
          lease, "the events are malformed, out of order or too long");
    }
    if (!FitsIntoMemory()) {
      co_return EndInDoubt(lease, "there is no room for the output");
    }
  }
  const Result<void> complete =
      co_await ConfirmStreamEnd(*m_response, m_event_reader, lease);
  if (!complete.has_value()) {
    co_return EndAfterError(lease, complete.error());
  }
  lease.SetOutcome(AttemptOutcome::kCompleted);
  co_return ItemRunOutcome::kCompleted;
}

bool ItemRun::FitsIntoMemory() {
  ItemProgress& progress = m_request.progress;
  if (progress.memory == nullptr) {
    progress.memory = std::make_shared<MemoryShare>(m_request.memory);
  }
  if (m_memory.Resize(m_event_reader.partial_event().capacity()) &&
      progress.memory->Resize(progress.output.capacity())) {
    return true;
  }
  // The output would be kept until the next run.
  ItemProgress none{.failed_runs = progress.failed_runs};
  std::swap(progress, none);
  return false;
}

bool ItemRun::AppendEvents(const std::vector<SseEvent>& events) {
  ItemProgress& progress = m_request.progress;
  for (const SseEvent& event : events) {
    if (!event.id.has_value() || !event.data.has_value() ||
        *event.id != progress.last_event + 1 ||
        progress.output.size() + event.data->size() >= kMaxOutputBytes) {
      return false;
    }
    if (progress.last_event > 0) {
      progress.output += '\n';
    }
    progress.output += *event.data;
    progress.version = m_request.version;
    progress.service = m_request.service;
    progress.last_event = *event.id;
  }
  const uint32_t before = m_event_count;
  m_event_count += static_cast<uint32_t>(events.size());
  if (m_request.on_events) {
    m_request.on_events(before, m_event_count);
  }
  return true;
}

}  // namespace cowslip
