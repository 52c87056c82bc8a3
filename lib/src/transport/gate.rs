//! Admission, queueing and forwarding of calls to the upstream of this node.
//!
//! All calls to the upstream pass through its [`Gate`], which also keeps the answers of non-idempotent calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Limited;
use parking_lot::Mutex;
use snafu::ResultExt;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::admission::AdmissionOutcome;
use crate::coordination::admission::AdmissionRequest;
use crate::coordination::admission::QueueKey;
use crate::coordination::admission::RejectReason;
use crate::coordination::admission::SlotGrant;
use crate::coordination::priority_queue::CallerKey;
use crate::coordination::priority_queue::PriorityRule;
use crate::coordination::service_estimate::ExecutionOutcome;
use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::external_fields::AnswerOrigin;
use crate::protocol::external_fields::UpstreamFields;
use crate::protocol::headers;
use crate::protocol::load_report::LoadReport;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::state::call_records::CallRecordState;
use crate::state::call_records::CallRecords;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::state::parent_calls::ParentCalls;
use crate::transport::answer_relay::AnswerRelay;
use crate::transport::answer_relay::AnswerRelayBody;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_body::buffer_if_small;
use crate::transport::call_guard::CallGuard;
use crate::transport::call_guard::SlotGuard;
use crate::transport::gate_log::log_if_late;
use crate::transport::gate_log::log_rejection;
use crate::transport::gate_queue::GateQueue;
use crate::transport::request_reception::fingerprint;
use crate::transport::request_reception::receive_small_body;
use crate::transport::request_reception::request_truncated;
use crate::transport::upstream_fields::into_upstream_request;
use crate::transport::upstream_fields::set_execution_fields;
use crate::transport::upstream_fields::set_external_fields;
use crate::transport::upstream_fields::strip_node_fields;
use crate::transport::upstream_pool::IncompleteResponseSnafu;
use crate::transport::upstream_pool::UpstreamError;
use crate::transport::upstream_pool::UpstreamPool;

/// Result of forwarding a call through the gate.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Retry delay suggested in errors for which the queue gives no estimate.
pub(super) const GATE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time limit of a request that the gate itself makes to the upstream.
const UPSTREAM_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body accepted for a request that the gate itself makes, in bytes.
const MAX_QUERY_BODY_BYTES: usize = 16_384;

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
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Instant,
    /// Latest time at which the call may get a slot, if its ingress can't wait until the deadline.
    pub start_by: Option<Instant>,
    /// Time at which the latency objective is missed; `None` applies the objective of the priority.
    pub objective_at: Option<Instant>,
    /// Typical service time of such calls, if known.
    pub typical_time: Option<Duration>,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Whether the call carries an issued idempotency key: a repeated request then gets the same answer.
    pub has_issued_key: bool,
    /// Maximum expected latency at this gate, queueing included, if another gate may be faster.
    pub max_gate_latency: Option<Duration>,
}

impl GateCall {
    fn as_parent(&self) -> ParentCall {
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
    queue: Mutex<GateQueue>,
    /// Running and recent non-idempotent calls with their answers.
    records: CallRecords<Arc<AnswerRelay>>,
    /// Running calls, which limit the priority and the deadline of the nested calls that the upstream makes.
    parents: ParentCalls,
    pool: ArcSwapOption<UpstreamPool>,
    /// Header fields of an upstream that speaks an external dialect.
    external_fields: Option<UpstreamFields>,
    metrics: SharedMetrics,
}

impl Gate {
    /// Creates a gate without an upstream.
    #[must_use]
    pub fn new(metrics: SharedMetrics) -> Self {
        let queue = GateQueue::new(Instant::now());
        Self {
            queue: Mutex::new(queue),
            records: CallRecords::default(),
            parents: ParentCalls::default(),
            pool: ArcSwapOption::empty(),
            external_fields: None,
            metrics,
        }
    }

    /// Configures the gate for an upstream that speaks an external dialect.
    #[must_use]
    pub fn with_external_upstream(self, fields: UpstreamFields) -> Self {
        Self { external_fields: Some(fields), ..self }
    }

    /// Sets or updates the upstream as announced, and resumes admission after a drain.
    pub fn set_upstream(
        &self,
        addr: SocketAddr,
        service: &Arc<str>,
        instance: Option<&Arc<str>>,
        slots: u32,
        rule: &UpstreamRuleSpec,
    ) {
        let current = self.pool.load();
        let is_same = current.as_ref().is_some_and(|pool| {
            pool.addr() == addr && pool.service() == service && pool.instance() == instance
        });
        if !is_same {
            let pool = UpstreamPool::new(addr, Arc::clone(service), instance.cloned(), rule.max_connections);
            self.pool.store(Some(Arc::new(pool)));
        }
        let mut queue = self.queue.lock();
        queue.admission.resume();
        queue.admission.set_adaptive(rule.adaptive_limit);
        let outcomes = queue.admission.set_limit(slots, Instant::now());
        queue.deliver(outcomes);
    }

    /// Stops admitting calls and rejects the queued ones.
    pub fn drain(&self) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.drain();
        queue.deliver(outcomes);
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
    /// This is so while calls have recently requested admission, a slot is free, and the last slowdown
    /// report is too old for admission to rely on. Only upstreams of an external dialect report their
    /// slowdown.
    #[must_use]
    pub fn needs_slowdown_probe(&self, now: Instant) -> bool {
        let queue = self.queue.lock();
        self.external_fields.is_some() && queue.admission.needs_slowdown_probe(now)
    }

    /// Probes an upstream of an external dialect for its slowdown and returns whether it reported one.
    pub async fn probe_slowdown(&self, path: &str) -> bool {
        let Some(fields) = &self.external_fields else {
            return false;
        };
        let response = self.query_upstream(path).await;
        let Some(report) = response.and_then(|response| fields.upstream_load(response.headers())) else {
            return false;
        };
        self.record_slowdown(report.slowdown_percent);
        true
    }

    /// Records the slowdown of the upstream's VM and starts queued calls that it held back.
    fn record_slowdown(&self, percent: u32) {
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

    /// Fetches a small document from the upstream.
    ///
    /// Returns `None` if there is no upstream, the request fails or times out, or the body is too large.
    pub async fn query_upstream(&self, path: &str) -> Option<Response<Bytes>> {
        let pool = self.pool.load_full()?;
        let request = Request::get(path).header(HOST, pool.addr().to_string());
        let request = request.body(CallBody::from(Bytes::new())).ok()?;
        let query = async {
            let mut connection = None;
            let response = pool.send(request, &mut connection).await.ok()?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_QUERY_BODY_BYTES).collect().await.ok()?;
            if let Some(connection) = connection {
                pool.return_connection(connection);
            }
            Some(Response::from_parts(head, body.to_bytes()))
        };
        tokio::time::timeout(UPSTREAM_QUERY_TIMEOUT, query).await.ok()?
    }

    /// Returns the current load of the gate.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.queue.lock().admission.load(Instant::now())
    }

    /// Returns the call with the given identity if the upstream is executing it.
    #[must_use]
    pub fn running_call(&self, id: &CallId) -> Option<ParentCall> {
        self.parents.get(id)
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

    /// Completes a call that must be executed at most once, even if its ingress has disconnected.
    async fn execute_detached(
        self: Arc<Self>,
        call: GateCall,
        request: Request<CallBody>,
        record: RecordGuard,
    ) {
        let relay = &record.relay;
        tokio::select! {
            () = relay.cancelled() => relay.fail(cancelled_by_caller()),
            () = self.execute_to_completion(&call, request, relay) => {}
        }
    }

    async fn execute_to_completion(
        self: &Arc<Self>,
        call: &GateCall,
        request: Request<CallBody>,
        relay: &AnswerRelay,
    ) {
        let mut guard = CallGuard::default();
        let received = tokio::select! {
            biased;
            received = receive_small_body(request, call.deadline) => received,
            () = relay.reconnected() => Err(request_truncated("its connection failed")),
        };
        let request = match received {
            Ok(request) => request,
            Err(answer) => return relay.fail(answer),
        };
        let response = match self.forward(call, request, &mut guard).await {
            Ok(response) => response,
            Err(answer) => return relay.fail(answer),
        };
        let (head, body) = response.into_parts();
        relay.write_head(head);
        let mut body = GuardedBody::new(body, guard);
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => relay.write_frame(frame).await,
                Err(_) => return relay.finish(false),
            }
        }
        relay.finish(true);
    }

    /// Requests admission for a call, sends it to the upstream and waits for the head of its response.
    async fn forward(
        self: &Arc<Self>,
        call: &GateCall,
        request: Request<CallBody>,
        guard: &mut CallGuard,
    ) -> Result<Response<CallBody>> {
        let mut slot = SlotGuard::without_slot(Arc::clone(self), call.id.clone());
        let admission_requested_at = Instant::now();
        self.admit(call, &mut slot).await?;
        let queued = admission_requested_at.elapsed();
        self.parents.insert(call.id.clone(), call.as_parent());
        let pool = self.pool.load_full().ok_or_else(no_upstream_error)?;
        if *pool.service() != call.service {
            self.count("other_service");
            return Err(other_service(&call.service, pool.service()));
        }
        guard.set_slot(slot, Arc::clone(&pool));
        let mut request = into_upstream_request(request, pool.addr());
        let request_id = self.external_fields.as_ref().and_then(|fields| {
            set_external_fields(request.headers_mut(), fields, pool.instance(), call.deadline);
            request.headers().get(&fields.request_id).cloned()
        });
        let exchange = async {
            let response = pool.send(request, guard.connection_mut()).await?;
            buffer_if_small(response, call.deadline).await.context(IncompleteResponseSnafu)
        };
        let result = tokio::time::timeout_at(call.deadline, exchange).await;
        match result {
            Ok(Ok(response)) => {
                let response = self.verify_origin(call, response, request_id.as_ref(), guard)?;
                guard.record_status(response.status());
                let mut response = self.prepare_response(response);
                if let Some(grant) = guard.slot_grant() {
                    log_if_late(call, grant, queued, self.load().limit);
                    set_execution_fields(response.headers_mut(), queued, grant.execution().slowdown_percent);
                }
                Ok(response)
            }
            Ok(Err(error)) => {
                guard.record_failure();
                Err(self.upstream_error_answer(call, &error))
            }
            Err(_) => {
                guard.record_failure();
                self.count("deadline_while_running");
                guard.discard_suspect_connections();
                Err(ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "the upstream did not answer in time"))
            }
        }
    }

    /// Returns the response unless its head shows that it is not the upstream's response to this request.
    fn verify_origin(
        &self,
        call: &GateCall,
        mut response: Response<CallBody>,
        request_id: Option<&HeaderValue>,
        guard: &mut CallGuard,
    ) -> Result<Response<CallBody>> {
        let Some(fields) = &self.external_fields else {
            return Ok(response);
        };
        let report = fields.upstream_load(response.headers());
        if let Some(report) = report {
            self.record_slowdown(report.slowdown_percent);
        }
        let origin = fields.origin(response.status(), response.headers(), request_id);
        response.headers_mut().remove(&fields.load);
        let answer = match origin {
            AnswerOrigin::Genuine => return Ok(response),
            AnswerOrigin::NotExecuted => {
                guard.record_not_executed(response.body());
                self.count("upstream_refused");
                let load = self.load();
                ErrorAnswer::new(ErrorKind::UpstreamRefused, "the upstream refused the call before it ran")
                    .retry_after(GATE_RETRY_AFTER)
                    .with_load(load)
            }
            AnswerOrigin::OtherInstance => {
                guard.record_failure();
                self.count("other_instance");
                ErrorAnswer::new(ErrorKind::NoUpstream, "another instance has the upstream's address")
                    .retry_after(GATE_RETRY_AFTER)
            }
            AnswerOrigin::Foreign => {
                guard.record_failure();
                self.count("foreign_answer");
                ErrorAnswer::new(ErrorKind::OutcomeUnknown, "an answer that the upstream did not make for it")
            }
        };
        log_event_limited!(
            Info,
            "upstream response discarded",
            call = &call.id,
            origin = format_args!("{origin:?}"),
            upstream_load = format_args!("{report:?}"),
        );
        Err(answer)
    }

    /// Answers a request for a call that is already on record.
    ///
    /// Only the same request with an issued idempotency key shares the answer of the first one.
    async fn answer_duplicate(
        &self,
        call: &GateCall,
        record: CallRecordState<Arc<AnswerRelay>>,
        fingerprint: u64,
    ) -> Result<GateResponse> {
        match record {
            CallRecordState::Running(relay) | CallRecordState::Kept(relay)
                if call.has_issued_key && relay.fingerprint() == fingerprint =>
            {
                self.count("answer_shared");
                let read = tokio::time::timeout_at(call.deadline, relay.read()).await;
                let timed_out =
                    |_elapsed| ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "the first copy runs still");
                Ok(read.map_err(timed_out)??.map(Either::Right))
            }
            record => Err(self.duplicate_rejection(&record)),
        }
    }

    fn duplicate_rejection(&self, record: &CallRecordState<Arc<AnswerRelay>>) -> ErrorAnswer {
        self.count("duplicate_call");
        match record {
            CallRecordState::Fenced => {
                let message = "the call was given up before it arrived";
                ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER)
            }
            _ => ErrorAnswer::new(ErrorKind::DuplicateCall, "this call was already here"),
        }
    }

    /// Waits for a slot and stores it in `slot`; returns an error if the call is rejected.
    async fn admit(self: &Arc<Self>, call: &GateCall, slot: &mut SlotGuard) -> Result<()> {
        let (key, receiver) = match self.request_admission(call)? {
            AdmissionState::Granted(grant) => {
                slot.grant(grant);
                self.count("admitted");
                return Ok(());
            }
            AdmissionState::Queued(key, receiver) => (key, receiver),
        };
        let mut queued = QueuedCall { gate: self, key, receiver, resolved: false };
        let outcome = tokio::time::timeout_at(key.start_by(), queued.outcome()).await;
        match outcome {
            Ok(Ok(grant)) => {
                slot.grant(grant);
                self.count("admitted_after_wait");
                Ok(())
            }
            Ok(Err(reason)) => Err(self.rejection(call, reason)),
            Err(_) => Err(self.rejection(call, RejectReason::TooLate)),
        }
    }

    fn request_admission(&self, call: &GateCall) -> Result<AdmissionState> {
        let request = AdmissionRequest {
            priority: call.priority,
            caller: call.caller,
            deadline: call.deadline,
            start_by: call.start_by,
            objective_at: call.objective_at,
            typical_time: call.typical_time,
            max_gate_latency: call.max_gate_latency,
            idempotent: call.idempotent,
        };
        let mut queue = self.queue.lock();
        match queue.admission.request_admission(request, Instant::now()) {
            AdmissionOutcome::Admitted(grant) => Ok(AdmissionState::Granted(grant)),
            AdmissionOutcome::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                queue.waiters.insert(key, sender);
                Ok(AdmissionState::Queued(key, receiver))
            }
            AdmissionOutcome::Rejected(reason) => {
                drop(queue);
                Err(self.rejection(call, reason))
            }
        }
    }

    /// Removes header fields that must not leave the gate and adds the load of the gate.
    fn prepare_response(&self, response: Response<CallBody>) -> Response<CallBody> {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        strip_node_fields(&mut head.headers);
        if let Ok(load) = HeaderValue::from_str(&self.load().to_string()) {
            head.headers.insert(headers::LOAD, load);
        }
        Response::from_parts(head, body)
    }

    /// Returns the error for a call whose exchange with the upstream failed.
    fn upstream_error_answer(&self, call: &GateCall, error: &UpstreamError) -> ErrorAnswer {
        log::debug!("exchange with the upstream failed; call={} error={error}", call.id);
        if error.proves_not_executed() {
            self.count("upstream_unreachable");
            return ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string()).retry_after(GATE_RETRY_AFTER);
        }
        self.count("upstream_lost");
        ErrorAnswer::new(ErrorKind::OutcomeUnknown, error.to_string())
    }

    /// Counts and logs a rejected call, and returns the error for it.
    fn rejection(&self, call: &GateCall, reject_reason: RejectReason) -> ErrorAnswer {
        let (kind, reason, message) = match reject_reason {
            RejectReason::QueueFull => {
                (ErrorKind::Overloaded, "queue_full", "the queue of this priority is full")
            }
            RejectReason::TooLate => (ErrorKind::DeadlineBeforeStart, "too_late", "no slot was free in time"),
            RejectReason::ObjectiveMissed => {
                (ErrorKind::ObjectiveMissed, "objective_missed", "the objective could not be met any more")
            }
            RejectReason::GateTooSlow => (ErrorKind::Overloaded, "impatient", "another gate may be faster"),
            RejectReason::CallerLimited => {
                (ErrorKind::CallerLimited, "caller_limited", "this caller has its share of the queue already")
            }
            RejectReason::Draining => (ErrorKind::Draining, "draining", "the upstream takes no new work"),
        };
        self.count(reason);
        let (load, hint) = {
            let queue = self.queue.lock();
            (queue.admission.load(Instant::now()), queue.admission.retry_hint())
        };
        log_rejection(call, reason, load);
        ErrorAnswer::new(kind, message).retry_after(hint).with_load(load)
    }

    /// Releases the slot of a finished call, which can't be the parent of nested calls any more.
    pub(crate) fn finish_call(&self, id: &CallId, grant: SlotGrant, outcome: ExecutionOutcome) {
        self.parents.remove(id);
        self.release(grant, outcome);
    }

    fn release(&self, grant: SlotGrant, outcome: ExecutionOutcome) {
        let mut queue = self.queue.lock();
        let outcomes = queue.admission.release(grant, outcome, Instant::now());
        queue.deliver(outcomes);
    }

    fn count(&self, reason: &'static str) {
        Metrics::count(&self.metrics.gate_decisions, reason);
    }

    fn count_many(&self, reason: &'static str, times: u32) {
        for _ in 0..times {
            self.count(reason);
        }
    }
}

/// State of a call after it has requested admission.
enum AdmissionState {
    Granted(SlotGrant),
    Queued(QueueKey, oneshot::Receiver<Result<SlotGrant, RejectReason>>),
}

/// Queued call, removed from the queue if dropped before its outcome was received.
#[derive(Debug)]
struct QueuedCall<'a> {
    gate: &'a Gate,
    key: QueueKey,
    receiver: oneshot::Receiver<Result<SlotGrant, RejectReason>>,
    resolved: bool,
}

impl QueuedCall<'_> {
    async fn outcome(&mut self) -> Result<SlotGrant, RejectReason> {
        let outcome = (&mut self.receiver).await.unwrap_or(Err(RejectReason::Draining));
        self.resolved = true;
        outcome
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let was_queued = {
            let mut queue = self.gate.queue.lock();
            queue.waiters.swap_remove(&self.key);
            queue.admission.cancel(self.key)
        };
        if !was_queued && let Ok(Ok(grant)) = self.receiver.try_recv() {
            self.gate.release(grant, ExecutionOutcome::Abandoned);
        }
    }
}

/// Record of a running call, marked as ended when dropped.
#[derive(Debug)]
struct RecordGuard {
    gate: Arc<Gate>,
    id: CallId,
    relay: Arc<AnswerRelay>,
    /// Whether a request that was not executed may be sent again under the same identity.
    may_be_resent: bool,
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if self.may_be_resent && self.relay.is_not_executed() {
            return self.gate.records.remove_unexecuted(&self.id);
        }
        let replayable_bytes = self.relay.replayable_bytes();
        if replayable_bytes.is_none() {
            // Unblocks readers of the relay, since no further part of the answer will be written.
            self.relay.finish(false);
            self.gate.count("answer_not_kept");
        }
        let removed = self.gate.records.finish(&self.id, replayable_bytes, Instant::now());
        self.gate.count_many("answer_expired", removed.expired);
        self.gate.count_many("answer_evicted", removed.evicted);
    }
}

fn cancelled_by_caller() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the caller left and the call was cancelled")
}

fn other_service(requested: &str, served: &str) -> ErrorAnswer {
    let message = format!("the upstream here serves {served}, not {requested}");
    ErrorAnswer::new(ErrorKind::NoUpstream, message).retry_after(GATE_RETRY_AFTER)
}

fn no_upstream_error() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream has announced itself here")
        .retry_after(GATE_RETRY_AFTER)
}
