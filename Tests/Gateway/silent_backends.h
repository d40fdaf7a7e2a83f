#ifndef TESTS_GATEWAY_SILENT_BACKENDS_H_
#define TESTS_GATEWAY_SILENT_BACKENDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "gateway_fixture.h"

namespace cowslip {

/// \class SilentBackends
/// \brief A gateway with backend servers that fall silent, and routes whose
/// timeout is far longer than the silences.
class SilentBackends : public GatewayFixture {
 public:
  /// Silences before some events, see ModelBehaviour.
  using Silences = std::map<uint64_t, Duration>;

  /// The events of an answer.
  static constexpr uint64_t kEvents = 6;
  /// A backend server may work on a request that goes on elsewhere for no
  /// longer.
  static constexpr Duration kMaxOverlap = std::chrono::milliseconds(400);
  /// Longer than any test.
  static constexpr Duration kForGood = std::chrono::seconds(60);

  SilentBackends(size_t backends, const Silences& silences);

  /// A request whose deadline is far longer than the silences.
  static HttpRequest SlowRequest(const std::string& target,
                                 const std::string& attempt,
                                 const std::string& deadline_ms = "9000");
  /// Checks that the caller gets the whole answer.
  boost::asio::awaitable<void> CheckServed(const std::string& target,
                                           const std::string& attempt);
  void SetEntryField(size_t backend,
                     const std::string& field,
                     const nlohmann::json& value);
  /// Call it before WaitUntilReady().
  void SetMaxAttempts(int max_attempts);
  /// Calls `change` for the other backend servers once one has been asked.
  void ChangeOthersOnceAsked(std::function<void(size_t other)> change);
  /// Measures how long two backend servers are at work at a time, until `done`.
  void MeasureOverlap(const bool& done, Duration& longest);
  /// The backend servers that the requests reached.
  std::set<size_t> Asked();
  /// The backend servers that are at work now.
  std::set<size_t> AtWork();

 private:
  const size_t m_count;
};

}  // namespace cowslip

#endif  // TESTS_GATEWAY_SILENT_BACKENDS_H_
