//! Ledger of leases: the promises of one lender to one borrower, and the sums that a lender or borrower needs.
//!
//! The same types serve both sides of both levels of lending. A lender and a borrower keep every promise that has not
//! ended, since either may know one that the other doesn't; at each time only the largest of them counts.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::coordination::quota::BootTime;

/// Divisor of a loan's duration that gives the time the lender adds at its end (2 %), since the clocks of two nodes may
/// differ in speed.
const CLOCK_SPEED_MARGIN_DIVISOR: u32 = 50;

/// Parts that may be used until a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Promise {
    parts: u32,
    until: BootTime,
}

/// The promises of one lender to one borrower that have not ended.
///
/// Each of them ends later and is smaller than the one before.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    promises: Vec<Promise>,
}

impl Promises {
    /// Adds a promise of `parts` until just before the time `until`.
    pub fn add(&mut self, parts: u32, until: BootTime) {
        if parts == 0 || self.covering(until) >= parts {
            return;
        }
        self.promises.retain(|promise| promise.parts > parts || promise.until > until);
        self.promises.push(Promise { parts, until });
        self.promises.sort_unstable_by_key(|promise| promise.until);
    }

    /// Returns the parts that may be used at `now`.
    #[must_use]
    pub fn at(&self, now: BootTime) -> u32 {
        let usable = self.promises.iter().filter(|promise| promise.until > now);
        usable.map(|promise| promise.parts).max().unwrap_or(0)
    }

    /// Returns the parts that may be used at all times before `until`.
    #[must_use]
    pub fn covering(&self, until: BootTime) -> u32 {
        let lasting = self.promises.iter().filter(|promise| promise.until >= until);
        lasting.map(|promise| promise.parts).max().unwrap_or(0)
    }

    /// Returns the first time after `now` at which a promise ends.
    #[must_use]
    pub fn next_end(&self, now: BootTime) -> Option<BootTime> {
        self.promises.iter().map(|promise| promise.until).filter(|until| *until > now).min()
    }

    /// Removes the promises that have ended at `now`.
    pub fn expire(&mut self, now: BootTime) {
        self.promises.retain(|promise| promise.until > now);
    }

    /// Returns whether all promises have been removed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }
}

/// What a borrower holds, by lender.
#[derive(Clone, Debug, Default)]
pub struct LeaseBook {
    lenders: IndexMap<Arc<str>, Promises>,
}

impl LeaseBook {
    /// Records a loan of `duration` that responds to a request sent at `asked_at`.
    pub fn add(&mut self, lender: &Arc<str>, parts: u32, asked_at: BootTime, duration: Duration) {
        self.lenders.entry(Arc::clone(lender)).or_default().add(parts, asked_at + duration);
    }

    /// Returns the parts held at `now`.
    #[must_use]
    pub fn at(&self, now: BootTime) -> u32 {
        self.lenders.values().map(|promises| promises.at(now)).sum()
    }

    /// Returns the parts held at all times before `until`.
    #[must_use]
    pub fn covering(&self, until: BootTime) -> u32 {
        self.lenders.values().map(|promises| promises.covering(until)).sum()
    }

    /// Returns the first time after `now` at which a lease ends.
    #[must_use]
    pub fn next_end(&self, now: BootTime) -> Option<BootTime> {
        self.lenders.values().filter_map(|promises| promises.next_end(now)).min()
    }

    /// Removes the leases that have ended at `now`.
    pub fn expire(&mut self, now: BootTime) {
        self.lenders.retain(|_, promises| {
            promises.expire(now);
            !promises.is_empty()
        });
    }

    /// Returns the number of lenders.
    #[must_use]
    pub fn lender_count(&self) -> usize {
        self.lenders.len()
    }
}

/// A process that borrows; a restarted one is another borrower.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Borrower {
    /// Name of the node.
    pub node: Arc<str>,
    /// Random number of the process.
    pub process: u64,
}

/// What a lender has lent, by borrower.
#[derive(Clone, Debug, Default)]
pub struct LoanBook {
    borrowers: IndexMap<Borrower, Promises>,
}

impl LoanBook {
    /// Returns the time until which a loan of `duration` that is made at `now` has to be honoured.
    #[must_use]
    pub fn end_of_loan(now: BootTime, duration: Duration) -> BootTime {
        now + duration + duration / CLOCK_SPEED_MARGIN_DIVISOR
    }

    /// Records a loan.
    pub fn lend(&mut self, borrower: &Borrower, parts: u32, now: BootTime, duration: Duration) {
        self.expire(now);
        let until = Self::end_of_loan(now, duration);
        self.borrowers.entry(borrower.clone()).or_default().add(parts, until);
    }

    /// Returns the parts that borrowers other than `borrower` may still use.
    #[must_use]
    pub fn owed_to_others(&self, borrower: &Borrower, now: BootTime) -> u32 {
        let others = self.borrowers.iter().filter(|(other, _)| *other != borrower);
        others.map(|(_, promises)| promises.at(now)).sum()
    }

    /// Returns the parts that all borrowers may still use.
    #[must_use]
    pub fn owed(&self, now: BootTime) -> u32 {
        self.borrowers.values().map(|promises| promises.at(now)).sum()
    }

    fn expire(&mut self, now: BootTime) {
        self.borrowers.retain(|_, promises| {
            promises.expire(now);
            !promises.is_empty()
        });
    }
}
