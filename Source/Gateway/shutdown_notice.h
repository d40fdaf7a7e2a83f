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

  /// A shutdown has begun, or its end has been moved.
  void SetDue(MonotonicTime due) { m_due = due; }
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
  bool m_expired = false;
  uint64_t m_last_number = 0;
  const std::shared_ptr<Callbacks> m_callbacks = std::make_shared<Callbacks>();
};

}  // namespace cowslip

#endif  // SOURCE_GATEWAY_SHUTDOWN_NOTICE_H_
