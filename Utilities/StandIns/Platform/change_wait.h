#ifndef UTILITIES_STANDINS_PLATFORM_CHANGE_WAIT_H_
#define UTILITIES_STANDINS_PLATFORM_CHANGE_WAIT_H_

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Utilities/StandIns/Platform/fake_platform.h"

namespace cowslip {

/// \class ChangeWait
/// \brief One waiting watch on a FakePlatform.
class ChangeWait {
 public:
  ChangeWait(const boost::asio::any_io_executor& executor,
             FakePlatform& platform,
             std::string prefix,
             ObjectVersion since);
  ~ChangeWait();
  ChangeWait(const ChangeWait&) = delete;
  ChangeWait& operator=(const ChangeWait&) = delete;

  /// Returns once there are changes or the history is compacted, after
  /// `timeout`, or after Cancel(); then without changes.
  boost::asio::awaitable<WatchResult> Run(Duration timeout);
  void Cancel();

 private:
  bool IsOver() const;

  FakePlatform& m_platform;
  const std::string m_prefix;
  const ObjectVersion m_since;
  boost::asio::steady_timer m_timer;
  uint64_t m_subscription = 0;
  bool m_cancelled = false;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_PLATFORM_CHANGE_WAIT_H_
