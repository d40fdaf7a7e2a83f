#ifndef SOURCE_FLEET_BACKEND_RECORD_H_
#define SOURCE_FLEET_BACKEND_RECORD_H_

#include <cstdint>
#include <string>

#include "Base/endpoint.h"
#include "Base/ids.h"
#include "Base/time.h"

namespace cowslip {

/// Identifies one start of a backend server; chosen by the backend server.
using BackendId = StrongId<struct BackendIdTag>;

/// The version of a backend server's software. Versions can only be compared
/// for equality.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;

/// \class BackendRecord
/// \brief The registration of a backend server in service discovery.
struct BackendRecord {
  BackendId id;
  ServiceId service;
  Endpoint address;
  ZoneId zone;
  /// Streams of different versions cannot be joined.
  SoftwareVersion version;
  /// Number of requests that it runs concurrently.
  uint32_t slots = 1;
  /// It completes its running requests and accepts no new ones.
  bool draining = false;
  /// Start time of this incarnation in Unix milliseconds; 0 if unknown. A
  /// later start under the same id has a later time.
  uint64_t started_at_ms = 0;

  friend bool operator==(const BackendRecord&, const BackendRecord&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_FLEET_BACKEND_RECORD_H_
