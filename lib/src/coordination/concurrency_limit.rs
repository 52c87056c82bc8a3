//! Adaptive limit on the calls that an upstream runs concurrently, driven by its latency.

use std::time::Duration;

/// Minimum number of calls in a window.
const MIN_WINDOW_CALLS: u32 = 30;
/// Calls in a window per declared slot.
const WINDOW_CALLS_PER_SLOT: u32 = 4;
/// Mean latency above which the limit shrinks, in percent of the baseline.
const OVERLOAD_LATENCY_PERCENT: u64 = 150;
/// Limit after a shrink, in percent of the previous one.
const SHRINK_PERCENT: u32 = 80;
/// Divisor of the declared slots that gives the smallest limit.
const MIN_LIMIT_DIVISOR: u32 = 4;
/// Divisor of the difference between mean and baseline that the baseline follows upwards per window.
const BASELINE_DRIFT_DIVISOR: u64 = 128;
/// Latency that a shrink must bring at most, in percent of the latency before it.
const MAX_RELIEVED_LATENCY_PERCENT: u64 = 92;

/// Concurrency limit that starts at the declared slots and shrinks while that reduces latency.
///
/// Latency that a smaller limit does not reduce has another cause, such as an upstream that
/// became slower. The limit then returns to the declared slots, and the latency becomes the
/// new baseline.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    declared: u32,
    current: u32,
    baseline_us: u64,
    /// Mean latency before the last shrink, kept until the next window shows whether it helped.
    mean_before_shrink_us: Option<u64>,
    window_sum_us: u64,
    window_calls: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit for an upstream with `declared` slots.
    #[must_use]
    pub const fn new(declared: u32) -> Self {
        Self {
            declared,
            current: declared,
            baseline_us: 0,
            mean_before_shrink_us: None,
            window_sum_us: 0,
            window_calls: 0,
        }
    }

    /// Sets the declared slots; a change discards the measurements.
    pub fn set_declared(&mut self, declared: u32) {
        if self.declared != declared {
            *self = Self::new(declared);
        }
    }

    /// Returns the number of calls that may run concurrently.
    #[must_use]
    pub const fn current(&self) -> u32 {
        self.current
    }

    /// Records the service time of one successful call.
    pub fn observe(&mut self, service_time: Duration) {
        self.window_sum_us =
            self.window_sum_us.saturating_add(u64::try_from(service_time.as_micros()).unwrap_or(0));
        self.window_calls += 1;
        if self.window_calls >= MIN_WINDOW_CALLS.max(self.declared * WINDOW_CALLS_PER_SLOT) {
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
            // A lasting change becomes the baseline after some windows.
            self.baseline_us += (mean_us - self.baseline_us) / BASELINE_DRIFT_DIVISOR;
        }
        let shrink_was_ineffective = self
            .mean_before_shrink_us
            .take()
            .is_some_and(|mean_before_us| mean_us * 100 > mean_before_us * MAX_RELIEVED_LATENCY_PERCENT);
        if shrink_was_ineffective {
            self.baseline_us = mean_us;
            self.current = self.declared;
        } else if mean_us * 100 > self.baseline_us * OVERLOAD_LATENCY_PERCENT {
            let min_limit = (self.declared / MIN_LIMIT_DIVISOR).max(1);
            self.mean_before_shrink_us = Some(mean_us);
            self.current = (self.current * SHRINK_PERCENT / 100).max(min_limit).min(self.declared);
        } else {
            self.current = (self.current + 1).min(self.declared);
        }
    }
}
