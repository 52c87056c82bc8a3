//! What a deployment allows beyond the limit of a tenant.

use std::time::Duration;

use crate::coordination::quota::TOKEN_VALIDITY;
use crate::coordination::quota::tenant_limits::TenantLimit;
use crate::coordination::quota::token_bucket::SPARE_TOKENS;

/// Part of the tokens of a window that clocks of different speed may add.
const CLOCK_SPEED_PART: f64 = 0.02;

/// Part of a window by which the pause before an extra token is longer, since clocks may run too fast.
const CLOCK_SPEED_DIVISOR: u32 = 50;

/// Requests allowed in a window: (rate x window + burst) x (1 + over) + slack, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAllowance {
    /// Length of the window.
    pub window: Duration,
    /// Part of the limit that may be exceeded.
    pub over: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl QuotaAllowance {
    /// Returns how many tokens beyond the limit all nodes together may give out in a window.
    ///
    /// Not counted are the spare token of the buckets, and tokens that are spent late or refilled by fast clocks.
    #[must_use]
    pub fn extra_tokens(&self, limit: TenantLimit) -> u32 {
        let rate = Duration::from_millis(limit.rate_millis_per_s).as_secs_f64();
        let in_window = rate * self.window.as_secs_f64();
        let allowed = (in_window + f64::from(limit.burst)) * self.over + self.slack;
        let used =
            f64::from(SPARE_TOKENS) + rate * TOKEN_VALIDITY.as_secs_f64() + in_window * CLOCK_SPEED_PART;
        whole(allowed - used)
    }

    /// Returns the time without tokens after which a node may give out its extra token again.
    #[must_use]
    pub fn pause(&self) -> Duration {
        self.window + self.window / CLOCK_SPEED_DIVISOR
    }
}

/// Returns the whole part of a number; 0 if it is negative.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a conversion from a float saturates, and a negative number becomes 0"
)]
const fn whole(number: f64) -> u32 {
    number as u32
}
