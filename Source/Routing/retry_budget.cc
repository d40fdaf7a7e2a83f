#include "Routing/retry_budget.h"

#include <algorithm>

namespace cowslip {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options), m_available_retries(options.reserve) {}

void RetryBudget::RecordFirstAttempt() {
  m_available_retries =
      std::min(m_available_retries + m_options.ratio, m_options.reserve);
}

bool RetryBudget::TryTakeRetry() {
  if (m_available_retries < 1) {
    return false;
  }
  m_available_retries -= 1;
  return true;
}

}  // namespace cowslip
