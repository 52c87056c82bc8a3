//! Token bucket of one tenant at one quota server, in proportion to the parts that the server holds.

use std::time::Duration;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::tenant_limits::TenantLimit;

/// Units of one token: a rate in thousandths per second, times parts per million, times nanoseconds.
const TOKEN: u128 = 1_000_000_000_000_000_000;

/// Units of one token for each part.
const TOKEN_PER_PART: u128 = TOKEN / ALL_PARTS as u128;

/// Tokens beyond the burst that a bucket with all parts may hold.
///
/// Without it a tenant with a burst of 1 would get nothing while a single part is missing.
pub const SPARE_TOKENS: u32 = 1;

/// Time at the tenant's rate to which the count of rejected requests is limited.
const MAX_BACKLOG: Duration = Duration::from_secs(10);

/// Outcome of an attempt to take tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Tokens taken.
    pub granted: u32,
    /// Time until there is a token for the first of the rejected requests.
    pub retry_after: Duration,
    /// Time from one token to the next.
    pub interval: Duration,
}

/// Tokens of one tenant, and the rejected requests that are expected to come again.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: TenantLimit,
    level: u128,
    /// Units that the bucket may hold beyond its capacity, also without parts: one token or nothing.
    extra: u128,
    /// Rejected requests for which a token is still to come, in units.
    backlog: u128,
}

impl TokenBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(limit: TenantLimit) -> Self {
        Self { limit, level: 0, extra: 0, backlog: 0 }
    }

    /// Adds what the bucket gains in a time during which the server holds `parts`.
    pub fn refill(&mut self, parts: u32, elapsed: Duration) {
        let gain = u128::from(self.limit.rate_millis_per_s) * u128::from(parts) * elapsed.as_nanos();
        self.backlog = self.backlog.saturating_sub(gain);
        self.level += gain;
        self.cut(parts);
    }

    /// Removes what a server that holds `parts` may not keep.
    pub fn cut(&mut self, parts: u32) {
        self.level = self.level.min(self.capacity(parts));
    }

    /// Sets whether the bucket may hold one token beyond its capacity.
    pub const fn set_extra(&mut self, has_extra: bool) {
        self.extra = if has_extra { TOKEN } else { 0 };
    }

    /// Returns the extra token to a bucket that has given it out.
    pub fn restore_extra(&mut self) {
        self.level = self.level.max(self.extra);
    }

    /// Returns whether the bucket of a server that holds `parts` may ever hold a whole token.
    #[must_use]
    pub fn holds_a_token(&self, parts: u32) -> bool {
        self.capacity(parts) >= TOKEN
    }

    /// Replaces the limit; a lower one applies to the tokens that are in the bucket.
    pub fn set_limit(&mut self, limit: TenantLimit, parts: u32) {
        self.limit = limit;
        self.cut(parts);
    }

    /// Takes up to `wanted` tokens.
    pub fn take(&mut self, wanted: u32, parts: u32) -> Taken {
        let available = u32::try_from(self.level / TOKEN).unwrap_or(u32::MAX);
        let granted = wanted.min(available);
        self.level -= u128::from(granted) * TOKEN;
        let retry_after = self.time_to((TOKEN + self.backlog).saturating_sub(self.level), parts);
        Taken { granted, retry_after, interval: self.time_to(TOKEN, parts) }
    }

    /// Counts rejected requests, which are expected to come again.
    pub fn count_rejected(&mut self, requests: u32) {
        let all_parts_rate = u128::from(self.limit.rate_millis_per_s) * u128::from(ALL_PARTS);
        let max_backlog = all_parts_rate * MAX_BACKLOG.as_nanos();
        self.backlog = (self.backlog + u128::from(requests) * TOKEN).min(max_backlog);
    }

    /// Returns the whole tokens in the bucket.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.level / TOKEN).unwrap_or(u32::MAX)
    }

    fn capacity(&self, parts: u32) -> u128 {
        let tokens = u128::from(self.limit.burst) + u128::from(SPARE_TOKENS);
        tokens * u128::from(parts) * TOKEN_PER_PART + self.extra
    }

    /// Returns the time in which the bucket gains this many units.
    fn time_to(&self, units: u128, parts: u32) -> Duration {
        let per_nano = u128::from(self.limit.rate_millis_per_s) * u128::from(parts);
        let nanos = units.checked_div(per_nano).unwrap_or(u128::MAX);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)).min(MAX_BACKLOG)
    }
}
