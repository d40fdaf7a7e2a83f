#ifndef SOURCE_BACKEND_RECENT_KEYS_H_
#define SOURCE_BACKEND_RECENT_KEYS_H_

#include <cstddef>
#include <deque>
#include <set>

#include "Backend/exchange_key.h"

namespace cowslip {

/// \class RecentKeys
/// \brief Remembers the last kCapacity exchanges to detect repeated dispatches.
class RecentKeys {
 public:
  static constexpr size_t kCapacity = 16384;

  /// Returns false if the key is remembered already.
  bool Insert(const ExchangeKey& key) {
    if (!m_keys.insert(key).second) {
      return false;
    }
    m_order.push_back(key);
    if (m_order.size() > kCapacity) {
      m_keys.erase(m_order.front());
      m_order.pop_front();
    }
    return true;
  }

 private:
  std::set<ExchangeKey> m_keys;
  std::deque<ExchangeKey> m_order;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_RECENT_KEYS_H_
