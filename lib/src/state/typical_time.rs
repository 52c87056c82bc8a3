//! Typical service time of a route's calls, estimated as a running median.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Divisor of the estimate that gives the largest step by which one sample changes it.
const STEP_LIMIT_DIVISOR: u64 = 16;
/// Lower bound of the step limit, in microseconds.
const MIN_STEP_LIMIT_US: u64 = 20;

/// A lock-free running median of service times on VMs at normal speed.
///
/// A mean would be far above the typical time, since upstreams are occasionally slower by a multiple. The
/// slowdown of a VM is divided out of its samples, so that the estimate says what a call takes and not how
/// busy the fleet is.
#[derive(Debug, Default)]
pub struct TypicalTime {
    /// Estimate in microseconds; 0 before the first sample.
    median_us: AtomicU64,
}

impl TypicalTime {
    /// Adds the service time of one call; the first sample becomes the estimate.
    pub fn record(&self, service_time: Duration) {
        let sample = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX).max(1);
        let step_to_sample = |median: u64| {
            let step_limit = (median / STEP_LIMIT_DIVISOR).max(MIN_STEP_LIMIT_US);
            match median {
                0 => Some(sample),
                median if sample > median => Some(median + step_limit.min(sample - median)),
                median => Some(median - step_limit.min(median - sample)),
            }
        };
        let _previous = self.median_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step_to_sample);
    }

    /// Returns the typical service time, or zero before the first call.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.median_us.load(Ordering::Relaxed))
    }
}
