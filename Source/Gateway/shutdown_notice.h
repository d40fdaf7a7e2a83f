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
  /// \class Callbacks
  /// \brief What one request does about the shutdown. A callback must not
  /// register or end others.
  struct Callbacks {
    /// Late requests are rejected from now on, or the time by which the answers
    /// are due may have changed since; called repeatedly.
    std::function<void()> late;
    /// The request's time is up.
    std::function<void()> expired;
  };
  using Registrations = std::map<uint64_t, Callbacks>;

  /// \class Registration
  /// \brief Ends a request's registration when destroyed.
  class Registration {
   public:
    Registration(std::shared_ptr<Registrations> registrations, uint64_t number)
        : m_registrations(std::move(registrations)), m_number(number) {}
    ~Registration() { m_registrations->erase(m_number); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    // Requests may outlive the notice.
    const std::shared_ptr<Registrations> m_registrations;
    const uint64_t m_number;
  };

  /// A shutdown has begun, or its end has been moved. Requests that come from
  /// `late_from` on are late.
  void SetDue(MonotonicTime late_from, MonotonicTime due);
  /// Whether a request that has not been sent to a backend server could be cut
  /// off there: it is late, and its deadline does not end before the earliest
  /// time that was named for the answers. No other bound on the time of its run
  /// holds: runs may be longer than those before them, and a stop that was
  /// prolonged may be shortened again.
  bool IsTooLate(MonotonicTime deadline, MonotonicTime now) const;
  /// Calls Callbacks::late of all requests in progress, once late requests are
  /// rejected.
  void NotifyLate(MonotonicTime now);
  /// Calls Callbacks::expired of all requests in progress.
  void Expire();
  bool expired() const { return m_expired; }
  /// The deadline of a request that is called back: `deadline` until the first
  /// Expire(), because the time that this process has may change before.
  MonotonicTime Limit(MonotonicTime deadline) const;
  /// The earlier of `deadline` and the time by which this process needs to have
  /// answered, as far as it is known now.
  MonotonicTime LimitNow(MonotonicTime deadline) const;
  [[nodiscard]] Registration Register(Callbacks callbacks);

 private:
  std::optional<MonotonicTime> m_due;
  // The earliest of all values of `m_due`.
  MonotonicTime m_earliest_due = MonotonicTime::max();
  MonotonicTime m_late_from;
  bool m_expired = false;
  uint64_t m_last_number = 0;
  const std::shared_ptr<Registrations> m_registrations =
      std::make_shared<Registrations>();
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SHUTDOWN_NOTICE_H_
