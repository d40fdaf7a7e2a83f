#ifndef UTILITIES_STANDINS_ENGINE_PREFIX_CACHE_H_
#define UTILITIES_STANDINS_ENGINE_PREFIX_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace cowslip {

/// \class PrefixCache
/// \brief A least-recently-used set of prompt prefixes, cut into blocks.
class PrefixCache {
 public:
  /// How many prompt bytes one entry stands for.
  static constexpr size_t kBlockBytes = 256;

  explicit PrefixCache(size_t entries) : m_entries(entries) {}

  /// Returns how many leading bytes of the prompt are cached, and caches all
  /// of its blocks.
  size_t Use(std::string_view prompt);

 private:
  // Returns whether the block was there.
  bool Touch(uint64_t block);

  const size_t m_entries;
  // The most recently used block is in front.
  std::list<uint64_t> m_order;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_blocks;
};

}  // namespace cowslip

#endif  // UTILITIES_STANDINS_ENGINE_PREFIX_CACHE_H_
