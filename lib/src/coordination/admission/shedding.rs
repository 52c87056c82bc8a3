//! Load shedding by the cost of a delay or rejection to callers.
//!
//! Answers three load patterns: a burst of urgent calls, a peak in demand for less urgent calls while slots are free,
//! and callers that were rejected together.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::admission::slots::FULL_PERCENT;
use crate::coordination::near_capacity::NEAR_CAPACITY_PERCENT;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::settings::Shedding;

/// Slots kept free for urgent calls beyond the number that they held lately.
const SPARE_URGENT_SLOTS: u32 = 1;
/// Period over which the largest number of slots in use is kept; the previous period counts as well.
const PEAK_PERIOD: Duration = Duration::from_secs(1);
/// Fraction of the golden ratio in 32 bits; its wrapping multiples are evenly distributed.
const GOLDEN_RATIO_STEP: u32 = 0x9E37_79B9;

/// Returns how many of `slots` the calls of a priority may occupy, whoever holds the others.
///
/// `rule_percent` is the share by the rule of the priority, and `urgent_peak` the largest number of slots that calls of
/// the most urgent priority in use held lately. A rejected call costs its caller more than a free slot saves, so less
/// urgent calls may use the slots beyond that peak and one spare slot, up to the load at which upstreams slow down.
/// Nested calls may use every slot: without them the work done for the running request is lost.
pub(super) fn priority_slot_limit(
    shedding: Shedding,
    slots: u32,
    rule_percent: u32,
    urgent_peak: u32,
    origin: CallOrigin,
) -> u32 {
    let by_rule = slots * rule_percent / FULL_PERCENT;
    match (shedding, origin) {
        (Shedding::ByPriority, _) => by_rule,
        (Shedding::ByCost, CallOrigin::Upstream) => slots,
        (Shedding::ByCost, CallOrigin::Caller) => {
            let below_slowdown = slots * NEAR_CAPACITY_PERCENT / FULL_PERCENT;
            let unneeded = slots.saturating_sub(urgent_peak + SPARE_URGENT_SLOTS);
            unneeded.min(below_slowdown).max(by_rule)
        }
    }
}

/// Largest number of slots that the calls of one priority held lately.
///
/// Answers bursts of urgent calls: the first one costs the urgent calls a wait, and the next ones find free slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotPeak {
    current: u32,
    previous: u32,
    period_started_at: Option<Instant>,
}

impl SlotPeak {
    /// Records that calls of the priority hold `running` slots.
    pub(super) fn record(&mut self, running: u32, now: Instant) {
        let elapsed = self.elapsed(now);
        if elapsed >= PEAK_PERIOD {
            self.previous = if elapsed < PEAK_PERIOD * 2 { self.current } else { 0 };
            self.current = 0;
            self.period_started_at = Some(now);
        }
        self.current = self.current.max(running);
    }

    /// Returns the largest number of slots in the current period and the one before.
    pub(super) fn slots(&self, now: Instant) -> u32 {
        match self.elapsed(now) {
            elapsed if elapsed < PEAK_PERIOD => self.current.max(self.previous),
            elapsed if elapsed < PEAK_PERIOD * 2 => self.current,
            _ => 0,
        }
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.period_started_at.map_or(Duration::MAX, |started_at| now.saturating_duration_since(started_at))
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
