#ifndef SOURCE_GATEWAY_SHUTDOWN_NOTICE_H_
#define SOURCE_GATEWAY_SHUTDOWN_NOTICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "Base/time.h"

namespace cowslip {

/// \class ShutdownNotice
/// \brief Tells the requests in progress by when they need an answer, because
/// the process exits then.
class ShutdownNotice {
 public:
  using Callbacks = std::map<uint64_t, std::function<void()>>;

  /// \class Registration
  /// \brief Ends a callback's registration when destroyed.
  class Registration {
   public:
    Registration(std::shared_ptr<Callbacks> callbacks, uint64_t number)
        : m_callbacks(std::move(callbacks)), m_number(number) {}
    ~Registration() { m_callbacks->erase(m_number); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    // Requests may outlive the notice.
    const std::shared_ptr<Callbacks> m_callbacks;
    const uint64_t m_number;
  };

  /// A shutdown has begun, or its end has been moved. Requests that come from
  /// `late_from` on are late.
  void SetDue(MonotonicTime late_from, MonotonicTime due) {
    m_late_from = late_from;
    m_due = due;
  }
  /// Whether a request that has not been sent to a backend server would be cut
  /// off there: it is late, and neither its deadline nor `run_time`, nullopt
  /// if nothing is known of it, ends before the process has to answer. Without
  /// a known time, a request may begin in the first half of the time that late
  /// requests have.
  bool IsTooLate(MonotonicTime deadline,
                 std::optional<Duration> run_time,
                 MonotonicTime now) const;
  /// Calls back all requests in progress: their time is up.
  void Expire();
  bool expired() const { return m_expired; }
  /// The deadline of a request that is called back: `deadline` until the first
  /// Expire(), because the time that this process has may change before.
  MonotonicTime Limit(MonotonicTime deadline) const;
  /// The earlier of `deadline` and the time by which this process needs to have
  /// answered, as far as it is known now.
  MonotonicTime LimitNow(MonotonicTime deadline) const;
  /// Registers a callback for Expire(). The callback must not register or end
  /// others.
  [[nodiscard]] Registration OnExpired(std::function<void()> callback);

 private:
  std::optional<MonotonicTime> m_due;
  MonotonicTime m_late_from;
  bool m_expired = false;
  uint64_t m_last_number = 0;
  const std::shared_ptr<Callbacks> m_callbacks = std::make_shared<Callbacks>();
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SHUTDOWN_NOTICE_H_
