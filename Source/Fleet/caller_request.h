#ifndef SOURCE_FLEET_CALLER_REQUEST_H_
#define SOURCE_FLEET_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"

namespace cowslip {

/// One attempt of a client, as the client names it.
using AttemptId = StrongId<struct AttemptIdTag>;

/// \class CallerRequest
/// \brief What the headers of a caller's request say.
struct CallerRequest {
  AttemptId attempt;
  std::string host;
  std::string key;
  /// How long the caller still waits.
  std::optional<Duration> deadline;
  /// The last event that the caller has of a stream that it resumes.
  uint64_t last_event = 0;
  /// How long a read of results may wait.
  Duration result_wait{0};
  /// Names the parts of the prompt that other requests share; empty for none.
  std::string shared_prompt;
};

/// \class BackendCall
/// \brief What is added to a request when it is passed on.
struct BackendCall {
  OrganisationId organisation;
  /// The only incarnation that may run it.
  BackendId backend;
  /// What is left of the time that the caller waits.
  Duration deadline{0};
  /// Events up to this one have been received; 0 to begin at the start.
  uint64_t last_event = 0;
};

/// \class BackendResponse
/// \brief What the headers of a backend server's response say.
struct BackendResponse {
  std::optional<AttemptId> attempt;
  /// The backend server vouches for the response.
  bool has_signature = false;
  /// The request did not run and will not.
  bool not_executed = false;
  /// The body has been encoded on the way, so that it isn't the backend
  /// server's.
  bool is_encoded = false;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_CALLER_REQUEST_H_
