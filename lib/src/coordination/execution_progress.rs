//! The running calls of an upstream, and how much of their expected time has elapsed in total.

use std::time::Duration;

use tokio::time::Instant;

const PERMILLE: u64 = 1_000;
const PERCENT: u64 = 100;
/// Fractional bits of the fixed-point weights.
const WEIGHT_BITS: u32 = 32;
/// Minimum typical time in calculations, in microseconds, which bounds the weight of a short call.
const MIN_TYPICAL_US: u64 = 100;

/// One execution of a call by the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Time at which the call took its slot.
    pub started: Instant,
    /// Typical service time of this kind of call, if known.
    pub typical_time: Option<Duration>,
    /// Execution time on the upstream's VM relative to normal when the call started, in percent.
    ///
    /// 100 is normal, and 200 means that calls take twice as long.
    pub slowdown_percent: u64,
    /// Slots in use when the call started, its own included.
    pub slots_in_use: u32,
    /// Whether these slots were near the capacity of the upstream.
    pub near_capacity: bool,
}

impl Execution {
    /// Returns the typical service time, if known, in microseconds.
    pub(super) fn typical_us(&self) -> Option<u64> {
        self.typical_time.map(|typical_time| micros(typical_time).max(MIN_TYPICAL_US))
    }

    /// Returns the expected service time given the slowdown at the start, if the typical time is known.
    pub(super) fn expected_service_us(&self) -> Option<u64> {
        self.typical_us().map(|typical_us| (typical_us * self.slowdown_percent / PERCENT).max(1))
    }

    /// Returns the service time relative to the typical one, in thousandths.
    ///
    /// The slowdown at the start is divided out.
    pub(super) fn slowness_permille(&self, service_us: u64, typical_us: u64) -> u64 {
        service_us.saturating_mul(PERMILLE * PERCENT)
            / typical_us.saturating_mul(self.slowdown_percent.max(1))
    }
}

/// Total progress of the executions whose typical time is known, as a share of their expected times.
///
/// The sum is kept in integers, so that adding and removing an execution leaves no rounding error.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExecutionProgress {
    executions: u64,
    weights: u128,
    weighted_starts: u128,
}

impl ExecutionProgress {
    /// Creates a sum over no executions.
    #[must_use]
    pub const fn new() -> Self {
        Self { executions: 0, weights: 0, weighted_starts: 0 }
    }

    /// Returns the number of executions in the sum.
    #[must_use]
    pub const fn executions(&self) -> u64 {
        self.executions
    }

    /// Returns the share of its expected time that elapses per microsecond, as a fixed-point number.
    const fn weight(expected_service_us: u64) -> u128 {
        (1 << WEIGHT_BITS) / expected_service_us as u128
    }

    /// Adds an execution that started at `start_us`.
    pub const fn add(&mut self, expected_service_us: u64, start_us: u64) {
        let weight = Self::weight(expected_service_us);
        self.executions += 1;
        self.weights += weight;
        self.weighted_starts += weight * start_us as u128;
    }

    /// Removes an execution, given the same values as it was added with.
    pub const fn remove(&mut self, expected_service_us: u64, start_us: u64) {
        let weight = Self::weight(expected_service_us);
        self.executions = self.executions.saturating_sub(1);
        self.weights = self.weights.saturating_sub(weight);
        self.weighted_starts = self.weighted_starts.saturating_sub(weight * start_us as u128);
    }

    /// Returns the elapsed multiples of the expected times, summed over all executions, in thousandths.
    #[must_use]
    pub fn elapsed_permille(&self, now_us: u64) -> u64 {
        let elapsed = (self.weights * u128::from(now_us)).saturating_sub(self.weighted_starts);
        u64::try_from((elapsed * u128::from(PERMILLE)) >> WEIGHT_BITS).unwrap_or(u64::MAX)
    }
}

/// Converts to whole microseconds, saturating.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
