//! When a second copy of an idempotent call may race the first.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::coordination::retry_budget::RetryBudget;
use crate::protocol::service_spec::HedgeSpec;

/// Copies that one node may save up for a bad moment.
const MAX_SAVED_COPIES: u32 = 10;
const SAMPLES_MIN: u32 = 100;
const STEP_FRACTION: f64 = 0.05;
const STEP_US_MIN: f64 = 1.0;
const PERCENT: f64 = 100.0;

/// A quantile of recent latencies that follows them sample by sample.
///
/// Each sample above moves it up and each sample below moves it down, in the ratio that
/// leaves the wanted share below. It needs one word of state and no lock.
#[derive(Debug, Default)]
pub struct LiveQuantile {
    at_us: AtomicU64,
    samples: AtomicU32,
}

impl LiveQuantile {
    /// Takes in one latency; `percentile` is the share wanted below, in percent.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "latencies in microseconds are far below 2^52 and not negative"
    )]
    pub fn observe(&self, latency: Duration, percentile: f64) {
        let sample_us = latency.as_micros() as f64;
        let step = |at_us: u64| {
            let at = at_us as f64;
            if at_us == 0 {
                return Some(sample_us as u64);
            }
            let step = (at * STEP_FRACTION).max(STEP_US_MIN);
            let share = percentile / PERCENT;
            let next = if sample_us > at { at + step * share } else { at - step * (1.0 - share) };
            Some(next.max(STEP_US_MIN).round() as u64)
        };
        let _previous = self.at_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        if self.samples.load(Ordering::Relaxed) < SAMPLES_MIN {
            self.samples.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The quantile, once enough samples have been seen.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        (self.samples.load(Ordering::Relaxed) >= SAMPLES_MIN)
            .then(|| Duration::from_micros(self.at_us.load(Ordering::Relaxed)))
    }
}

/// The hedging of one service at one ingress.
#[derive(Debug, Default)]
pub struct Hedging {
    latency: LiveQuantile,
    budget: RetryBudget,
}

impl Hedging {
    /// Time after which a copy of a call may start, or nothing when calls are not hedged.
    #[must_use]
    pub fn delay(&self, spec: &HedgeSpec, idempotent: bool) -> Option<Duration> {
        if !spec.enabled || !idempotent {
            return None;
        }
        self.budget.earn(spec.budget_percent, MAX_SAVED_COPIES);
        self.latency.get()
    }

    /// What copies are paid from.
    #[must_use]
    pub const fn budget(&self) -> &RetryBudget {
        &self.budget
    }

    /// Takes in the time that a call took from its first attempt to its answer.
    pub fn observe(&self, took: Duration, spec: &HedgeSpec) {
        if spec.enabled {
            self.latency.observe(took, spec.after_percentile);
        }
    }
}
