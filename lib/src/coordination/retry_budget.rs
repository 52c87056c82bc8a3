//! Retry budget: limits the retries of a service to a share of its calls.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Cost of one retry; a token is a hundredth of a retry.
const TOKENS_PER_RETRY: i64 = 100;

/// A token bucket that each first attempt fills by a fraction of a retry, and from which each retry is paid.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: AtomicI64,
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry for a first attempt, up to `max_saved` retries in the bucket.
    pub fn earn(&self, percent: u32, max_saved: u32) {
        let limit = TOKENS_PER_RETRY * i64::from(max_saved);
        let earned = i64::from(percent);
        let add = |tokens: i64| Some((tokens + earned).min(limit));
        let _previous = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Returns the cost of a retry that reached no upstream to the budget.
    pub fn refund(&self) {
        self.tokens.fetch_add(TOKENS_PER_RETRY, Ordering::Relaxed);
    }

    /// Takes one retry out of the budget and returns whether there was one left.
    pub fn spend(&self) -> bool {
        let take = |tokens: i64| (tokens >= TOKENS_PER_RETRY).then(|| tokens - TOKENS_PER_RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
