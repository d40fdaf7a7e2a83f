#ifndef SOURCE_BATCH_ITEM_SET_H_
#define SOURCE_BATCH_ITEM_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

namespace cowslip {

/// \class ItemSet
/// \brief A set of item indices that fills up roughly from the front.
///
/// Everything below a low-water mark is in the set; above it there is one bit
/// per item, up to the highest member. Items are dispatched in order, so the
/// bits cover little more than the items in flight.
class ItemSet {
 public:
  bool Contains(uint32_t item) const;
  /// Returns false when the item was already in the set.
  bool Insert(uint32_t item);
  uint32_t size() const { return m_size; }
  /// The lowest index that is not in the set.
  uint32_t low_water_mark() const { return m_low_water_mark; }
  /// Bytes of bits held above the low-water mark.
  size_t window_bytes() const { return m_window.size(); }

  friend bool operator==(const ItemSet&, const ItemSet&) = default;
  friend void to_json(nlohmann::json& json, const ItemSet& set);
  friend void from_json(const nlohmann::json& json, ItemSet& set);

 private:
  void AdvanceLowWaterMark();

  uint32_t m_low_water_mark = 0;
  uint32_t m_size = 0;
  // Bit `i` of byte `b` stands for the item `m_window_start + 8 * b + i`.
  uint32_t m_window_start = 0;
  std::vector<uint8_t> m_window;
};

}  // namespace cowslip

#endif  // SOURCE_BATCH_ITEM_SET_H_
