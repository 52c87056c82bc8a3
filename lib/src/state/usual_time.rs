//! The time that calls of one kind usually take.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SMOOTHING: u64 = 32;

/// A smoothed time, written without locks.
#[derive(Debug, Default)]
pub struct UsualTime {
    micros: AtomicU64,
}

impl UsualTime {
    /// Takes in how long one call took.
    pub fn observe(&self, took: Duration) {
        let sample = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let smooth = |old: u64| match old {
            0 => Some(sample),
            old => Some((old.saturating_mul(SMOOTHING - 1).saturating_add(sample)) / SMOOTHING),
        };
        let _previous = self.micros.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smooth);
    }

    /// The usual time; nothing before the first call.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}
