#ifndef SOURCE_ROUTING_RETRY_BUDGET_H_
#define SOURCE_ROUTING_RETRY_BUDGET_H_

namespace cowslip {

/// \class RetryBudgetOptions
/// \brief How many retries the first attempts allow.
struct RetryBudgetOptions {
  /// Retries earned by each first attempt.
  double ratio = 0.1;
  /// Largest number of unused retries, and the budget at the start.
  double reserve = 10;
};

/// \class RetryBudget
/// \brief Keeps the retries of an entry below a share of its first attempts,
/// so that the fleet's retries stay below the same share plus one reserve per
/// entry.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options);

  void RecordFirstAttempt();
  /// Takes one retry out of the budget; false when it is spent.
  bool TryTakeRetry();

 private:
  const RetryBudgetOptions m_options;
  double m_available_retries;
};

}  // namespace cowslip

#endif  // SOURCE_ROUTING_RETRY_BUDGET_H_
