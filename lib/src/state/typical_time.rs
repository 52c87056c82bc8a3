//! The time that calls of one kind usually take.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Part of the figure by which one sample moves it.
const STEP_DIVISOR: u64 = 16;
/// Least step, in microseconds.
const STEP_MIN_US: u64 = 20;

/// A running median, written without locks.
///
/// Upstreams are slow now and then by a multiple, which would lift a mean far above the usual.
#[derive(Debug, Default)]
pub struct TypicalTime {
    micros: AtomicU64,
}

impl TypicalTime {
    /// Takes in how long one call took.
    pub fn observe(&self, took: Duration) {
        let sample = u64::try_from(took.as_micros()).unwrap_or(u64::MAX).max(1);
        let follow = |old: u64| {
            let step = (old / STEP_DIVISOR).max(STEP_MIN_US);
            match old {
                0 => Some(sample),
                old if sample > old => Some(old + step.min(sample - old)),
                old => Some(old - step.min(old - sample)),
            }
        };
        let _previous = self.micros.fetch_update(Ordering::Relaxed, Ordering::Relaxed, follow);
    }

    /// The usual time; nothing before the first call.
    #[must_use]
    pub fn get(&self) -> Duration {
        Duration::from_micros(self.micros.load(Ordering::Relaxed))
    }
}
