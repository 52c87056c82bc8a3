//! Which priority a slot belongs to next: accounts of slot time by priority.

use std::time::Duration;

use tokio::time::Instant;

const PERCENT: i64 = 100;
const WINDOW_CALLS: i64 = 4;

/// What one priority uses and claims between two events.
#[derive(Clone, Copy, Debug)]
pub struct LaneUse {
    /// Slots that its calls hold.
    pub running: u32,
    /// Whether calls of it wait.
    pub waiting: bool,
    /// Share of the slots that it keeps, in percent.
    pub share_percent: u32,
}

/// Slot time owed to each priority, in hundredths of slot-microseconds.
///
/// A priority whose calls wait earns its share of the passing slot time and pays for the
/// slots that it holds. Slot time rather than calls, so that a priority with long calls
/// can't take more than its share, and fractions of a slot add up over time.
#[derive(Debug)]
pub struct SlotShares {
    owed: Vec<i64>,
    settled_at: Instant,
}

impl SlotShares {
    /// Accounts that start at zero.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { owed: Vec::new(), settled_at: now }
    }

    /// Books the slot time since the last event, over which nothing changed.
    pub fn settle<I>(&mut self, lanes: I, limit: u32, service_time: Duration, now: Instant)
    where
        I: Iterator<Item = LaneUse>,
    {
        let passed_us = micros(now.saturating_duration_since(self.settled_at));
        self.settled_at = now;
        let call_us = micros(service_time).max(1);
        for (index, lane) in lanes.enumerate() {
            if index == self.owed.len() {
                self.owed.push(0);
            }
            let share = i64::from(lane.share_percent) * i64::from(limit);
            let net = (share - i64::from(lane.running) * PERCENT).saturating_mul(passed_us);
            let bound = share.saturating_mul(WINDOW_CALLS).max(PERCENT).saturating_mul(call_us);
            let upper = if lane.waiting { bound } else { 0 };
            let lower = if share == 0 { 0 } else { -bound };
            self.owed[index] = self.owed[index].saturating_add(net).clamp(lower, upper);
        }
    }

    /// Whether the priority is owed slot time.
    #[must_use]
    pub fn is_owed(&self, lane: usize) -> bool {
        self.owed.get(lane).is_some_and(|owed| *owed > 0)
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
