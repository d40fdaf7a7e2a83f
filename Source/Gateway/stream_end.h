#ifndef SOURCE_GATEWAY_STREAM_END_H_
#define SOURCE_GATEWAY_STREAM_END_H_

#include "Base/result.h"

namespace cowslip {

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

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_STREAM_END_H_
