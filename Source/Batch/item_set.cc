#include "Batch/item_set.h"

namespace cowslip {

namespace {

constexpr uint32_t kBitsPerByte = 8;
constexpr uint8_t kFullByte = 0xff;

}  // namespace

bool ItemSet::Contains(uint32_t item) const {
  if (item < m_low_water_mark) {
    return true;
  }
  const uint32_t offset = item - m_window_start;
  const size_t byte = offset / kBitsPerByte;
  return byte < m_window.size() &&
         ((m_window[byte] >> (offset % kBitsPerByte)) & 1) != 0;
}

bool ItemSet::Insert(uint32_t item) {
  if (Contains(item)) {
    return false;
  }
  const uint32_t offset = item - m_window_start;
  const size_t byte = offset / kBitsPerByte;
  if (byte >= m_window.size()) {
    m_window.resize(byte + 1);
  }
  m_window[byte] |= static_cast<uint8_t>(1U << (offset % kBitsPerByte));
  ++m_size;
  AdvanceLowWaterMark();
  return true;
}

void ItemSet::AdvanceLowWaterMark() {
  size_t full = 0;
  while (full < m_window.size() && m_window[full] == kFullByte) {
    ++full;
  }
  m_window.erase(m_window.begin(),
                 m_window.begin() + static_cast<std::ptrdiff_t>(full));
  m_window_start += static_cast<uint32_t>(full) * kBitsPerByte;
  m_low_water_mark = m_window_start;
  if (m_window.empty()) {
    return;
  }
  for (uint8_t bits = m_window[0]; (bits & 1) != 0; bits >>= 1) {
    ++m_low_water_mark;
  }
}

void to_json(nlohmann::json& json, const ItemSet& set) {
  json = {{"aligned", set.m_window_start},
          {"size", set.m_size},
          {"window", nlohmann::json::binary(set.m_window)}};
}

void from_json(const nlohmann::json& json, ItemSet& set) {
  set = ItemSet();
  json.at("aligned").get_to(set.m_window_start);
  json.at("size").get_to(set.m_size);
  set.m_window = json.at("window").get_binary();
  set.AdvanceLowWaterMark();
}

}  // namespace cowslip
