#ifndef UTILITIES_SOAK_STREAM_HISTORY_H_
#define UTILITIES_SOAK_STREAM_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace soak {

class RunLog;

/// \class StreamEvent
/// \brief One event as the client got it.
struct StreamEvent {
  uint64_t number = 0;
  std::string path;
  std::string version;
  /// The backend server and its incarnation.
  std::string backend;
  size_t attempt = 0;
  double at = 0;
};

/// Reads the data of an event: path|version|backend|number.
std::optional<StreamEvent> ParseEventData(const std::string& data);

/// \class StreamAttempt
/// \brief One request of the client.
struct StreamAttempt {
  std::string id;
  std::string gateway;
  double sent = 0;
  double ended = 0;
  uint64_t last_event = 0;
  int status = 0;
  std::string end;
};

/// \class StreamHistory
/// \brief All attempts at one stream, and what they brought.
struct StreamHistory {
  std::string path;
  bool may_resume = false;
  std::vector<StreamAttempt> attempts;
  std::vector<StreamEvent> events;
  bool is_complete = false;

  /// The classes of ORDER (and MIXED) that the stream breaks; empty if none.
  std::vector<std::string> Broken(RunLog& runs) const;
  std::string Text(RunLog& runs) const;
};

/// What the output of an item breaks; empty if nothing.
std::vector<std::string> BrokenOutput(const std::string& path,
                                      const std::string& output);

}  // namespace soak

#endif  // UTILITIES_SOAK_STREAM_HISTORY_H_
