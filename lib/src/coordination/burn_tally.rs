//! One call held against its objective, and what made it miss.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use crate::protocol::burn::MissCause;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::state::burn_counts::BurnCounts;
use crate::state::burn_counts::BurnKey;
use crate::state::burn_counts::CallResult;

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The caller has all of it.
    Whole,
    /// The upstream broke it off.
    Broken,
    /// The caller left before it had all of it.
    Dropped,
}

/// Follows one call and counts it once, at the latest when it is dropped.
#[derive(Debug)]
pub struct BurnTally {
    counts: Arc<BurnCounts>,
    key: BurnKey,
    objective: Duration,
    started: Instant,
    earlier_attempts_us: AtomicU64,
    queued_us: AtomicU64,
    status: AtomicU32,
    counted: AtomicBool,
}

impl BurnTally {
    /// Follows a call that started at `started`.
    #[must_use]
    pub const fn new(counts: Arc<BurnCounts>, key: BurnKey, objective: Duration, started: Instant) -> Self {
        Self {
            counts,
            key,
            objective,
            started,
            earlier_attempts_us: AtomicU64::new(0),
            queued_us: AtomicU64::new(0),
            status: AtomicU32::new(0),
            counted: AtomicBool::new(false),
        }
    }

    /// Another attempt starts after one has failed.
    pub fn retried(&self, now: Instant) {
        self.earlier_attempts_us.store(micros(now - self.started), Ordering::Relaxed);
    }

    /// The header section of an answer came, after the gate had queued the call for a time.
    pub fn answered(&self, status: StatusCode, queued: Duration) {
        self.status.store(u32::from(status.as_u16()), Ordering::Relaxed);
        self.queued_us.store(micros(queued), Ordering::Relaxed);
    }

    /// The body of the answer ended.
    pub fn ended(&self, end: BodyEnd, now: Instant) {
        let took = now - self.started;
        let late = took > self.objective;
        let failed =
            self.status.load(Ordering::Relaxed) >= u32::from(StatusCode::INTERNAL_SERVER_ERROR.as_u16());
        let result = match end {
            BodyEnd::Broken => CallResult::Missed(MissCause::UpstreamError),
            BodyEnd::Dropped => left(late),
            BodyEnd::Whole if failed => CallResult::AnsweredMissed(MissCause::UpstreamError),
            BodyEnd::Whole if late => CallResult::AnsweredMissed(self.slowest_part(took)),
            BodyEnd::Whole => CallResult::Good,
        };
        self.count(result, now);
    }

    /// The call failed; a fault of the caller's own is not held against the objective.
    pub fn failed(&self, kind: ErrorKind, now: Instant) {
        match cause_of(kind) {
            Some(cause) => self.count(CallResult::Missed(cause), now),
            None => self.counted.store(true, Ordering::Relaxed),
        }
    }

    fn slowest_part(&self, took: Duration) -> MissCause {
        let earlier_us = self.earlier_attempts_us.load(Ordering::Relaxed);
        let queued_us = self.queued_us.load(Ordering::Relaxed);
        let upstream_us = micros(took).saturating_sub(earlier_us + queued_us);
        if earlier_us >= queued_us.max(upstream_us) {
            MissCause::Retries
        } else if queued_us >= upstream_us {
            MissCause::Queueing
        } else {
            MissCause::UpstreamTime
        }
    }

    fn count(&self, result: CallResult, now: Instant) {
        if !self.counted.swap(true, Ordering::Relaxed) {
            self.counts.record(&self.key, result, now - self.started, now);
        }
    }
}

impl Drop for BurnTally {
    fn drop(&mut self) {
        let now = Instant::now();
        self.count(left(now - self.started > self.objective), now);
    }
}

const fn left(late: bool) -> CallResult {
    if late { CallResult::Missed(MissCause::CallerGone) } else { CallResult::Left }
}

/// What an error kind says about the objective, or nothing when the caller is at fault.
#[must_use]
pub const fn cause_of(kind: ErrorKind) -> Option<MissCause> {
    match kind {
        ErrorKind::MalformedRequest
        | ErrorKind::UnknownService
        | ErrorKind::UnknownPriority
        | ErrorKind::HeadersTooLarge
        | ErrorKind::BodyTooLarge
        | ErrorKind::UpgradeRefused => None,
        _ => Some(match kind.row().execution {
            Execution::NotExecuted => MissCause::Rejection,
            Execution::OutcomeUnknown => MissCause::UnknownOutcome,
        }),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
