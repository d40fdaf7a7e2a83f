#ifndef UTILITIES_SOAK_RUN_LOG_H_
#define UTILITIES_SOAK_RUN_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace soak {

/// \class RunRecord
/// \brief What a backend server did with one request. Times in seconds since
/// the start of the soak.
struct RunRecord {
  double began = 0;
  double ended = 0;
  std::string backend;
  std::string version;
  uint64_t incarnation = 0;
  /// The first and the last event that were sent.
  uint64_t first = 0;
  uint64_t last = 0;
  /// Whether the store named this version when the run began.
  bool is_listed = false;
  std::string framing;
  std::string end;

  std::string Text() const;
};

/// \class RunLog
/// \brief The runs of all backend servers, by `Attempt-Id`.
class RunLog {
 public:
  void Add(const std::string& attempt, RunRecord run) {
    const std::lock_guard lock(m_mutex);
    m_runs[attempt].push_back(std::move(run));
  }
  std::vector<RunRecord> Of(const std::string& attempt) {
    const std::lock_guard lock(m_mutex);
    return m_runs[attempt];
  }

 private:
  std::mutex m_mutex;
  std::map<std::string, std::vector<RunRecord>> m_runs;
};

}  // namespace soak

#endif  // UTILITIES_SOAK_RUN_LOG_H_
