#ifndef SOURCE_GATEWAY_ITEM_RUN_H_
#define SOURCE_GATEWAY_ITEM_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Base/memory_share.h"
#include "Fleet/caller_request.h"
#include "Gateway/stall_watch.h"
#include "Jobs/job_scheduler.h"
#include "Jobs/job_types.h"
#include "Net/http_client.h"
#include "Net/sse_reader.h"

namespace cowslip {

class AttemptLease;

/// \class ItemRunRequest
/// \brief The inputs of one run of an item.
struct ItemRunRequest {
  JobItem item;
  std::string host;
  BackendCall call;
  /// The software version and the service of the backend server that is called.
  SoftwareVersion version;
  ServiceId service;
  ItemProgress progress;
  /// Called with the number of events that this run has received, before and
  /// after more have come.
  std::function<void(uint32_t before, uint32_t events)> on_events;
  /// The runs of the item before that ended in doubt.
  uint32_t in_doubt_runs = 0;
  /// Whether another backend server has a free slot to go on with the item.
  std::function<bool(const ItemProgress&)> may_move;
  /// Bounds what is held of responses; null for no bound.
  std::shared_ptr<MemoryBudget> memory{};
};

/// \class ItemRun
/// \brief One run of a batch item at one backend server. It collects the output
/// event by event, so that another run can resume after the last whole event.
/// A silence of the backend server ends the run only if the item may move or
/// the run hangs.
class ItemRun {
 public:
  ItemRun(boost::asio::io_context& context, ItemRunRequest request);

  /// Runs the item until it completes or fails, and sets the lease's outcome.
  boost::asio::awaitable<ItemRunOutcome> Run(AttemptLease& lease);
  /// Ends the run at once; Run() returns kInterrupted.
  void Stop();

  const ItemProgress& progress() const { return m_request.progress; }
  /// The service of the backend server that is called.
  const ServiceId& service() const { return m_request.service; }
  /// Whether the backend server has begun to answer.
  bool answer_began() const { return m_response != nullptr; }
  /// The number of whole events that this run has received.
  uint32_t events() const { return m_event_count; }
  /// Whether the request was not sent because the zone is being evacuated.
  bool was_withheld() const { return m_withheld; }
  /// Whether the request was not sent because the connection failed its check.
  bool was_unverified() const { return m_unverified; }
  /// Whether the connection failed during the run, or the response is
  /// malformed.
  bool broke_off() const { return m_broke_off; }
  /// Whether the body has neither a length nor chunks.
  bool ends_with_connection() const {
    return m_response != nullptr && m_response->ends_with_connection();
  }
  /// The longest silence that counts as a stall, zero if there was none.
  Duration longest_stall() const { return m_longest_stall; }
  const std::vector<PromptPartId>& shared_parts() const {
    return m_shared_parts;
  }
  /// Why the run did not complete, for the log. Empty after a success.
  const std::string& failure_reason() const { return m_failure_reason; }

 private:
  boost::asio::awaitable<ItemRunOutcome> ReadResponse(AttemptLease& lease);
  boost::asio::awaitable<ItemRunOutcome> ReadEvents(AttemptLease& lease);
  void HandleStall(Duration silent);
  /// The read under way has ended.
  void EndRead();
  void Abort();
  bool AppendEvents(const std::vector<SseEvent>& events);
  /// Returns false, and drops the output so far, when there is no room for it.
  bool FitsIntoMemory();
  /// Handles a response with a status other than 2xx.
  ItemRunOutcome HandleFailureStatus(AttemptLease& lease, int status);
  ItemRunOutcome EndInDoubt(AttemptLease& lease, std::string failure_reason);
  ItemRunOutcome EndAfterError(AttemptLease& lease, const Error& error);

  ItemRunRequest m_request;
  const std::vector<PromptPartId> m_shared_parts;
  std::shared_ptr<HttpAbort> m_abort;
  std::unique_ptr<HttpResponseStream> m_response;
  SseReader m_event_reader;
  // What is held of an event that is not whole.
  MemoryShare m_memory;
  uint32_t m_event_count = 0;
  std::string m_failure_reason;
  StallWatch m_stall_watch;
  Duration m_longest_stall{0};
  bool m_gave_up = false;
  bool m_stopped = false;
  bool m_broke_off = false;
  bool m_withheld = false;
  bool m_unverified = false;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_ITEM_RUN_H_
