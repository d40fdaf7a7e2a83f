#ifndef UTILITIES_SOAK_RANDOM_H_
#define UTILITIES_SOAK_RANDOM_H_

#include <cstdint>
#include <string>

namespace soak {

/// \class Random
/// \brief A small seeded generator, the same on all platforms (splitmix64).
class Random {
 public:
  explicit Random(uint64_t seed) : m_state(seed) {}

  uint64_t Next() {
    m_state += 0x9e3779b97f4a7c15ull;
    uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
  }
  /// Below `limit`, which is above 0.
  uint64_t Below(uint64_t limit) { return Next() % limit; }
  double Between(double low, double high) {
    return low + (high - low) * static_cast<double>(Next() >> 11) * 0x1p-53;
  }
  bool Chance(double share) { return Between(0, 1) < share; }

 private:
  uint64_t m_state;
};

inline uint64_t HashOf(const std::string& text) {
  uint64_t hash = 1469598103934665603ull;
  for (const unsigned char c : text) {
    hash = (hash ^ c) * 1099511628211ull;
  }
  return Random(hash).Next();
}

}  // namespace soak

#endif  // UTILITIES_SOAK_RANDOM_H_
