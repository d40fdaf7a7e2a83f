#ifndef SOURCE_FLEET_TRAFFIC_SPLIT_H_
#define SOURCE_FLEET_TRAFFIC_SPLIT_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "Base/ids.h"

namespace cowslip {

/// \class TrafficShare
/// \brief One service's share of a route's requests.
struct TrafficShare {
  ServiceId service;
  uint32_t weight = 1;
};

/// \class ServicePart
/// \brief The part of a route's requests that one service gets, from 0 to 1.
struct ServicePart {
  ServiceId service;
  double part = 0;
};

/// The services that get requests of a route, and their parts, which add up to
/// 1. Services that accept no requests, such as those without backend servers,
/// leave their parts to the others; if none accepts any, the parts are those of
/// the weights. Services of weight 0 get nothing, unless all weights are 0:
/// then the first service gets everything. Empty if `split` is.
std::vector<ServicePart> PartsOf(
    const std::vector<TrafficShare>& split,
    const std::function<bool(const ServiceId&)>& accepts);

/// The service at the point `drawn`, from 0 up to but not including 1, of parts
/// that are not empty.
const ServiceId& ServiceAt(const std::vector<ServicePart>& parts, double drawn);

}  // namespace cowslip

#endif  // SOURCE_FLEET_TRAFFIC_SPLIT_H_
