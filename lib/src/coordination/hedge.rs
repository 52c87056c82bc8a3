//! Hedging: when a second request may be sent for an idempotent call that is slow.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::coordination::retry_budget::RetryBudget;
use crate::protocol::service_spec::HedgeSpec;

/// Maximum number of unused hedged requests that the budget of a service accumulates at one ingress.
const MAX_SAVED_HEDGES: u32 = 10;
/// Latency at which a gate may always take a hedge, in multiples of the call's typical service time.
const HEDGE_LATENCY_FACTOR: u32 = 2;
/// Samples needed before the quantile is used.
const MIN_SAMPLES: u32 = 100;
/// Step of the estimate per sample, as a fraction of its value.
const STEP_FRACTION: f64 = 0.05;
/// Smallest step, and smallest value, of the estimate, in microseconds.
const MIN_STEP_US: f64 = 1.0;
const PERCENT: f64 = 100.0;

/// Returns the maximum latency at the gate of a hedge, given the one that routing sets for a first attempt.
///
/// Routing compares gates by the time that is left to the objective. A hedge replaces an attempt that may
/// never end, so a gate that needs no more than [`HEDGE_LATENCY_FACTOR`] times the typical time may always
/// take it, also shortly before the objective and after it. With `None`, no hedge is sent.
#[must_use]
pub fn max_hedge_latency(routed_limit: Option<Duration>, typical_time: Option<Duration>) -> Option<Duration> {
    let floor = typical_time.map(|typical_time| typical_time * HEDGE_LATENCY_FACTOR);
    routed_limit.max(floor)
}

/// Streaming estimate of a quantile of recent latencies.
///
/// Each sample above the estimate raises it and each other sample lowers it, in the ratio at which the
/// requested share of samples stays below it. It takes constant memory and no lock.
#[derive(Debug, Default)]
pub struct StreamingQuantile {
    value_us: AtomicU64,
    samples: AtomicU32,
}

impl StreamingQuantile {
    /// Records one latency; `percentile` is the requested share of samples below the estimate, in percent.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "latencies in microseconds are far below 2^52 and not negative"
    )]
    pub fn observe(&self, latency: Duration, percentile: f64) {
        let sample_us = latency.as_micros() as f64;
        let step = |value_us: u64| {
            let value = value_us as f64;
            if value_us == 0 {
                return Some(sample_us as u64);
            }
            let step = (value * STEP_FRACTION).max(MIN_STEP_US);
            let fraction_below = percentile / PERCENT;
            let next = if sample_us > value {
                value + step * fraction_below
            } else {
                value - step * (1.0 - fraction_below)
            };
            Some(next.max(MIN_STEP_US).round() as u64)
        };
        let _previous = self.value_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
        if self.samples.load(Ordering::Relaxed) < MIN_SAMPLES {
            self.samples.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the estimate, or `None` before there are enough samples.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        (self.samples.load(Ordering::Relaxed) >= MIN_SAMPLES)
            .then(|| Duration::from_micros(self.value_us.load(Ordering::Relaxed)))
    }
}

/// Hedging state of one service at one ingress.
#[derive(Debug, Default)]
pub struct Hedging {
    latency: StreamingQuantile,
    budget: RetryBudget,
}

impl Hedging {
    /// Returns the time after which a hedged request may start, or `None` if the call is not hedged.
    ///
    /// Each call that may be hedged adds to the hedging budget.
    #[must_use]
    pub fn next_delay(&self, spec: &HedgeSpec, idempotent: bool) -> Option<Duration> {
        if !spec.enabled || !idempotent {
            return None;
        }
        self.budget.earn(spec.budget_percent, MAX_SAVED_HEDGES);
        self.latency.get()
    }

    /// Returns the budget that hedged requests draw on.
    #[must_use]
    pub const fn budget(&self) -> &RetryBudget {
        &self.budget
    }

    /// Records the latency of a call from its first attempt to its response.
    pub fn observe(&self, latency: Duration, spec: &HedgeSpec) {
        if spec.enabled {
            self.latency.observe(latency, spec.after_percentile);
        }
    }
}
