//! Gate of a node: the only way for calls into the upstream beside it.
//!
//! This module holds its state and its interface. Admission, forwarding, execution of calls that may run
//! only once, requests of the gate itself, and what the upstream announces have modules of their own.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use http::Request;
use http::Response;
use http_body_util::Either;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::admission::SlotGrant;
use crate::coordination::priority_queue::CallerKey;
use crate::coordination::priority_queue::PriorityRule;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;
use crate::protocol::check_in::UpstreamIncarnation;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::external_fields::UpstreamFields;
use crate::protocol::load_report::LoadReport;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::protocol::settings::Shedding;
use crate::state::call_records::CallRecordState;
use crate::state::call_records::CallRecords;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::state::parent_calls::ParentCalls;
use crate::state::running_requests::RunningRequest;
use crate::state::running_requests::RunningRequests;
use crate::transport::answer_relay::AnswerRelay;
use crate::transport::answer_relay::AnswerRelayBody;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_guard::CallGuard;
use crate::transport::gate_execution::RecordGuard;
use crate::transport::gate_log::log_unfinished;
use crate::transport::gate_queue::GateQueue;
use crate::transport::request_reception::fingerprint;
use crate::transport::stop_state::StopState;
use crate::transport::upstream_pool::UpstreamPool;

/// Result of forwarding a call through the gate.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Retry delay suggested in errors for which the queue gives no estimate.
pub(super) const GATE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry delay suggested when a call fails because of an evacuation, which usually lasts for minutes.
pub(super) const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Properties of a call that its admission and forwarding depend on.
#[derive(Clone, Debug)]
pub struct GateCall {
    /// Identity of the call.
    pub id: CallId,
    /// Requested service; an upstream of another service never receives the call.
    pub service: Arc<str>,
    /// Rank of the priority; 0 is the most urgent.
    pub priority: u8,
    /// Name of the priority.
    pub priority_name: Arc<str>,
    /// Whether the call is a retry or a hedged request, or is made on behalf of one.
    pub repeated: bool,
    /// Key of the caller, by which the queue is shared among callers.
    pub caller: CallerKey,
    /// Weight of the caller against others that have one, by which callers share slots.
    pub caller_weight: Option<NonZeroU32>,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Latest time at which the call may get a slot, if its ingress can't wait until the deadline.
    pub start_by: Option<Instant>,
    /// Time at which the latency objective is missed; `None` applies the objective of the priority.
    pub objective_at: Option<Instant>,
    /// Typical service time of such calls, if known.
    pub typical_time: Option<Duration>,
    /// Who makes the call.
    pub origin: CallOrigin,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Whether the call carries an issued idempotency key: a repeated request then gets the same answer.
    pub has_issued_key: bool,
    /// Maximum expected latency at this gate, queueing included, if another gate may be faster.
    pub max_gate_latency: Option<Duration>,
}

impl GateCall {
    pub(super) fn as_parent(&self) -> ParentCall {
        ParentCall {
            priority_name: Arc::clone(&self.priority_name),
            priority: self.priority,
            deadline: self.deadline,
            repeated: self.repeated,
        }
    }
}

/// Returns the key that identifies a caller by name.
#[must_use]
pub fn caller_key(name: &str) -> CallerKey {
    CallerKey(xxh3_64(name.as_bytes()))
}

/// Response of the upstream as the gate returns it.
pub type GateResponse = Response<GateBody>;

/// Response body: streamed from the upstream for an idempotent call, otherwise read from an answer relay.
pub type GateBody = Either<GuardedBody<CallBody, CallGuard>, AnswerRelayBody>;

/// Gate of one node: admits calls, queues or rejects them, and forwards them to the upstream.
#[derive(Debug)]
pub struct Gate {
    pub(super) queue: Mutex<GateQueue>,
    /// Running and recent non-idempotent calls with their answers.
    pub(super) records: CallRecords<Arc<AnswerRelay>>,
    /// Running calls, which limit the priority and the deadline of the nested calls that the upstream makes.
    pub(super) parents: ParentCalls,
    /// Identities of the external requests that the upstream is executing.
    pub(super) running_requests: RunningRequests,
    pub(super) pool: ArcSwapOption<UpstreamPool>,
    /// Header fields of an upstream that speaks an external dialect.
    pub(super) external_fields: Option<UpstreamFields>,
    pub(super) metrics: SharedMetrics,
    /// When the node began to stop.
    stop_state: Arc<StopState>,
    /// Notified when a queued call may have to start earlier than the one awaited so far.
    pub(super) next_start_changed: Notify,
    /// Notified when the gate has a new upstream, which has to be probed.
    pub(super) upstream_replaced: Notify,
}

impl Gate {
    /// Creates a gate without an upstream.
    #[must_use]
    pub fn new(metrics: SharedMetrics) -> Self {
        let queue = GateQueue::new(Shedding::default(), Instant::now());
        Self {
            queue: Mutex::new(queue),
            records: CallRecords::default(),
            parents: ParentCalls::default(),
            running_requests: RunningRequests::default(),
            pool: ArcSwapOption::empty(),
            external_fields: None,
            metrics,
            stop_state: Arc::default(),
            next_start_changed: Notify::new(),
            upstream_replaced: Notify::new(),
        }
    }

    /// Configures the gate for an upstream that speaks an external dialect.
    #[must_use]
    pub fn with_external_upstream(self, fields: UpstreamFields) -> Self {
        Self { external_fields: Some(fields), ..self }
    }

    /// Sets by what calls are delayed or rejected while slots are short.
    #[must_use]
    pub fn with_shedding(self, shedding: Shedding) -> Self {
        Self { queue: Mutex::new(GateQueue::new(shedding, Instant::now())), ..self }
    }

    /// Sets or updates the upstream as announced, and resumes admission unless its answers say that it drains.
    ///
    /// A new external upstream gets no calls until it has answered a probe or has had time to do so: only its
    /// answers tell its rate limit, and whether it drains.
    pub fn set_upstream(
        &self,
        addr: SocketAddr,
        service: &Arc<str>,
        incarnation: Option<&UpstreamIncarnation>,
        slots: u32,
        rule: &UpstreamRuleSpec,
    ) {
        let current = self.pool.load();
        let is_same = current.as_ref().is_some_and(|pool| {
            pool.addr() == addr && pool.service() == service && pool.incarnation() == incarnation
        });
        if !is_same {
            let service = Arc::clone(service);
            let pool = UpstreamPool::new(addr, service, incarnation.cloned(), rule.max_connections);
            self.replace_upstream(pool);
        }
        let mut queue = self.queue.lock();
        if !self.is_upstream_draining() {
            queue.set_upstream_drained(false);
        }
        queue.admission.set_adaptive(rule.adaptive_limit);
        let outcomes = queue.admission.set_limit(slots, Instant::now());
        queue.deliver(outcomes);
    }

    /// Stops admitting calls and rejects the queued ones.
    pub fn drain(&self) {
        self.queue.lock().set_upstream_drained(true);
    }

    /// Rejects new and queued calls as not executed until the evacuation of the zone ends.
    ///
    /// Running calls finish. Announcements of the upstream don't reopen the gate. Returns the number of rejected calls.
    pub fn close_for_evacuation(&self) -> usize {
        let mut queue = self.queue.lock();
        let queued = queue.waiters.len();
        queue.set_zone_evacuated(true);
        queued
    }

    /// Accepts calls again after an evacuation of the zone, unless the upstream drains.
    pub fn reopen_after_evacuation(&self) {
        // The upstream may be cold from here on, so the cold limit has to apply before the gate opens.
        self.suspect_cold();
        self.queue.lock().set_zone_evacuated(false);
    }

    /// Returns whether new calls are admitted, queued or rejected by the load alone.
    #[must_use]
    pub fn accepts_calls(&self) -> bool {
        !self.queue.lock().admission.is_draining()
    }

    /// Returns whether the gate is closed because its zone is evacuated.
    #[must_use]
    pub fn is_zone_evacuated(&self) -> bool {
        self.queue.lock().is_zone_evacuated()
    }

    /// Replaces the priority rules, ordered from the most urgent; rejects queued calls of removed priorities.
    pub fn set_priority_rules(&self, rules: &[PriorityRule]) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.set_priority_rules(rules);
        queue.deliver(outcomes);
    }

    /// Reserves slots for work of the upstream that does not pass through this gate.
    pub fn reserve_slots(&self, slots: u32) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.reserve_slots(slots, Instant::now());
        queue.deliver(outcomes);
    }

    /// Returns whether the upstream should be probed for its slowdown.
    ///
    /// This is so for a new upstream, whose first answer also tells its rate limit, and while calls have recently
    /// requested admission, a slot is free, and the last slowdown report is too old for admission to rely on.
    /// Only upstreams of an external dialect report their slowdown.
    #[must_use]
    pub fn needs_slowdown_probe(&self, now: Instant) -> bool {
        if self.external_fields.is_none() {
            return false;
        }
        let is_new =
            self.pool.load().as_ref().is_some_and(|pool| pool.notice().is_none() && !pool.is_probed());
        is_new || self.queue.lock().admission.needs_slowdown_probe(now)
    }

    /// Records the slowdown of the upstream's VM and starts queued calls that it held back.
    pub(super) fn record_slowdown(&self, percent: u32) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.record_slowdown(percent, Instant::now());
        queue.deliver(outcomes);
    }

    /// Starts queued calls that were held back by a slowdown of the VM which has lasted long enough.
    pub fn start_held_calls(&self) {
        let mut queue = self.queue.lock();
        if queue.waiters.is_empty() {
            return;
        }
        let outcomes = queue.admission.start_held_calls(Instant::now());
        queue.deliver(outcomes);
    }

    /// Returns the service of the upstream, or `None` before an upstream has announced itself.
    #[must_use]
    pub fn service(&self) -> Option<Arc<str>> {
        self.pool.load().as_ref().map(|pool| Arc::clone(pool.service()))
    }

    /// Returns the current load of the gate.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.queue.lock().admission.load(Instant::now())
    }

    /// Returns when and how the node stops.
    #[must_use]
    pub const fn stop_state(&self) -> &Arc<StopState> {
        &self.stop_state
    }

    /// Logs the calls that the upstream is executing and those that wait, as the node ends.
    pub fn log_unfinished_calls(&self) {
        let queued = self.queue.lock().waiters.len();
        log_unfinished(&self.parents.running(), queued);
    }

    /// Returns the call with the given identity if the upstream is executing it.
    #[must_use]
    pub fn running_call(&self, id: &CallId) -> Option<ParentCall> {
        self.parents.get(id)
    }

    /// Returns the external request with the given identity if the upstream is executing it.
    #[must_use]
    pub fn running_request(&self, id: &str) -> Option<RunningRequest> {
        self.running_requests.get(id)
    }

    /// Requests admission for a call and forwards it to the upstream.
    ///
    /// An idempotent call is cancelled when the returned future or body is dropped. Any other call
    /// continues, and [`Gate::attach`] returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the call is rejected, or if its answer is lost; the error then states whether the
    /// call may have been executed.
    pub async fn call(self: &Arc<Self>, call: GateCall, request: Request<CallBody>) -> Result<GateResponse> {
        if call.idempotent {
            let mut guard = CallGuard::default();
            let response = self.forward(&call, request, &mut guard).await?;
            return Ok(response.map(|body| Either::Left(GuardedBody::new(body, guard))));
        }
        let relay = Arc::new(AnswerRelay::new(fingerprint(&request)));
        if let Err(record) = self.records.begin(&call.id, Arc::clone(&relay), Instant::now()) {
            return self.answer_duplicate(&call, record, relay.fingerprint()).await;
        }
        let record = RecordGuard {
            gate: Arc::clone(self),
            id: call.id.clone(),
            relay: Arc::clone(&relay),
            may_be_resent: call.has_issued_key,
        };
        tokio::spawn(Arc::clone(self).execute_detached(call, request, record));
        Ok(relay.read().await?.map(Either::Right))
    }

    /// Returns the answer of a call that is running or whose answer is kept.
    ///
    /// A call that this gate has never received is fenced, so that it can't start later.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer to return; it states whether the call may have been executed.
    pub async fn attach(&self, call: &CallId) -> Result<GateResponse> {
        let record = self.records.resolve_or_fence(call, Instant::now());
        let relay = match record {
            CallRecordState::Running(relay) => {
                self.count("attached");
                relay.record_reconnect();
                relay
            }
            CallRecordState::Kept(relay) => {
                self.count("answer_fetched");
                relay
            }
            CallRecordState::Fenced => {
                self.count("fenced");
                let message = "the connection failed before the call arrived";
                return Err(ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER));
            }
            CallRecordState::Ended | CallRecordState::BelowFloor => {
                self.count("answer_gone");
                let message = "the call was here and its answer is not kept any more";
                return Err(ErrorAnswer::new(ErrorKind::OutcomeUnknown, message));
            }
        };
        Ok(relay.read().await?.map(Either::Right))
    }

    /// Cancels a call whose caller disconnected; one never received is fenced, so that it can't start later.
    pub fn cancel(&self, call: &CallId) {
        if let CallRecordState::Running(relay) = self.records.resolve_or_fence(call, Instant::now()) {
            self.count("cancelled");
            relay.cancel();
        }
    }

    /// Releases the slot of a finished call, which can't be the parent of nested calls any more.
    pub(crate) fn finish_call(&self, id: &CallId, grant: SlotGrant, outcome: ExecutionOutcome) {
        self.parents.remove(id);
        self.release(grant, outcome);
    }

    pub(super) fn release(&self, grant: SlotGrant, outcome: ExecutionOutcome) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.release(grant, outcome, Instant::now());
        queue.deliver(outcomes);
    }

    pub(super) fn count(&self, reason: &'static str) {
        Metrics::count(&self.metrics.gate_decisions, reason);
    }

    pub(super) fn count_many(&self, reason: &'static str, times: u32) {
        for _ in 0..times {
            self.count(reason);
        }
    }
}
