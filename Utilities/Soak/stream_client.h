#ifndef UTILITIES_SOAK_STREAM_CLIENT_H_
#define UTILITIES_SOAK_STREAM_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Utilities/Soak/random.h"
#include "Utilities/Soak/stream_history.h"

namespace soak {

class GatewayProcess;

/// \class StreamClient
/// \brief Requests one stream, and resumes it at another gateway when its
/// connection breaks, within 5 s in all.
class StreamClient {
 public:
  struct Options {
    std::string path;
    bool may_resume = false;
    /// After how many events of its first attempt the client itself breaks off
    /// the connection; 0 for never.
    uint64_t leaves_after = 0;
    uint64_t seed = 0;
  };

  StreamClient(Options options, std::vector<const GatewayProcess*> gateways);

  StreamHistory Run();

 private:
  enum class Next { kDone, kResume, kGiveUp };
  Next Attempt(const GatewayProcess& gateway);
  // Reads the body. Returns how it ended.
  std::string ReadEvents(int fd, std::string bytes, bool in_chunks);
  void TakeEvents();

  const Options m_options;
  const std::vector<const GatewayProcess*> m_gateways;
  Random m_random;
  double m_deadline = 0;
  std::string m_partial;
  StreamHistory m_history;
};

}  // namespace soak

#endif  // UTILITIES_SOAK_STREAM_CLIENT_H_
