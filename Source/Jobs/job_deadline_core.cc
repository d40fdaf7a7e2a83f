#include "Jobs/job_deadline_core.h"

#include <algorithm>
#include <cmath>

#include "Jobs/backlog_share.h"

namespace cowslip {

namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

JobDeadlineAction JobDeadlineCore::Handle(const JobDeadlineEvent& event,
                                          MonotonicTime now) {
  return std::visit(
      [&](const auto& alternative) { return Apply(alternative, now); }, event);
}

JobDeadlineAction JobDeadlineCore::Apply(const BatchSlotsSampled& event,
                                         MonotonicTime now) {
  const auto [found, is_new] = m_slots.try_emplace(event.service);
  SlotAverage& average = found->second;
  const bool rises = event.slots > average.slots;
  const double age =
      ToSeconds(now - average.updated_at) /
      ToSeconds(rises ? m_options.rise_time : m_options.fall_time);
  const double weight = is_new ? 1 : 1 - std::exp(-age);
  average.slots += weight * (event.slots - average.slots);
  if (event.all_slots >= average.all_slots ||
      now - average.all_slots_at > m_options.slot_memory) {
    average.all_slots = event.all_slots;
    average.all_slots_at = now;
  }
  average.updated_at = now;
  return JobDeadlineNoAction{};
}

JobDeadlineCore::Backlog JobDeadlineCore::BacklogOf(
    const JobDeadlineRequested& job,
    bool only_in_time) {
  Backlog backlog;
  for (const JobWork& work : job.work) {
    const ItemClass item_class =
        ClassOf(work.due, work.spare_slots_only, job.now, job.item_span);
    if (!only_in_time || item_class == ItemClass::kInTime) {
      backlog.items += work.items;
      backlog.own += work.organisation == job.organisation ? work.items : 0;
    }
  }
  return backlog;
}

JobDeadlineAction JobDeadlineCore::Apply(const JobDeadlineRequested& event,
                                         MonotonicTime) {
  bool is_known = false;
  double slots = 0;
  double all_slots = 0;
  for (const ServiceId& service : event.services) {
    const auto found = m_slots.find(service);
    if (found != m_slots.end()) {
      is_known = true;
      slots += found->second.slots;
      all_slots += found->second.all_slots;
    }
  }
  if (!is_known || event.item_time <= Duration::zero()) {
    return JobFits{};
  }
  if (all_slots == 0) {
    // Nothing is known of the rate.
    return JobFits{.in_time = false};
  }
  const double item_time = ToSeconds(event.item_time);
  const double rate = slots / item_time;
  const Backlog in_time = BacklogOf(event, true);
  const double room_in_time =
      rate * ToSeconds(event.time_to_due - event.item_span);
  if (Excess(room_in_time, in_time, event.items) <= 0) {
    return JobFits{.in_time = true};
  }
  const Backlog all = BacklogOf(event, false);
  const double room = all_slots / item_time * ToSeconds(event.time_left);
  const double excess = Excess(room, all, event.items);
  if (excess <= 0) {
    return JobFits{.in_time = false};
  }
  const double max_delay = ToSeconds(m_options.max_retry_delay);
  const double delay =
      rate > 0 ? std::min(excess / rate, max_delay) : max_delay;
  return JobDoesNotFit{
      .retry_after = std::max(m_options.min_retry_delay,
                              std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(delay))),
      .items_ahead = all.items,
      .room = static_cast<uint64_t>(room)};
}

double JobDeadlineCore::Excess(double room,
                               const Backlog& before,
                               uint32_t items) const {
  // A job with nothing before it is always tried.
  if (before.items == 0) {
    return 0;
  }
  const auto backlog = static_cast<double>(before.items);
  const double over = backlog + items - room;
  const double over_share = static_cast<double>(before.own + items) -
                            m_options.share_factor * (room - backlog);
  // The organisation's backlog and that of all shrink together.
  return std::max(over, over_share / (1 + m_options.share_factor));
}

}  // namespace cowslip
