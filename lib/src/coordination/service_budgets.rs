//! What one node may spend on the calls of one service beyond their first attempts.

use crate::coordination::hedge::Hedging;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::spill_budget::SpillBudget;

const PRIORITIES: usize = 8;

/// Budgets of one service at one ingress.
#[derive(Debug, Default)]
pub struct ServiceBudgets {
    /// Attempts after a failed one.
    pub retry: RetryBudget,
    /// Second copies of idempotent calls.
    pub hedging: Hedging,
    spills: [SpillBudget; PRIORITIES],
}

impl ServiceBudgets {
    /// The budget of the priority for being moved on; the last ones share theirs.
    #[must_use]
    pub fn spill(&self, priority: u8) -> &SpillBudget {
        &self.spills[usize::from(priority).min(PRIORITIES - 1)]
    }
}
