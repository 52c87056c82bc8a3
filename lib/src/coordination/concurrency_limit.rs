//! How many calls an upstream may run at once, following its latency.

use std::time::Duration;

const WINDOW_CALLS_MIN: u32 = 30;
const WINDOW_CALLS_PER_SLOT: u32 = 4;
const CROWDED_PERCENT: u64 = 180;
const SHRINK_PERCENT: u32 = 80;
const FLOOR_DIVISOR: u32 = 4;
const BASELINE_DRIFT_DIVISOR: u64 = 32;

/// A limit that starts from the declared slots and shrinks while latency grows with load.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    declared: u32,
    current: u32,
    baseline_us: u64,
    window_sum_us: u64,
    window_calls: u32,
}

impl ConcurrencyLimit {
    /// A limit for an upstream that declared so many slots.
    #[must_use]
    pub const fn new(declared: u32) -> Self {
        Self { declared, current: declared, baseline_us: 0, window_sum_us: 0, window_calls: 0 }
    }

    /// Takes a new declaration; what was learned stays when it did not change.
    pub fn declare(&mut self, declared: u32) {
        if self.declared != declared {
            *self = Self::new(declared);
        }
    }

    /// Calls that may run at once.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Takes in the service time of one good answer.
    pub fn observe(&mut self, took: Duration) {
        self.window_sum_us = self.window_sum_us.saturating_add(u64::try_from(took.as_micros()).unwrap_or(0));
        self.window_calls += 1;
        if self.window_calls >= WINDOW_CALLS_MIN.max(self.declared * WINDOW_CALLS_PER_SLOT) {
            let mean_us = self.window_sum_us / u64::from(self.window_calls);
            self.window_sum_us = 0;
            self.window_calls = 0;
            self.close_window(mean_us);
        }
    }

    fn close_window(&mut self, mean_us: u64) {
        if self.baseline_us == 0 || mean_us < self.baseline_us {
            self.baseline_us = mean_us;
        } else {
            // A change that stays becomes the new normal after some windows.
            self.baseline_us += (mean_us - self.baseline_us) / BASELINE_DRIFT_DIVISOR;
        }
        if mean_us * 100 > self.baseline_us * CROWDED_PERCENT {
            let floor = (self.declared / FLOOR_DIVISOR).max(1);
            self.current = (self.current * SHRINK_PERCENT / 100).max(floor).min(self.declared);
        } else {
            self.current = (self.current + 1).min(self.declared);
        }
    }
}
