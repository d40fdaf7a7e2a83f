#include "Routing/retry_budget.h"

#include <algorithm>

namespace cowslip {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options), m_retries(options.reserve) {}

void RetryBudget::FirstAttempt() {
  m_retries = std::min(m_retries + m_options.ratio, m_options.reserve);
}

bool RetryBudget::TryRetry() {
  if (m_retries < 1) {
    return false;
  }
  m_retries -= 1;
  return true;
}

}  // namespace cowslip
