#ifndef SOURCE_GATEWAY_STREAM_END_H_
#define SOURCE_GATEWAY_STREAM_END_H_

#include <boost/asio/awaitable.hpp>

#include "Base/result.h"

namespace cowslip {

class AttemptLease;
class HttpResponseStream;
class SseReader;

/// Checks a stream of events whose body has ended; `events` has read all of it.
/// The end of the body alone does not show that the stream is complete, because
/// a body that ends with its connection ends early when the backend server
/// crashes. Errors: kInDoubt when the backend server broke the stream off
/// inside an event or, if the body ends with its connection, before the first
/// event.
Result<void> CheckStreamEnd(const HttpResponseStream& response,
                            const SseReader& events);

/// If the body ends with its connection, asks whether the process that wrote it
/// still runs: the kernel closes the connections of a process that is killed as
/// the process does at the end of a body. A call that is cut off is repeated,
/// since the kernel closes them one after the other. Errors: kInDoubt when
/// nothing accepts connections there any more or another incarnation of the
/// backend server does. A backend server whose entry or report does not tell
/// its start is not asked about. `lease` must outlive the call.
boost::asio::awaitable<Result<void>> ConfirmBodyEnd(
    const HttpResponseStream& response,
    const AttemptLease& lease);

/// CheckStreamEnd() and ConfirmBodyEnd().
boost::asio::awaitable<Result<void>> ConfirmStreamEnd(
    const HttpResponseStream& response,
    const SseReader& events,
    const AttemptLease& lease);

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STREAM_END_H_
