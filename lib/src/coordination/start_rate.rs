//! Limits the rate at which calls start at an upstream that has a rate limit.

use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::rate_limit::RateLimit;

/// Time without starts that is made up for by a burst.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Longest time between two starts, whatever the limit.
///
/// An upstream that accepts almost nothing can withdraw its limit only in an answer.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Spaces the starts of calls so that their rate stays within the limit of the upstream.
#[derive(Debug)]
pub struct StartRate {
    limit: Option<RateLimit>,
    /// Time from which the next call may start; a time in the past permits several calls at once.
    next_start_at: Instant,
    /// Whether `next_start_at` is the end of a hold.
    held: bool,
}

impl StartRate {
    /// Creates the state of an upstream without a rate limit.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { limit: None, next_start_at: now, held: false }
    }

    /// Sets or removes the limit.
    pub fn set_limit(&mut self, limit: Option<RateLimit>, now: Instant) {
        if limit == self.limit && !self.held {
            return;
        }
        let has_no_starts = self.limit.is_none() || self.held;
        self.limit = limit;
        self.held = false;
        let latest = if has_no_starts { now } else { now + self.interval().unwrap_or_default() };
        self.next_start_at = self.next_start_at.min(latest);
    }

    /// Lets no call start before `start_at`, and then sets the given limit.
    ///
    /// Any other limit that is set before ends the hold.
    pub const fn hold(&mut self, limit: RateLimit, start_at: Instant) {
        self.limit = Some(limit);
        self.next_start_at = start_at;
        self.held = true;
    }

    /// Records that a call starts now.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(interval) = self.interval() {
            let earliest = now.checked_sub(BURST_WINDOW).unwrap_or(now);
            self.next_start_at = self.next_start_at.max(earliest) + interval;
        }
    }

    /// Returns the time until a call may start, with `calls_ahead` others starting before it.
    #[must_use]
    pub fn delay(&self, calls_ahead: u32, now: Instant) -> Duration {
        self.interval().map_or(Duration::ZERO, |interval| {
            let next_start_at = self.next_start_at.max(now.checked_sub(BURST_WINDOW).unwrap_or(now));
            (next_start_at + interval.saturating_mul(calls_ahead)).saturating_duration_since(now)
        })
    }

    fn interval(&self) -> Option<Duration> {
        self.limit.map(|limit| limit.interval().map_or(MAX_INTERVAL, |interval| interval.min(MAX_INTERVAL)))
    }
}
