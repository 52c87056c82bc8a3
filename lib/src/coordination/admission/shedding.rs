//! Load shedding by what a delay or rejection costs callers.
//!
//! Answers three load patterns: a burst of urgent calls, a crest of demand in less urgent calls while slots are free,
//! and callers that were rejected together.

use std::time::Duration;

use crate::coordination::admission::slots::FULL_PERCENT;
use crate::coordination::near_capacity::NEAR_CAPACITY_PERCENT;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::settings::Shedding;

/// Fraction of the golden ratio in 32 bits; its wrapping multiples are evenly distributed.
const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// Returns the share of the slots that calls of a priority may occupy, in percent.
///
/// `rule_percent` is the share by the rule of the priority. A rejected call costs its caller more than a free slot
/// saves, so less urgent calls may use the slots up to the load at which upstreams slow down. Those above stay free for
/// urgent calls, and for nested calls of any priority: without them the work done for the running request is lost.
pub(super) const fn usable_percent(shedding: Shedding, rule_percent: u32, origin: CallOrigin) -> u32 {
    match (shedding, origin) {
        (Shedding::ByCost, CallOrigin::Upstream) => FULL_PERCENT,
        (Shedding::ByCost, CallOrigin::Caller) if rule_percent < NEAR_CAPACITY_PERCENT => {
            NEAR_CAPACITY_PERCENT
        }
        (Shedding::ByCost | Shedding::ByPriority, _) => rule_percent,
    }
}

/// Sequence of retry delays that spreads callers over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetrySpread {
    position: u32,
}

impl RetrySpread {
    /// Returns the next delay, between `base` and twice as long.
    pub(super) fn next(&mut self, base: Duration) -> Duration {
        self.position = self.position.wrapping_add(GOLDEN_RATIO_STEP);
        base + base.mul_f64(f64::from(self.position) / (f64::from(u32::MAX) + 1.0))
    }
}
