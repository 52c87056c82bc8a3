//! State of a node's stop that the log lines of its requests refer to, and the limit of these lines.

use std::fmt;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::Instant;

use crate::protocol::log_event::LogRateLimit;

/// Maximum number of lines a second of one call site while the node stops.
const MAX_LINES_AT_STOP: u32 = 200;

/// Why a stop closed connections whose requests were unfinished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEnd {
    /// The steps of the stop are over, or their time is.
    Completed,
    /// The stop was given up before its end.
    GivenUp,
}

impl fmt::Display for StopEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "stop_ended",
            Self::GivenUp => "stop_given_up",
        })
    }
}

/// When a node began to stop, and why it closed the connections that were left.
#[derive(Debug, Default)]
pub struct StopState {
    began_at: OnceLock<Instant>,
    stop_by: OnceLock<Instant>,
    end: OnceLock<StopEnd>,
}

impl StopState {
    /// Records that the node begins to stop; only the first record counts.
    pub fn begin(&self, now: Instant) {
        let _repeated = self.began_at.set(now);
    }

    /// Records when the stop ends at the latest; only the first record counts.
    pub fn limit(&self, stop_by: Instant) {
        let _repeated = self.stop_by.set(stop_by);
    }

    /// Returns whether a call with this deadline may still run when the stop ends.
    #[must_use]
    pub fn may_outlast(&self, deadline: Instant) -> bool {
        self.stop_by.get().is_some_and(|stop_by| deadline > *stop_by)
    }

    /// Records that the node closes the connections that are left; only the first record counts.
    pub fn end(&self, end: StopEnd) {
        let _repeated = self.end.set(end);
    }

    /// Returns whether the node has begun to stop.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Returns the time since the node began to stop, or `None` if it does not stop.
    #[must_use]
    pub fn elapsed(&self) -> Option<Duration> {
        self.began_at.get().map(Instant::elapsed)
    }

    /// Returns why the node closed the connections that were left, or `None` before it did.
    #[must_use]
    pub fn ended_by(&self) -> Option<StopEnd> {
        self.end.get().copied()
    }
}

/// Rate limit for log lines that a stop may cause for many requests at the same moment.
#[derive(Debug)]
pub struct StopLogLimit {
    serving: LogRateLimit,
    stopping: LogRateLimit,
}

impl Default for StopLogLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl StopLogLimit {
    /// Creates a limit with empty windows.
    #[must_use]
    pub const fn new() -> Self {
        Self { serving: LogRateLimit::new(), stopping: LogRateLimit::with_max_lines(MAX_LINES_AT_STOP) }
    }

    /// Returns the number of lines suppressed since the last one, or `None` if this line is to be suppressed.
    pub fn admit(&self, is_stopping: bool, now: Instant) -> Option<u64> {
        if is_stopping { self.stopping.admit(now) } else { self.serving.admit(now) }
    }
}
