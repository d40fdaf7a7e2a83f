#include "Jobs/item_services.h"

#include <algorithm>

namespace cowslip {

ServiceId ItemServices::Choose(const JobKey& job,
                               const ItemId& item,
                               const std::vector<ServicePart>& parts,
                               const std::set<ServiceId>& free,
                               MonotonicTime now) {
  if (parts.size() == 1) {
    return parts.front().service;
  }
  std::map<ItemId, Drawn>& items = m_drawn[job];
  const auto found = items.find(item);
  const bool is_part =
      found != items.end() &&
      std::any_of(parts.begin(), parts.end(), [&](const ServicePart& part) {
        return part.service == found->second.service;
      });
  if (!is_part) {
    const ServiceId service = Draw(parts);
    items[item] = {service, now};
    return service;
  }
  Drawn& drawn = found->second;
  if (now - drawn.since >= m_options.max_wait &&
      !free.contains(drawn.service)) {
    std::vector<ServicePart> free_parts;
    double total = 0;
    for (const ServicePart& part : parts) {
      if (free.contains(part.service)) {
        free_parts.push_back(part);
        total += part.part;
      }
    }
    if (!free_parts.empty()) {
      for (ServicePart& part : free_parts) {
        part.part /= total;
      }
      drawn = {Draw(free_parts), now};
    }
  }
  return drawn.service;
}

void ItemServices::Forget(const JobKey& job, const ItemId& item) {
  const auto found = m_drawn.find(job);
  if (found != m_drawn.end()) {
    found->second.erase(item);
  }
}

ServiceId ItemServices::Draw(const std::vector<ServicePart>& parts) {
  return ServiceAt(parts,
                   std::uniform_real_distribution<double>(0, 1)(m_random));
}

}  // namespace cowslip
