//! Balances of slot time by priority, by which the next free slot is assigned.

use std::time::Duration;

use tokio::time::Instant;

const PERCENT: i64 = 100;
/// Maximum balance or debt of a priority, in calls for each of its guaranteed slots.
const WINDOW_CALLS: i64 = 4;

/// Use of slots by one priority since the last event, and its guaranteed share.
#[derive(Clone, Copy, Debug)]
pub struct PrioritySlotUsage {
    /// Number of slots that its calls hold.
    pub running: u32,
    /// Whether any of its calls is queued.
    pub has_queued_calls: bool,
    /// Share of the slots that it is guaranteed, in percent.
    pub share_percent: u32,
}

/// Balance of slot time of each priority, in hundredths of slot-microseconds.
///
/// Each priority is credited with its share of the elapsed slot time and charged for the slots that it holds.
/// While none of its calls is queued, its balance is limited to the slot time of one call. Balances count
/// slot time rather than calls, so that a priority with long calls can't exceed its share, and fractions of a
/// slot add up over time.
#[derive(Debug)]
pub struct SlotBalances {
    balances: Vec<i64>,
    updated_at: Instant,
}

impl SlotBalances {
    /// Creates balances of zero.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { balances: Vec::new(), updated_at: now }
    }

    /// Credits and charges the slot time since the last event, during which the use of slots was constant.
    pub fn update_balances<I>(&mut self, usages: I, limit: u32, service_time: Duration, now: Instant)
    where
        I: Iterator<Item = PrioritySlotUsage>,
    {
        let elapsed_us = micros(now.saturating_duration_since(self.updated_at));
        self.updated_at = now;
        let call_us = micros(service_time).max(1);
        for (index, usage) in usages.enumerate() {
            if index == self.balances.len() {
                self.balances.push(0);
            }
            let share_hundredths = i64::from(usage.share_percent) * i64::from(limit);
            let net = (share_hundredths - i64::from(usage.running) * PERCENT).saturating_mul(elapsed_us);
            let max_balance =
                share_hundredths.saturating_mul(WINDOW_CALLS).max(PERCENT).saturating_mul(call_us);
            let upper = if usage.has_queued_calls {
                max_balance
            } else {
                call_us.saturating_mul(PERCENT).min(max_balance)
            };
            let upper = if share_hundredths == 0 { 0 } else { upper };
            let lower = if share_hundredths == 0 { 0 } else { -max_balance };
            self.balances[index] = self.balances[index].saturating_add(net).clamp(lower, upper);
        }
    }

    /// Returns whether the priority has a positive balance.
    #[must_use]
    pub fn has_positive_balance(&self, priority: usize) -> bool {
        self.balances.get(priority).is_some_and(|balance| *balance > 0)
    }
}

/// Converts to whole microseconds, saturating.
fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
