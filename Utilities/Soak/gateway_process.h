#ifndef UTILITIES_SOAK_GATEWAY_PROCESS_H_
#define UTILITIES_SOAK_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace soak {

/// \class GatewayProcess
/// \brief A gateway, started as a process of its own. It must be started from a
/// thread that lives as long as the soak, with which it ends.
class GatewayProcess {
 public:
  struct Options {
    std::string program;
    std::string name;
    std::string ip;
    /// The address of the store, or of a proxy before it.
    std::string store;
    std::string folder;
  };

  explicit GatewayProcess(Options options);
  ~GatewayProcess();

  void Start();
  /// Does nothing if the process does not run.
  void Signal(int signal);
  /// Sends SIGKILL and waits for the end.
  void Kill();
  bool Runs();
  bool IsReady() const;

  const std::string& name() const { return m_options.name; }
  const std::string& ip() const { return m_options.ip; }
  uint16_t front() const;

 private:
  const Options m_options;
  pid_t m_pid = -1;
  int m_starts = 0;
};

}  // namespace soak

#endif  // UTILITIES_SOAK_GATEWAY_PROCESS_H_
