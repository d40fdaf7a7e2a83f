#include "Gateway/stream_end.h"

#include "Net/http_client.h"
#include "Net/sse_reader.h"

namespace cowslip {

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

}  // namespace cowslip
