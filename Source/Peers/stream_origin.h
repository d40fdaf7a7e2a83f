#ifndef SOURCE_PEERS_STREAM_ORIGIN_H_
#define SOURCE_PEERS_STREAM_ORIGIN_H_

#include "Base/ids.h"
#include "Fleet/backend_record.h"
#include "Fleet/caller_request.h"

namespace cowslip {

/// \class StreamOrigin
/// \brief The software version that wrote the first event of a stream. A caller
/// that resumes the stream names the attempt.
struct StreamOrigin {
  AttemptId attempt;
  ServiceId service;
  SoftwareVersion version;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_STREAM_ORIGIN_H_
