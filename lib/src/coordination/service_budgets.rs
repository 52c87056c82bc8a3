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
    /// What second copies are paid from: on a route they share the bound that retries have.
    #[must_use]
    pub const fn copies(&self, on_route: bool) -> &RetryBudget {
        if on_route { &self.retry } else { self.hedging.budget() }
    }

    /// The budget of the priority for being moved on; the last ones share theirs.
    #[must_use]
    pub fn spill(&self, priority: u8) -> &SpillBudget {
        &self.spills[usize::from(priority).min(PRIORITIES - 1)]
    }
}
