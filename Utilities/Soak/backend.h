#ifndef UTILITIES_SOAK_BACKEND_H_
#define UTILITIES_SOAK_BACKEND_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "Utilities/Soak/random.h"
#include "review/harness/harness.h"

namespace soak {

class RunLog;

/// \class BackendFaults
/// \brief What all backend servers do wrong at the moment, as shares of their
/// responses.
struct BackendFaults {
  std::atomic<double> cut = 0;
  std::atomic<double> garble = 0;
  std::atomic<double> extra = 0;
  std::atomic<double> stall = 0;
  /// Whether responses may have no length and end with their connection.
  bool ends_with_connection = true;
  /// Whether responses may have a length.
  bool with_length = true;
};

/// The number of events of a request, from its path.
uint64_t EventCount(const std::string& path);

/// \class Backend
/// \brief A backend server on a port of its own, which it keeps over restarts.
class Backend {
 public:
  struct Options {
    std::string ip;
    std::string id;
    uint64_t seed = 0;
    int slots = 8;
    int queue = 24;
  };
  enum class End { kNone, kFin, kReset };

  Backend(Options options, BackendFaults& faults, RunLog& runs);
  ~Backend();

  void Start(const std::string& version);
  /// Ends all connections, as the end of a process does. With `inside`, half of
  /// an event is sent before.
  void Kill(End end, bool inside);
  bool is_running() const { return m_server != nullptr; }
  /// Whether responses announce the end of their connection.
  void SetLeaving() { m_is_leaving = true; }

  /// Stops all work and all reading, as SIGSTOP does.
  void SetFrozen(bool frozen) { m_is_frozen = frozen; }
  /// The store names this version now.
  void SetListed() { m_is_listed = true; }

  const std::string& id() const { return m_options.id; }
  const std::string& version() const { return m_version; }
  uint64_t incarnation() const { return m_incarnation; }
  /// The spec of its entry in the store.
  std::string Entry(const std::string& state) const;

 private:
  void Serve(review::Connection& connection);
  /// False if the connection is to be closed.
  bool Answer(const review::Message& request,
              review::Connection& connection,
              std::string& extra,
              Random& random);
  bool Run(const review::Message& request,
           review::Connection& connection,
           std::string& extra,
           Random& random);
  bool TakeSlot(const review::Connection& connection);
  /// False if the server ends or the caller has left meanwhile.
  bool Pause(double seconds, const review::Connection& connection) const;

  const Options m_options;
  BackendFaults& m_faults;
  RunLog& m_runs;
  std::string m_version;
  uint64_t m_incarnation = 0;
  uint64_t m_born_ms = 0;
  uint16_t m_port = 0;
  std::atomic<End> m_end{End::kNone};
  std::atomic<bool> m_ends_inside{false};
  std::atomic<bool> m_is_leaving{false};
  std::atomic<bool> m_is_listed{false};
  std::atomic<bool> m_is_frozen{false};
  std::atomic<int> m_free_slots{0};
  std::atomic<int> m_waiting{0};
  std::atomic<int> m_connections{0};
  std::atomic<uint64_t> m_connection_count{0};
  std::unique_ptr<review::Server> m_server;
};

}  // namespace soak

#endif  // UTILITIES_SOAK_BACKEND_H_
