//! Runs of an upstream, and how much of their expected time has passed.

use std::time::Duration;

use tokio::time::Instant;

const PERMILLE: u64 = 1_000;
const PERCENT: u64 = 100;
/// Fixed point of the weights of runs, in bits.
const WEIGHT_BITS: u32 = 32;
/// Least usual time that a run is weighed with.
const MIN_USUAL_US: u64 = 100;

/// A call that the upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// When it took its slot.
    pub started: Instant,
    /// Time that such a call usually takes, where that is known.
    pub usual: Option<Duration>,
    /// Pace of the upstream's VM when it started, 100 the usual.
    pub pace_percent: u64,
}

impl Run {
    pub(super) fn usual_us(&self) -> Option<u64> {
        self.usual.map(|usual| micros(usual).max(MIN_USUAL_US))
    }

    /// Time that it takes at the pace of its start, where its usual time is known.
    pub(super) fn expected_us(&self) -> Option<u64> {
        self.usual_us().map(|usual_us| (usual_us * self.pace_percent / PERCENT).max(1))
    }

    /// Time against the usual, in thousandths, had it run at the usual pace.
    pub(super) fn slowness_permille(&self, took_us: u64, usual_us: u64) -> u64 {
        took_us.saturating_mul(PERMILLE * PERCENT) / usual_us.saturating_mul(self.pace_percent.max(1))
    }
}

/// Runs whose usual time is known, by how much of it has passed, summed exactly.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    runs: u64,
    weights: u128,
    weighted_starts: u128,
}

impl Exposure {
    /// No runs yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { runs: 0, weights: 0, weighted_starts: 0 }
    }

    /// Runs that are counted in.
    #[must_use]
    pub const fn runs(&self) -> u64 {
        self.runs
    }

    /// Share of its expected time that a run spends in a microsecond.
    const fn weight(expected_us: u64) -> u128 {
        (1 << WEIGHT_BITS) / expected_us as u128
    }

    /// Counts a run in.
    pub const fn add(&mut self, expected_us: u64, start_us: u64) {
        let weight = Self::weight(expected_us);
        self.runs += 1;
        self.weights += weight;
        self.weighted_starts += weight * start_us as u128;
    }

    /// Counts a run out.
    pub const fn remove(&mut self, expected_us: u64, start_us: u64) {
        let weight = Self::weight(expected_us);
        self.runs = self.runs.saturating_sub(1);
        self.weights = self.weights.saturating_sub(weight);
        self.weighted_starts = self.weighted_starts.saturating_sub(weight * start_us as u128);
    }

    /// Usual times that have passed over all runs together, in thousandths.
    #[must_use]
    pub fn passed_permille(&self, now_us: u64) -> u64 {
        let passed = (self.weights * u128::from(now_us)).saturating_sub(self.weighted_starts);
        u64::try_from((passed * u128::from(PERMILLE)) >> WEIGHT_BITS).unwrap_or(u64::MAX)
    }
}

/// Whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
