//! Result of one call against its latency objective, with the cause of a miss.

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
use crate::state::burn_counts::ObjectiveResult;

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The caller received the whole body.
    Complete,
    /// The upstream aborted the body.
    UpstreamAborted,
    /// The caller disconnected before it received the whole body.
    CallerDisconnected,
}

/// Measures one call and counts its result exactly once, at the latest on drop.
#[derive(Debug)]
pub struct CallMeasurement {
    counts: Arc<BurnCounts>,
    key: BurnKey,
    objective: Duration,
    started: Instant,
    earlier_attempts_us: AtomicU64,
    queued_us: AtomicU64,
    status: AtomicU32,
    counted: AtomicBool,
}

impl CallMeasurement {
    /// Starts measuring a call that began at `started`.
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

    /// Records that another attempt starts after a failed one, and the time used so far.
    pub fn record_retry(&self, now: Instant) {
        self.earlier_attempts_us.store(micros(now - self.started), Ordering::Relaxed);
    }

    /// Records the status of a response, and the time for which the gate had queued the call.
    pub fn record_response_head(&self, status: StatusCode, queued: Duration) {
        self.status.store(u32::from(status.as_u16()), Ordering::Relaxed);
        self.queued_us.store(micros(queued), Ordering::Relaxed);
    }

    /// Counts the call when the body of its response has ended.
    pub fn record_body_end(&self, end: BodyEnd, now: Instant) {
        let elapsed = now - self.started;
        let is_late = elapsed > self.objective;
        let is_server_error =
            self.status.load(Ordering::Relaxed) >= u32::from(StatusCode::INTERNAL_SERVER_ERROR.as_u16());
        let result = match end {
            BodyEnd::UpstreamAborted => ObjectiveResult::MissedWithoutAnswer(MissCause::UpstreamError),
            BodyEnd::CallerDisconnected => abandoned_result(is_late),
            BodyEnd::Complete if is_server_error => {
                ObjectiveResult::MissedWithAnswer(MissCause::UpstreamError)
            }
            BodyEnd::Complete if is_late => ObjectiveResult::MissedWithAnswer(self.slowest_phase(elapsed)),
            BodyEnd::Complete => ObjectiveResult::Good,
        };
        self.count(result, now);
    }

    /// Counts a failed call, unless the caller caused the error.
    pub fn record_failure(&self, kind: ErrorKind, now: Instant) {
        match miss_cause(kind) {
            Some(cause) => self.count(ObjectiveResult::MissedWithoutAnswer(cause), now),
            None => self.counted.store(true, Ordering::Relaxed),
        }
    }

    /// Returns the cause for the longest phase of a late call: earlier attempts, queue or upstream.
    fn slowest_phase(&self, elapsed: Duration) -> MissCause {
        let earlier_attempts_us = self.earlier_attempts_us.load(Ordering::Relaxed);
        let queued_us = self.queued_us.load(Ordering::Relaxed);
        let upstream_us = micros(elapsed).saturating_sub(earlier_attempts_us + queued_us);
        if earlier_attempts_us >= queued_us.max(upstream_us) {
            MissCause::Retries
        } else if queued_us >= upstream_us {
            MissCause::Queueing
        } else {
            MissCause::UpstreamTime
        }
    }

    fn count(&self, result: ObjectiveResult, now: Instant) {
        if !self.counted.swap(true, Ordering::Relaxed) {
            self.counts.record(&self.key, result, now - self.started, now);
        }
    }
}

impl Drop for CallMeasurement {
    fn drop(&mut self) {
        let now = Instant::now();
        self.count(abandoned_result(now - self.started > self.objective), now);
    }
}

/// Returns the result of a call whose caller disconnected.
const fn abandoned_result(is_late: bool) -> ObjectiveResult {
    if is_late {
        ObjectiveResult::MissedWithoutAnswer(MissCause::CallerGone)
    } else {
        ObjectiveResult::CallerLeft
    }
}

/// Returns the cause of the miss that an error kind stands for, or `None` if the caller caused the error.
#[must_use]
pub const fn miss_cause(kind: ErrorKind) -> Option<MissCause> {
    match kind {
        ErrorKind::MalformedRequest
        | ErrorKind::UnknownService
        | ErrorKind::UnknownPriority
        | ErrorKind::HeadersTooLarge
        | ErrorKind::BodyTooLarge
        | ErrorKind::UpgradeRefused => None,
        _ => Some(match kind.properties().execution {
            Execution::NotExecuted => MissCause::Rejection,
            Execution::OutcomeUnknown => MissCause::UnknownOutcome,
        }),
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
