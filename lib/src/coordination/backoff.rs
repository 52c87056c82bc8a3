//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Exponentially growing delay between attempts.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `initial` and doubles with each failure, up to `max`.
    #[must_use]
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, failures: 0 }
    }

    /// Resets the delay after a successful attempt.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure, and returns a random delay between half the current bound and the bound.
    pub fn next_delay<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let bound = self.initial.saturating_mul(2_u32.saturating_pow(self.failures.min(16))).min(self.max);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random_range(0.5..1.0))
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`.
pub fn jittered<R>(mean: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    mean.mul_f64(rng.random_range(0.5..1.5))
}
