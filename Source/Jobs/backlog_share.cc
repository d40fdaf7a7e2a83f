#include "Jobs/backlog_share.h"

#include <algorithm>
#include <map>
#include <tuple>
namespace cowslip {

namespace {

// A part of a job's items that has the same place in the queue.
struct QueuedItems {
  ItemClass item_class = ItemClass::kInTime;
  size_t turn = 0;
  WallTime due;
  const JobWork* work = nullptr;
  uint32_t count = 0;
};

bool IsBefore(const QueuedItems& a, const QueuedItems& b) {
  return std::tie(a.item_class, a.turn, a.due, a.work->job) <
         std::tie(b.item_class, b.turn, b.due, b.work->job);
}

// Splits a job's items by turns. `position` is the number of items of its
// organisation before it, and counts them.
void AddByTurns(const JobWork& work,
                ItemClass item_class,
                size_t& position,
                std::vector<QueuedItems>& queue) {
  uint32_t left = work.items;
  while (left > 0) {
    const size_t turn = position / kItemsPerTurn;
    const size_t room = (turn + 1) * kItemsPerTurn - position;
    const auto count = static_cast<uint32_t>(std::min<size_t>(left, room));
    queue.push_back({item_class, turn, work.due, &work, count});
    position += count;
    left -= count;
  }
}

}  // namespace

ItemClass ClassOf(WallTime due,
                  bool spare_slots_only,
                  WallTime now,
                  Duration item_time) {
  if (now + item_time > due) {
    return ItemClass::kLate;
  }
  return spare_slots_only ? ItemClass::kSpare : ItemClass::kInTime;
}

uint32_t ItemsAtHead(BacklogShareRequest request) {
  const auto class_of = [&](const JobWork& work) {
    return ClassOf(work.due, work.spare_slots_only, request.now,
                   request.item_time);
  };
  std::sort(request.work.begin(), request.work.end(),
            [&](const JobWork& a, const JobWork& b) {
              return std::tuple(class_of(a), a.due, a.job) <
                     std::tuple(class_of(b), b.due, b.job);
            });
  std::map<OrganisationId, size_t> positions;
  std::vector<QueuedItems> queue;
  for (const JobWork& work : request.work) {
    AddByTurns(work, class_of(work), positions[work.organisation], queue);
  }
  std::sort(queue.begin(), queue.end(), IsBefore);
  uint32_t left = request.slots;
  uint32_t own = 0;
  for (const QueuedItems& items : queue) {
    const uint32_t count = std::min(left, items.count);
    own += items.work->owner == request.self ? count : 0;
    left -= count;
  }
  return own;
}

}  // namespace cowslip
