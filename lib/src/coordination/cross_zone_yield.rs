//! Share of a service's attempts in other availability zones that the gates there admit.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const PERMILLE: u64 = 1_000;
/// Smoothing of the share: the weight of an attempt is one over this number.
const SMOOTHING: u64 = 32;
/// Lower bound of the share, so that attempts go on where no upstream of the own zone is of use.
const MIN_ADMITTED_PERMILLE: u64 = 250;

/// Admitted share of the attempts that one ingress makes in other zones.
///
/// An attempt that a gate rejects has crossed zones in vain. Under overload most attempts are rejected, so an
/// answer from another zone costs several crossings.
#[derive(Debug)]
pub struct CrossZoneYield {
    admitted_permille: AtomicU64,
}

impl Default for CrossZoneYield {
    fn default() -> Self {
        Self { admitted_permille: AtomicU64::new(PERMILLE) }
    }
}

impl CrossZoneYield {
    /// Records an attempt in another zone, and whether the gate admitted it.
    pub fn record(&self, admitted: bool) {
        let sample = if admitted { PERMILLE } else { 0 };
        let smoothed = |share: u64| Some((share * (SMOOTHING - 1) + sample) / SMOOTHING);
        let _previous = self.admitted_permille.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smoothed);
    }

    /// Returns the expected cost of an answer from another zone, given the cost of crossing once.
    #[must_use]
    pub fn cost_of_answer(&self, crossing_cost: u64) -> u64 {
        let admitted_permille = self.admitted_permille.load(Ordering::Relaxed).max(MIN_ADMITTED_PERMILLE);
        crossing_cost * PERMILLE / admitted_permille
    }
}
