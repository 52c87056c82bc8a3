//! Budgets of one node for the attempts of a service's calls: those beyond the first one or the own zone.

use crate::coordination::cross_zone_yield::CrossZoneYield;
use crate::coordination::hedge::Hedging;
use crate::coordination::reroute_budget::RerouteBudget;
use crate::coordination::retry_budget::RetryBudget;

/// Number of reroute budgets; less urgent priorities share the last one.
const REROUTE_BUDGETS: usize = 8;

/// Budgets of one service at one ingress.
#[derive(Debug, Default)]
pub struct ServiceBudgets {
    /// Budget for retries after a failed attempt.
    pub retry: RetryBudget,
    /// Hedged requests of idempotent calls.
    pub hedging: Hedging,
    /// Yield of attempts in other zones.
    pub cross_zone_yield: CrossZoneYield,
    reroutes: [RerouteBudget; REROUTE_BUDGETS],
}

impl ServiceBudgets {
    /// Returns the budget for hedged requests; calls that follow a route share the retry budget.
    #[must_use]
    pub const fn hedge_budget(&self, on_route: bool) -> &RetryBudget {
        if on_route { &self.retry } else { self.hedging.budget() }
    }

    /// Returns the budget of the priority for rerouting its calls; the least urgent priorities share one.
    #[must_use]
    pub fn reroute_budget(&self, priority: u8) -> &RerouteBudget {
        &self.reroutes[usize::from(priority).min(REROUTE_BUDGETS - 1)]
    }
}
