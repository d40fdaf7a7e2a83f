#ifndef SOURCE_PEERS_EVACUATED_ZONE_H_
#define SOURCE_PEERS_EVACUATED_ZONE_H_

#include <cstdint>

#include "Base/ids.h"

namespace cowslip {

/// \class EvacuatedZone
/// \brief What a process knows of the evacuation of one availability zone.
struct EvacuatedZone {
  ZoneId zone;
  /// While the evacuation is in force, the newest known version of its entry.
  /// After the removal, a version of the store at which the entry was gone, or
  /// the last one at which it was there.
  ObjectVersion version;
  /// The entry was removed: every entry of up to `version` is gone.
  bool removed = false;
  /// Requests that the process has in flight in the zone.
  uint32_t in_flight = 0;

  friend bool operator==(const EvacuatedZone&, const EvacuatedZone&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_PEERS_EVACUATED_ZONE_H_
