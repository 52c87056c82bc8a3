//! Follows what the upstream of a gate announces about itself with its answers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::admission::Admission;
use crate::coordination::cold_limit::ColdCause;
use crate::log_event_limited;
use crate::protocol::external_fields::UpstreamNotice;
use crate::protocol::rate_limit;
use crate::protocol::rate_limit::RateLimit;
use crate::transport::gate::Gate;
use crate::transport::upstream_pool::UpstreamPool;

/// Time that a new external upstream has for its first answer before calls are sent to it all the same.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Rate limit of an external upstream that has given no answer yet.
const INITIAL_RATE_LIMIT: RateLimit = RateLimit { millirequests_per_s: 10_000 };

/// Request whose answer carried a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoticeSource {
    /// A call that the gate forwarded.
    Call,
    /// A probe that the gate made itself.
    Probe,
}

impl NoticeSource {
    const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Probe => "probe",
        }
    }
}

impl Gate {
    /// Records what the upstream behind `pool` announced, and logs a change.
    ///
    /// An unreadable notice leaves the previous one in effect.
    pub(super) fn observe_notice(
        &self,
        pool: &UpstreamPool,
        notice: rate_limit::Result<UpstreamNotice>,
        source: NoticeSource,
    ) {
        let notice = match notice {
            Ok(notice) => notice,
            Err(error) => {
                log_event_limited!(Warn, "upstream notice ignored", error = error, source = source.name());
                return;
            }
        };
        let (notice, previous) = pool.record_notice(notice);
        if previous == Some(notice) {
            return;
        }
        if self.is_current(pool) {
            // A draining upstream must not get the calls that a changed rate limit would start.
            if notice.draining {
                self.drain();
            }
            self.set_rate_limit(notice.rate_limit);
        }
        let load = self.load();
        log_event_limited!(
            Info,
            "upstream notice changed",
            service = pool.service(),
            instance = pool.instance().map_or("none", AsRef::as_ref),
            rate_limit_per_s = rate_text(Some(notice)),
            previous_limit_per_s = rate_text(previous),
            draining = notice.draining,
            source = source.name(),
            sent_requests = pool.sent_requests(),
            running = load.running,
            queued = load.queued,
        );
    }

    /// Returns whether calls are sent to the upstream behind `pool`, and not to a later one.
    pub(super) fn is_current(&self, pool: &UpstreamPool) -> bool {
        self.pool.load().as_ref().is_some_and(|current| std::ptr::eq(Arc::as_ptr(current), pool))
    }

    /// Returns whether the upstream has announced with an answer that it drains.
    #[must_use]
    pub fn is_upstream_draining(&self) -> bool {
        self.pool.load().as_ref().is_some_and(|pool| pool.is_draining())
    }

    /// Replaces the upstream; calls to a new external one are held back until its first answer.
    pub(super) fn replace_upstream(&self, pool: UpstreamPool) {
        if self.external_fields.is_some() {
            hold_starts(&mut self.queue.lock().admission);
        }
        self.suspect_cold_after(ColdCause::NewUpstream);
        self.pool.store(Some(Arc::new(pool)));
        self.next_start_changed.notify_one();
        self.upstream_replaced.notify_one();
    }

    /// Holds calls to a new upstream back for longer, unless it was already probed.
    pub fn extend_wait_for_first_answer(&self) {
        // An answer that arrives now ends the hold, since it takes the lock after its notice is recorded.
        let mut queue = self.queue.lock();
        let pool = self.pool.load();
        if pool.as_ref().is_some_and(|pool| pool.notice().is_none() && !pool.is_probed()) {
            hold_starts(&mut queue.admission);
            self.next_start_changed.notify_one();
        }
    }

    /// Records that the upstream is probed, from when on a new one has a limited time for its first answer.
    pub fn record_probe(&self) {
        self.extend_wait_for_first_answer();
        if let Some(pool) = self.pool.load().as_ref() {
            pool.record_probe();
        }
    }

    /// Sets or removes the rate limit at which calls start, and starts queued calls that it permits.
    pub(super) fn set_rate_limit(&self, limit: Option<RateLimit>) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.set_rate_limit(limit, Instant::now());
        queue.deliver(outcomes);
        drop(queue);
        self.next_start_changed.notify_one();
    }

    /// Waits until the gate has a new upstream, which has to be probed.
    pub async fn upstream_replaced(&self) {
        self.upstream_replaced.notified().await;
    }

    /// Starts queued calls as the rate limit of the upstream permits them, until `stop` is cancelled.
    pub async fn start_rate_limited_calls(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let next_start_at = self.queue.lock().admission.next_start_at(Instant::now());
            let next_start = async {
                match next_start_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = self.next_start_changed.notified() => {}
                () = next_start => self.start_held_calls(),
            }
        }
    }
}

fn hold_starts(admission: &mut Admission) {
    admission.hold_starts(INITIAL_RATE_LIMIT, Instant::now() + FIRST_ANSWER_TIMEOUT);
}

fn rate_text(notice: Option<UpstreamNotice>) -> String {
    match notice {
        None => "unknown".to_owned(),
        Some(notice) => notice.rate_limit.map_or("none".to_owned(), |limit| limit.to_string()),
    }
}
