#ifndef SOURCE_FLEET_CALLER_REQUEST_H_
#define SOURCE_FLEET_CALLER_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Base/ids.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"
#include "Fleet/request_rate.h"

namespace cowslip {

/// Identifies one attempt of a client; chosen by the client.
using AttemptId = StrongId<struct AttemptIdTag>;

/// Identifies one part of a prompt that several requests share.
using PromptPartId = StrongId<struct PromptPartIdTag>;

/// \class CallerRequest
/// \brief The parsed headers of a caller's request.
struct CallerRequest {
  AttemptId attempt;
  std::string host;
  std::string key;
  /// Remaining time that the caller waits for the response.
  std::optional<Duration> deadline;
  /// Number of the last event that the caller received, if it resumes a stream;
  /// otherwise 0.
  uint64_t last_event = 0;
  /// The attempt that received the first event of the stream that the caller
  /// resumes; empty if it names none.
  AttemptId resumes;
  /// Maximum time that a read of results waits for new results.
  Duration result_wait{0};
  /// Identifies the parts of the prompt that other requests share; empty if
  /// there are none.
  std::string shared_prompt;
  /// The same parts one by one, in the order of the prompt.
  std::vector<PromptPartId> shared_parts;
};

/// \class BackendCall
/// \brief The values that are added as headers to a request when it is
/// forwarded to a backend server.
struct BackendCall {
  OrganisationId organisation;
  /// The only incarnation that may run the request.
  BackendId backend;
  /// Remaining time until the caller stops waiting.
  Duration deadline{0};
  /// Number of the last event that was received; 0 to start from the beginning.
  uint64_t last_event = 0;
};

/// \class BackendResponse
/// \brief The parsed headers of a backend server's response.
struct BackendResponse {
  std::optional<AttemptId> attempt;
  /// The response has a signature, which marks it as the backend server's own;
  /// only the presence of the header is checked.
  bool has_signature = false;
  /// The request was not run and will not be run.
  bool not_executed = false;
  /// The body has a content encoding. An intermediary applied it, so the body
  /// is not the one that the backend server sent.
  bool is_encoded = false;
  /// The backend server is about to leave; requests that arrive much later may
  /// be lost with it.
  bool is_leaving = false;
  /// How many requests the backend server takes from all callers together;
  /// nullopt if it names no limit.
  std::optional<RequestRate> limit;
  /// How much longer the backend server says that it stays cold; nullopt if it
  /// does not say.
  std::optional<Duration> cold_remaining;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_CALLER_REQUEST_H_
