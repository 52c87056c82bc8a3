//! How many calls of a service may be sent again.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

const TOKENS_PER_RETRY: i64 = 100;

/// A budget that every first attempt fills a little and every retry draws on.
#[derive(Debug, Default)]
pub struct RetryBudget {
    tokens: AtomicI64,
}

impl RetryBudget {
    /// Counts a first attempt, which earns `percent` hundredths of a retry up to `most_saved` retries.
    pub fn earn(&self, percent: u32, most_saved: u32) {
        let limit = TOKENS_PER_RETRY * i64::from(most_saved);
        let earned = i64::from(percent);
        let add = |tokens: i64| Some((tokens + earned).min(limit));
        let _previous = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Gives back what was taken for a retry that no upstream saw.
    pub fn refund(&self) {
        self.tokens.fetch_add(TOKENS_PER_RETRY, Ordering::Relaxed);
    }

    /// Takes one retry out of the budget, or refuses.
    pub fn spend(&self) -> bool {
        let take = |tokens: i64| (tokens >= TOKENS_PER_RETRY).then(|| tokens - TOKENS_PER_RETRY);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}
