//! Pauses that grow with every failure and differ from node to node.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// A growing pause between attempts.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from `first`, doubled with each failure, up to `longest`.
    #[must_use]
    pub const fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest, failures: 0 }
    }

    /// An attempt succeeded.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after one more failure: anything up to the present bound.
    pub fn next<R>(&mut self, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let bound = self.first.saturating_mul(2_u32.saturating_pow(self.failures.min(16))).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rng.random_range(0.5..1.0))
    }
}

/// A pause of `around`, half as much more or less.
pub fn jittered<R>(around: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    around.mul_f64(rng.random_range(0.5..1.5))
}
