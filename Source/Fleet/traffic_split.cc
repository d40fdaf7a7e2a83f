#include "Fleet/traffic_split.h"

#include <algorithm>

namespace cowslip {

namespace {

// Returns no parts if all weights are 0.
std::vector<ServicePart> WeightedParts(const std::vector<TrafficShare>& split) {
  double total = 0;
  for (const TrafficShare& share : split) {
    total += share.weight;
  }
  std::vector<ServicePart> parts;
  for (const TrafficShare& share : split) {
    if (share.weight > 0) {
      parts.push_back({share.service, share.weight / total});
    }
  }
  return parts;
}

}  // namespace

std::vector<ServicePart> PartsOf(
    const std::vector<TrafficShare>& split,
    const std::function<bool(const ServiceId&)>& accepts) {
  if (split.empty()) {
    return {};
  }
  if (split.size() == 1) {
    return {{split.front().service, 1}};
  }
  std::vector<TrafficShare> accepting;
  std::copy_if(
      split.begin(), split.end(), std::back_inserter(accepting),
      [&](const TrafficShare& share) { return accepts(share.service); });
  std::vector<ServicePart> parts = WeightedParts(accepting);
  if (parts.empty()) {
    parts = WeightedParts(split);
  }
  if (parts.empty()) {
    parts.push_back({split.front().service, 1});
  }
  return parts;
}

const ServiceId& ServiceAt(const std::vector<ServicePart>& parts,
                           double drawn) {
  for (const ServicePart& part : parts) {
    if (drawn < part.part) {
      return part.service;
    }
    drawn -= part.part;
  }
  return parts.back().service;
}

}  // namespace cowslip
