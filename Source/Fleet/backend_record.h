#ifndef SOURCE_FLEET_BACKEND_RECORD_H_
#define SOURCE_FLEET_BACKEND_RECORD_H_

#include <cstdint>
#include <string>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// One start of a backend server, as it names itself.
using BackendId = StrongId<struct BackendIdTag>;

/// \class BackendRecord
/// \brief What a backend server says of itself in service discovery.
struct BackendRecord {
  BackendId id;
  ServiceId service;
  Endpoint address;
  ZoneId zone;
  /// Requests that it runs at once.
  uint32_t slots = 1;
  /// It finishes what it has and takes nothing new.
  bool draining = false;
  /// When this incarnation started, in Unix milliseconds; 0 when it is not
  /// told. An id that starts again has a later one.
  uint64_t started_at_ms = 0;

  friend bool operator==(const BackendRecord&, const BackendRecord&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_BACKEND_RECORD_H_
