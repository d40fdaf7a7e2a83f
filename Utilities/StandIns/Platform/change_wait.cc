#include "Utilities/StandIns/Platform/change_wait.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cowslip {

ChangeWait::ChangeWait(const boost::asio::any_io_executor& executor,
                       FakePlatform& platform,
                       std::string prefix,
                       ObjectVersion since)
    : m_platform(platform),
      m_prefix(std::move(prefix)),
      m_since(since),
      m_timer(executor) {
  m_subscription =
      m_platform.Subscribe([this](const ObjectKey&) { m_timer.cancel(); });
}

ChangeWait::~ChangeWait() {
  m_platform.Unsubscribe(m_subscription);
}

bool ChangeWait::IsOver() const {
  const WatchResult result = m_platform.ChangesSince(m_prefix, m_since);
  return m_cancelled || result.compacted || !result.changes.empty();
}

boost::asio::awaitable<WatchResult> ChangeWait::Run(Duration timeout) {
  const MonotonicTime deadline = MonotonicClock::now() + timeout;
  while (!IsOver() && MonotonicClock::now() < deadline) {
    m_timer.expires_after(deadline - MonotonicClock::now());
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    co_await m_timer.async_wait(token);
  }
  co_return m_platform.ChangesSince(m_prefix, m_since);
}

void ChangeWait::Cancel() {
  m_cancelled = true;
  m_timer.cancel();
}

}  // namespace cowslip
