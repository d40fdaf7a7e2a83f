#ifndef SOURCE_BASE_ENDPOINT_H_
#define SOURCE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class Endpoint
/// \brief An IP address with a TCP port.
struct Endpoint {
  std::string address = "127.0.0.1";
  uint16_t port = 0;

  std::string ToString() const { return address + ":" + std::to_string(port); }
  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, address, port)

inline std::ostream& operator<<(std::ostream& out, const Endpoint& endpoint) {
  return out << endpoint.ToString();
}

}  // namespace cowslip

#endif  // SOURCE_BASE_ENDPOINT_H_
