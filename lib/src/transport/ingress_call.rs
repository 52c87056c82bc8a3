//! State of one call in the ingress: identity, deadlines, objective, and the attempts made so far.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use crate::coordination::call_measurement::CallMeasurement;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::published::PublishedConfig;
use crate::state::burn_counts::BurnCounts;
use crate::state::burn_counts::BurnKey;
use crate::state::tenant_table::Tenant;
use crate::state::typical_time::TypicalTime;
use crate::transport::call_attempts::UpstreamRequirements;

/// Delay before a hedged request of a call, as a percentage of its route's typical service time.
const HEDGE_DELAY_PERCENT: u32 = 140;
const PERCENT: u32 = 100;

/// A call that the ingress is handling.
#[derive(Debug)]
pub(super) struct IngressCall {
    pub(super) id: CallId,
    /// The identity as a header value.
    pub(super) id_header: HeaderValue,
    /// Issued idempotency key that the caller sent, if any.
    pub(super) issued_key: Option<IssuedKey>,
    pub(super) head: CallHead,
    pub(super) priority_name: Arc<str>,
    /// Name that the caller sent, or else its IP address.
    pub(super) caller: Arc<str>,
    pub(super) started: Instant,
    pub(super) deadline: Instant,
    /// Latest time at which the call may get a slot; the deadline unless limited further.
    pub(super) start_by: Instant,
    /// Typical service time of the route, shared with its other calls; none for a call without a route.
    pub(super) typical_time: Option<Arc<TypicalTime>>,
    /// Hedged requests that count towards the maximum attempts of the route.
    pub(super) counted_hedges: AtomicU32,
    /// Number of gates that the call was sent to, hedged requests excluded.
    pub(super) gates_attempted: u32,
    /// The last of these gates.
    pub(super) last_gate: Option<Arc<str>>,
    /// Latency objective, counted from `started`.
    pub(super) objective: Duration,
    /// Time at which a route's objective ends; none for a call without a route.
    pub(super) objective_at: Option<Instant>,
    /// Maximum number of attempts that may reach an upstream.
    pub(super) max_attempts: u32,
    /// Who makes the call.
    pub(super) origin: CallOrigin,
    /// Tenant that the call belongs to, if it belongs to one.
    pub(super) tenant: Option<Tenant>,
    /// Whether the call counts towards the quota of its tenant, which it does if it came with the tenant's key.
    pub(super) uses_quota: bool,
    pub(super) measurement: Arc<CallMeasurement>,
}

impl IngressCall {
    pub(super) fn new(
        id: CallId,
        id_header: HeaderValue,
        head: CallHead,
        config: &PublishedConfig,
        burn: &Arc<BurnCounts>,
        remote: SocketAddr,
    ) -> Self {
        let started = Instant::now();
        let priority_entry = config.priorities.priorities.get_index(usize::from(head.priority));
        let priority_name = priority_entry.map(|(name, _)| Arc::clone(name)).unwrap_or_default();
        let objective =
            priority_entry.map_or(head.timeout, |(_, spec)| Duration::from_millis(spec.objective_ms));
        let key = BurnKey { service: Arc::clone(&head.service), priority: Arc::clone(&priority_name) };
        Self {
            id,
            id_header,
            priority_name,
            caller: head.caller.clone().unwrap_or_else(|| Arc::from(remote.ip().to_string())),
            started,
            deadline: started + head.timeout,
            start_by: started + head.timeout,
            typical_time: None,
            counted_hedges: AtomicU32::new(0),
            gates_attempted: 0,
            last_gate: None,
            objective,
            objective_at: None,
            origin: CallOrigin::Caller,
            tenant: None,
            uses_quota: false,
            max_attempts: config.service.retry.max_attempts,
            measurement: Arc::new(CallMeasurement::new(Arc::clone(burn), key, objective, started)),
            head,
            issued_key: None,
        }
    }

    /// Sets the issued idempotency key, with which the call is executed at most once.
    pub(super) fn set_issued_key(&mut self, issued_key: Option<IssuedKey>) {
        self.head.idempotent &= issued_key.is_none();
        self.issued_key = issued_key;
    }

    /// Returns the name of the tenant whose quota the call counts towards; none for a nested call, whose parent
    /// counted.
    pub(super) fn quota_tenant(&self) -> Option<&Arc<str>> {
        self.tenant.as_ref().filter(|_| self.uses_quota).map(|tenant| &tenant.name)
    }

    /// Records that the call is about to be sent to the gate of the given node.
    pub(super) fn record_attempted_gate(&mut self, gate: &Arc<str>) {
        self.gates_attempted += 1;
        self.last_gate = Some(Arc::clone(gate));
    }

    /// Replaces the identity of a call that was provably not executed under the present one.
    pub(super) fn replace_id(&mut self, id: CallId) {
        log::debug!("call continues under a new identity; call={} next={id}", self.id);
        if let Ok(field) = HeaderValue::from_str(&id.to_string()) {
            self.id_header = field;
            self.id = id;
        }
    }

    /// Applies the time left to the objective, counted from `started`, and the typical service time of the call's
    /// route.
    pub(super) fn apply_route(&mut self, objective: Duration, typical_time: &Arc<TypicalTime>) {
        self.objective = objective;
        self.objective_at = Some(self.started + objective);
        self.typical_time = Some(Arc::clone(typical_time));
    }

    /// Limits the wait for a slot to end at `at`, unless an earlier limit applies.
    pub(super) fn limit_slot_wait(&mut self, at: Instant) {
        self.start_by = self.start_by.min(at);
    }

    /// Returns the latest time at which the call may get a slot, if that is before its deadline.
    pub(super) fn start_by(&self) -> Option<Instant> {
        (self.start_by < self.deadline).then_some(self.start_by)
    }

    /// Returns the criteria by which an upstream is chosen, with the time remaining until the objective.
    pub(super) fn requirements(&self) -> UpstreamRequirements<'_> {
        let objective = self.objective.saturating_sub(self.started.elapsed());
        let typical_time = self.typical_time().unwrap_or_default();
        UpstreamRequirements {
            service: &self.head.service,
            priority: self.head.priority,
            objective,
            typical_time,
        }
    }

    /// Returns the number of hedged requests that count towards the maximum attempts of the route.
    pub(super) fn counted_hedges(&self) -> u32 {
        self.counted_hedges.load(Ordering::Relaxed)
    }

    /// Records that a hedged request is about to be sent.
    pub(super) fn record_hedge_sent(&self) {
        self.counted_hedges.fetch_add(u32::from(self.has_route()), Ordering::Relaxed);
    }

    /// Records that a gate rejected the hedged request, so that it does not count as an attempt.
    pub(super) fn record_hedge_rejected(&self) {
        self.counted_hedges.fetch_sub(u32::from(self.has_route()), Ordering::Relaxed);
    }

    /// Returns the delay after which a call with a route may be hedged.
    ///
    /// None if the call may not be executed twice, its attempts are used up, or the hedged request would
    /// typically end after the objective. `reached_upstreams` counts the earlier attempts that reached an
    /// upstream.
    pub(super) fn hedge_delay(&self, reached_upstreams: u32) -> Option<Duration> {
        let may_hedge =
            self.head.idempotent && reached_upstreams + self.counted_hedges() + 2 <= self.max_attempts;
        let typical_time = self.typical_time().filter(|_| may_hedge)?;
        let delay = typical_time * HEDGE_DELAY_PERCENT / PERCENT;
        let remaining = self.objective.saturating_sub(self.started.elapsed());
        (delay + typical_time <= remaining).then_some(delay)
    }

    /// Returns whether the objective and the typical service time come from a route.
    pub(super) const fn has_route(&self) -> bool {
        self.typical_time.is_some()
    }

    /// Returns the typical service time of the call's route, if known.
    pub(super) fn typical_time(&self) -> Option<Duration> {
        self.typical_time
            .as_ref()
            .map(|typical_time| typical_time.get())
            .filter(|typical_time| !typical_time.is_zero())
    }

    /// Records the service time of this call on a VM at normal speed, queueing excluded.
    pub(super) fn record_service_time(&self, service_time: Duration) {
        if let Some(typical_time) = &self.typical_time {
            typical_time.record(service_time);
        }
    }

    /// Returns whether the call may be attempted again after this error.
    pub(super) fn may_retry(&self, answer: &ErrorAnswer) -> bool {
        match answer.execution {
            Execution::NotExecuted => answer.kind.properties().retryable,
            Execution::OutcomeUnknown => self.head.idempotent && answer.kind == ErrorKind::OutcomeUnknown,
        }
    }
}
