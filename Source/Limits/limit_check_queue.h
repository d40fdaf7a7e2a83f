#ifndef SOURCE_LIMITS_LIMIT_CHECK_QUEUE_H_
#define SOURCE_LIMITS_LIMIT_CHECK_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Limits/limits_events.h"

namespace cowslip {

/// \class PendingLimitCheck
/// \brief A request that waits for the owner's reply.
struct PendingLimitCheck {
  AdmissionId admission;
  OrganisationId organisation;
  double cost = 0;
  LimitsShard shard;
  MonotonicTime deadline;
  /// Empty while the check is unsent.
  VmId sent_to;
  MonotonicTime sent_at;
  uint32_t attempt = 0;
};

/// \class LimitCheckQueue
/// \brief The requests that wait for an owner's reply, each with a deadline.
class LimitCheckQueue {
 public:
  void Add(PendingLimitCheck check);
  size_t size() const { return m_waiting.size(); }
  bool HasUnsent() const { return !m_unsent.empty(); }

  /// The ids of the checks that have to be sent.
  std::vector<uint64_t> Unsent() const;
  const PendingLimitCheck& Get(uint64_t id) const { return m_waiting.at(id); }
  /// Null when the check has ended.
  const PendingLimitCheck* Find(uint64_t id) const {
    const auto found = m_waiting.find(id);
    return found == m_waiting.end() ? nullptr : &found->second;
  }
  void MarkSent(uint64_t id, const VmId& to, MonotonicTime now);
  /// That VM will not reply: its checks have to be sent to the next owner.
  void MarkUnsent(const VmId& was_sent_to);
  void MarkUnsent(uint64_t id);

  /// Removes and returns a check; nullopt when it has ended before.
  std::optional<PendingLimitCheck> Finish(uint64_t id);
  /// Removes and returns the checks whose deadline has passed.
  std::vector<PendingLimitCheck> Expire(MonotonicTime now);

 private:
  uint64_t m_last_id = 0;
  /// Older checks, with earlier deadlines, come first.
  std::map<uint64_t, PendingLimitCheck> m_waiting;
  std::set<uint64_t> m_unsent;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_LIMIT_CHECK_QUEUE_H_
