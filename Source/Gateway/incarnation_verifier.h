#ifndef SOURCE_GATEWAY_INCARNATION_VERIFIER_H_
#define SOURCE_GATEWAY_INCARNATION_VERIFIER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "Base/result.h"
#include "Base/time.h"
#include "Fleet/backend_record.h"

namespace cowslip {

struct ConnectionCheck;
class EventLog;
struct HttpResponse;

/// \class IncarnationVerifierOptions
/// \brief Limits on the checks.
struct IncarnationVerifierOptions {
  /// How long a connection's check may take. A report needs no slot, so it
  /// takes a round trip, as a connection does; both together leave most of the
  /// two seconds after which callers give up for another backend server.
  Duration timeout = std::chrono::milliseconds(400);
  /// How often service discovery is read ahead of the watch at most: a backend
  /// server's heartbeats are 1.2 s apart.
  Duration min_read_interval = std::chrono::seconds(1);
  /// Incarnations that are remembered as having logged that they do not tell
  /// their start.
  size_t max_silent_incarnations = 10'000;
};

/// \class IncarnationVerifier
/// \brief Makes the check that the backend server at the other end of a
/// connection is the incarnation that service discovery lists.
///
/// A backend server that restarts under its id at another software version is
/// listed as before until its next heartbeat has been read. A connection ends
/// with its process, so one answer holds for as long as the connection lives.
class IncarnationVerifier {
 public:
  /// `read_directory` is called when service discovery should be read again.
  /// Both must outlive the checks.
  IncarnationVerifier(EventLog& log,
                      std::function<void()> read_directory,
                      IncarnationVerifierOptions options = {});

  /// Returns null when the entry does not hold the start of the backend server.
  /// Errors of the check: kConflict when another incarnation answers, other
  /// kinds when the answer is no report.
  std::shared_ptr<const ConnectionCheck> CheckFor(const BackendRecord& record);

 private:
  Result<void> Judge(const BackendRecord& record, const HttpResponse& response);
  void LogSilentIncarnation(const BackendRecord& record, int status);
  void ReadDirectory();

  EventLog& m_log;
  const std::function<void()> m_read_directory;
  const IncarnationVerifierOptions m_options;
  std::optional<MonotonicTime> m_last_read;
  // By the start in the entry.
  std::map<BackendId, uint64_t> m_silent_incarnations;
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_INCARNATION_VERIFIER_H_
