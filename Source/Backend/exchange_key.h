#ifndef SOURCE_BACKEND_EXCHANGE_KEY_H_
#define SOURCE_BACKEND_EXCHANGE_KEY_H_

#include <compare>

#include "Base/ids.h"

namespace cowslip {

/// \class ExchangeKey
/// \brief Identifies an exchange among those of all entries. The incarnation
/// prevents a restarted entry from getting a reply to its predecessor's
/// exchange.
struct ExchangeKey {
  VmId entry;
  Incarnation incarnation;
  ExchangeId exchange;

  friend bool operator==(const ExchangeKey&, const ExchangeKey&) = default;
  friend auto operator<=>(const ExchangeKey&, const ExchangeKey&) = default;
};

}  // namespace cowslip

#endif  // SOURCE_BACKEND_EXCHANGE_KEY_H_
