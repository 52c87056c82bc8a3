//! One call on its way through an ingress.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::coordination::burn_tally::BurnTally;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::published::PublishedConfig;
use crate::protocol::ticket::Ticket;
use crate::state::burn_counts::BurnCounts;
use crate::state::burn_counts::BurnKey;
use crate::state::usual_time::UsualTime;
use crate::transport::call_attempts::Wanted;

/// Time after which a second copy of a call may start, against the usual time of its route.
const COPY_AFTER_PERCENT: u32 = 140;
const PERCENT: u32 = 100;

/// A call on its way through the ingress.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) id_field: HeaderValue,
    pub(super) ticket: Option<Ticket>,
    pub(super) head: CallHead,
    pub(super) priority_name: Arc<str>,
    pub(super) caller: Arc<str>,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    pub(super) start_by: Instant,
    pub(super) usual: Option<Arc<UsualTime>>,
    /// Second copies of it that were sent on a route.
    pub(super) copies: AtomicU32,
    /// Gates that it was sent to, and the last of them.
    pub(super) sent: u32,
    pub(super) last_gate: Option<Arc<str>>,
    pub(super) objective: Duration,
    pub(super) objective_at: Option<Instant>,
    pub(super) max_attempts: u32,
    pub(super) tally: Arc<BurnTally>,
}

impl Call {
    pub(super) fn new(
        id: CallId,
        id_field: HeaderValue,
        head: CallHead,
        config: &PublishedConfig,
        burn: &Arc<BurnCounts>,
        remote: SocketAddr,
    ) -> Self {
        let started = Instant::now();
        let declared = config.priorities.priorities.get_index(usize::from(head.priority));
        let priority_name = declared.map(|(name, _)| Arc::clone(name)).unwrap_or_default();
        let objective = declared.map_or(head.timeout, |(_, spec)| Duration::from_millis(spec.objective_ms));
        let key = BurnKey { service: Arc::clone(&head.service), priority: Arc::clone(&priority_name) };
        Self {
            id,
            id_field,
            priority_name,
            caller: head.caller.clone().unwrap_or_else(|| Arc::from(remote.ip().to_string())),
            started,
            deadline: started + head.timeout,
            start_by: started + head.timeout,
            usual: None,
            copies: AtomicU32::new(0),
            sent: 0,
            last_gate: None,
            objective,
            objective_at: None,
            max_attempts: config.service.retry.max_attempts,
            tally: Arc::new(BurnTally::new(Arc::clone(burn), key, objective, started)),
            head,
            ticket: None,
        }
    }

    /// The call is about to go to the gate of that node.
    pub(super) fn sent_to(&mut self, gate: &Arc<str>) {
        self.sent += 1;
        self.last_gate = Some(Arc::clone(gate));
    }

    /// Goes on under another identity, after a proof that it never ran under this one.
    pub(super) fn rename(&mut self, id: CallId) {
        log::debug!("call goes on under a new identity; call={} next={id}", self.id);
        if let Ok(field) = HeaderValue::from_str(&id.to_string()) {
            self.id_field = field;
            self.id = id;
        }
    }

    /// Gives the call the objective of its route, counted from when it arrived.
    pub(super) fn follow_route(&mut self, objective: Duration, usual: &Arc<UsualTime>) {
        self.objective = objective;
        self.objective_at = Some(self.started + objective);
        self.usual = Some(Arc::clone(usual));
    }

    /// The call may wait for a slot until then at the latest.
    pub(super) fn wait_until(&mut self, at: Instant) {
        self.start_by = self.start_by.min(at);
    }

    /// Latest moment at which it may get a slot, where that is before its deadline.
    pub(super) fn start_by(&self) -> Option<Instant> {
        (self.start_by < self.deadline).then_some(self.start_by)
    }

    /// What the call wants of its upstream.
    pub(super) fn wanted(&self) -> Wanted<'_> {
        let objective = self.objective.saturating_sub(self.started.elapsed());
        let usual = self.usual_time().unwrap_or_default();
        Wanted { service: &self.head.service, priority: self.head.priority, objective, usual }
    }

    /// Second copies that count among the attempts that its route allows.
    pub(super) fn copies(&self) -> u32 {
        self.copies.load(Ordering::Relaxed)
    }

    /// A second copy is about to go out.
    pub(super) fn copy_sent(&self) {
        self.copies.fetch_add(u32::from(self.follows_route()), Ordering::Relaxed);
    }

    /// The second copy went no further than a gate.
    pub(super) fn copy_refused(&self) {
        self.copies.fetch_sub(u32::from(self.follows_route()), Ordering::Relaxed);
    }

    /// Time after which a second copy may race the first, on a route, if it can still be in time.
    pub(super) fn copy_after(&self, reached: u32) -> Option<Duration> {
        let may_run_twice = self.head.idempotent && reached + self.copies() + 2 <= self.max_attempts;
        let usual = self.usual_time().filter(|_| may_run_twice)?;
        let delay = usual * COPY_AFTER_PERCENT / PERCENT;
        let left = self.objective.saturating_sub(self.started.elapsed());
        (delay + usual <= left).then_some(delay)
    }

    /// Whether a route says what the call needs.
    pub(super) const fn follows_route(&self) -> bool {
        self.usual.is_some()
    }

    /// Time that such calls usually take, where that is known.
    pub(super) fn usual_time(&self) -> Option<Duration> {
        self.usual.as_ref().map(|usual| usual.get()).filter(|usual| !usual.is_zero())
    }

    /// Takes in how long an upstream took for the call.
    pub(super) fn note_service_time(&self, took: Duration) {
        if let Some(usual) = &self.usual {
            usual.observe(took);
        }
    }

    pub(super) fn may_retry(&self, answer: &ErrorAnswer) -> bool {
        match answer.execution {
            Execution::NotExecuted => answer.kind.row().retryable,
            Execution::OutcomeUnknown => self.head.idempotent && answer.kind == ErrorKind::OutcomeUnknown,
        }
    }
}
