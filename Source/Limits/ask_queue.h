#ifndef SOURCE_LIMITS_ASK_QUEUE_H_
#define SOURCE_LIMITS_ASK_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Limits/limits_events.h"

namespace cowslip {

/// \class WaitingAsk
/// \brief An admission that waits for an owner's answer.
struct WaitingAsk {
  AdmissionId admission;
  OrganisationId organisation;
  double cost = 0;
  LimitsShard shard;
  MonotonicTime deadline;
  /// Empty until it has been sent.
  VmId sent_to;
  MonotonicTime sent_at;
  uint32_t attempt = 0;
};

/// \class AskQueue
/// \brief The admissions that wait, each with a bound.
class AskQueue {
 public:
  void Add(WaitingAsk ask);
  size_t size() const { return m_waiting.size(); }
  bool HasUnsent() const { return !m_unsent.empty(); }

  /// The ids of asks that nobody has been sent yet.
  std::vector<uint64_t> Unsent() const;
  const WaitingAsk& Get(uint64_t id) const { return m_waiting.at(id); }
  /// Null when the ask has ended.
  const WaitingAsk* Find(uint64_t id) const {
    const auto found = m_waiting.find(id);
    return found == m_waiting.end() ? nullptr : &found->second;
  }
  void MarkSent(uint64_t id, const VmId& to, MonotonicTime now);
  /// That VM will not answer: the asks go to the next owner.
  void MarkUnsent(const VmId& was_sent_to);
  void MarkUnsent(uint64_t id);

  /// Ends an ask; nothing when it has ended before.
  std::optional<WaitingAsk> Finish(uint64_t id);
  /// Ends the asks that have waited for too long.
  std::vector<WaitingAsk> Expire(MonotonicTime now);

 private:
  uint64_t m_last_id = 0;
  /// Older asks, with earlier deadlines, come first.
  std::map<uint64_t, WaitingAsk> m_waiting;
  std::set<uint64_t> m_unsent;
};

}  // namespace cowslip

#endif  // SOURCE_LIMITS_ASK_QUEUE_H_
