//! The only way into the upstream beside this node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::HOST;
use http::header::TE;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::admission::Admission;
use crate::coordination::admission::Grant;
use crate::coordination::admission::Offer;
use crate::coordination::admission::Refusal;
use crate::coordination::admission::Ticket;
use crate::coordination::admission::TicketKey;
use crate::coordination::admission::Verdict;
use crate::coordination::priority_lane::CallerKey;
use crate::coordination::priority_lane::PriorityRule;
use crate::coordination::service_estimate::Ended;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::load_report::LoadReport;
use crate::protocol::service_spec::UpstreamRuleSpec;
use crate::state::call_records::CallRecords;
use crate::state::call_records::CallState;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::state::parent_calls::ParentCalls;
use crate::transport::call_body::BodyGuard;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::upstream_pool::PooledConnection;
use crate::transport::upstream_pool::UpstreamError;
use crate::transport::upstream_pool::UpstreamPool;

/// Result of passing a call through the gate.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

const RETRY_HINT: Duration = Duration::from_millis(100);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DOCUMENT_BYTES: usize = 16_384;
const OWN_FIELD_PREFIX: &str = "yuccatray-";

/// What the gate has to know about a call.
#[derive(Clone, Debug)]
pub struct GateCall {
    /// Identity of the call.
    pub id: CallId,
    /// Position of the priority, 0 the most urgent.
    pub priority: u8,
    /// Name of the priority.
    pub priority_name: Arc<str>,
    /// Whether it is a retry or a second copy, or runs on behalf of one.
    pub repeated: bool,
    /// Whose call it is.
    pub caller: CallerKey,
    /// When the call is of no more use.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Longest time in all for which it is worth staying here, when another gate may be better.
    pub patience: Option<Duration>,
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

/// The key of a caller's name.
#[must_use]
pub fn caller_key(name: &str) -> CallerKey {
    CallerKey(xxh3_64(name.as_bytes()))
}

/// An answer of the upstream on its way out of the gate.
pub type GateResponse = Response<GuardedBody<CallBody, GateGuard>>;

#[derive(Debug)]
struct Queue {
    admission: Admission,
    waiters: IndexMap<TicketKey, oneshot::Sender<Result<Grant, Refusal>>>,
}

/// The gate of one node.
#[derive(Debug)]
pub struct Gate {
    queue: Mutex<Queue>,
    records: CallRecords,
    parents: ParentCalls,
    pool: ArcSwapOption<UpstreamPool>,
    metrics: SharedMetrics,
}

impl Gate {
    /// A gate without an upstream.
    #[must_use]
    pub fn new(metrics: SharedMetrics) -> Self {
        let queue = Queue { admission: Admission::new(0, &[], Instant::now()), waiters: IndexMap::new() };
        Self {
            queue: Mutex::new(queue),
            records: CallRecords::default(),
            parents: ParentCalls::default(),
            pool: ArcSwapOption::empty(),
            metrics,
        }
    }

    /// An upstream announced itself, or changed what it says of itself.
    pub fn set_upstream(&self, addr: SocketAddr, slots: u32, rule: &UpstreamRuleSpec) {
        let same = self.pool.load().as_ref().is_some_and(|pool| pool.addr() == addr);
        if !same {
            self.pool.store(Some(Arc::new(UpstreamPool::new(addr, rule.max_connections))));
        }
        let mut queue = self.queue.lock();
        queue.admission.resume();
        queue.admission.set_adaptive(rule.adaptive_limit);
        let verdicts = queue.admission.set_limit(slots, Instant::now());
        queue.deliver(verdicts);
    }

    /// The upstream takes no new work; what waits is refused.
    pub fn drain(&self) {
        let mut queue = self.queue.lock();
        let verdicts = queue.admission.drain();
        queue.deliver(verdicts);
    }

    /// The priorities of the service, the most urgent first.
    pub fn set_rules(&self, rules: &[PriorityRule]) {
        let mut queue = self.queue.lock();
        let verdicts = queue.admission.set_rules(rules);
        queue.deliver(verdicts);
    }

    /// Leaves so many slots free for work of the upstream that the gate doesn't know.
    pub fn withhold(&self, slots: u32) {
        let mut queue = self.queue.lock();
        let verdicts = queue.admission.withhold(slots, Instant::now());
        queue.deliver(verdicts);
    }

    /// Asks the upstream for a small document; nothing when there is no good answer in time.
    pub async fn ask_upstream(&self, path: &str) -> Option<Bytes> {
        let pool = self.pool.load_full()?;
        let request = Request::get(path).header(HOST, pool.addr().to_string());
        let request = request.body(CallBody::from(Bytes::new())).ok()?;
        let asking = async {
            let (response, connection) = pool.send(request).await.ok()?;
            let good = response.status().is_success();
            let body = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES).collect().await.ok()?;
            pool.give_back(connection);
            good.then(|| body.to_bytes())
        };
        tokio::time::timeout(ASK_TIMEOUT, asking).await.ok()?
    }

    /// The exact load at this moment.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.queue.lock().admission.load(Instant::now())
    }

    /// What became of a call, fencing it when it was never seen.
    #[must_use]
    pub fn resolve(&self, call: &CallId) -> CallState {
        self.records.resolve(call)
    }

    /// The call of that identity, while the upstream runs it.
    #[must_use]
    pub fn running_call(&self, id: &CallId) -> Option<ParentCall> {
        self.parents.get(id)
    }

    /// Passes one call to the upstream.
    ///
    /// # Errors
    ///
    /// A refusal that proves that the call did not run, or word that its outcome is unknown.
    pub async fn call(self: &Arc<Self>, call: GateCall, request: Request<CallBody>) -> Result<GateResponse> {
        if !self.records.begin(&call.id) {
            self.count("duplicate");
            return Err(ErrorAnswer::new(ErrorKind::DuplicateCall, "this call was already here"));
        }
        let mut slot =
            Slot { gate: Arc::clone(self), id: call.id.clone(), grant: None, ended: Ended::Abandoned };
        let arrived = Instant::now();
        self.admit(&call, &mut slot).await?;
        let queued = arrived.elapsed();
        self.parents.insert(call.id.clone(), call.as_parent());
        let pool = self.pool.load_full().ok_or_else(no_upstream)?;
        let sent = tokio::time::timeout_at(call.deadline, pool.send(for_upstream(request, pool.addr())));
        match sent.await {
            Ok(Ok((response, connection))) => {
                slot.judge(response.status());
                let mut response = self.answered(response, slot, pool, connection);
                tell_queued(response.headers_mut(), queued);
                Ok(response)
            }
            Ok(Err(error)) => {
                slot.ended = Ended::Failed;
                Err(self.failed(&call, &error))
            }
            Err(_) => {
                slot.ended = Ended::Failed;
                self.count("deadline_while_running");
                Err(ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "the upstream did not answer in time"))
            }
        }
    }

    async fn admit(self: &Arc<Self>, call: &GateCall, slot: &mut Slot) -> Result<()> {
        let (key, verdict) = match self.offer(call)? {
            Entry::Granted(grant) => {
                slot.grant = Some(grant);
                self.count("admitted");
                return Ok(());
            }
            Entry::Queued(key, verdict) => (key, verdict),
        };
        let mut waiting = Waiting { gate: self, key, verdict, settled: false };
        let verdict = tokio::time::timeout_at(call.deadline, waiting.verdict()).await;
        match verdict {
            Ok(Ok(grant)) => {
                slot.grant = Some(grant);
                self.count("admitted_after_wait");
                Ok(())
            }
            Ok(Err(refusal)) => Err(self.refused(refusal)),
            Err(_) => Err(self.refused(Refusal::TooLate)),
        }
    }

    fn offer(&self, call: &GateCall) -> Result<Entry> {
        let ticket = Ticket {
            priority: call.priority,
            caller: call.caller,
            deadline: call.deadline,
            patience: call.patience,
            idempotent: call.idempotent,
        };
        let mut queue = self.queue.lock();
        match queue.admission.offer(ticket, Instant::now()) {
            Offer::Admitted(grant) => Ok(Entry::Granted(grant)),
            Offer::Queued(key) => {
                let (sender, receiver) = oneshot::channel();
                queue.waiters.insert(key, sender);
                Ok(Entry::Queued(key, receiver))
            }
            Offer::Refused(refusal) => {
                drop(queue);
                Err(self.refused(refusal))
            }
        }
    }

    fn answered(
        &self,
        response: Response<Incoming>,
        slot: Slot,
        pool: Arc<UpstreamPool>,
        connection: PooledConnection,
    ) -> GateResponse {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        strip_own_fields(&mut head.headers);
        if let Ok(load) = HeaderValue::from_str(&self.load().to_string()) {
            head.headers.insert(headers::LOAD, load);
        }
        let guard = GateGuard { slot: Some(slot), pool, connection: Some(connection) };
        Response::from_parts(head, GuardedBody::new(CallBody::unlimited(body), guard))
    }

    fn failed(&self, call: &GateCall, error: &UpstreamError) -> ErrorAnswer {
        log::debug!("upstream failed; call={} error={error}", call.id);
        if error.proves_not_executed() {
            self.count("upstream_unreachable");
            return ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string()).retry_after(RETRY_HINT);
        }
        self.count("upstream_lost");
        ErrorAnswer::new(ErrorKind::OutcomeUnknown, error.to_string())
    }

    fn refused(&self, refusal: Refusal) -> ErrorAnswer {
        let (kind, reason, message) = match refusal {
            Refusal::QueueFull => (ErrorKind::Overloaded, "queue_full", "the queue of this priority is full"),
            Refusal::TooLate => (ErrorKind::DeadlineBeforeStart, "too_late", "no slot was free in time"),
            Refusal::ObjectiveMissed => {
                (ErrorKind::ObjectiveMissed, "objective_missed", "the objective could not be met any more")
            }
            Refusal::Impatient => (ErrorKind::Overloaded, "impatient", "another gate may be faster"),
            Refusal::CallerLimited => {
                (ErrorKind::CallerLimited, "caller_limited", "this caller has its share of the queue already")
            }
            Refusal::Draining => (ErrorKind::Draining, "draining", "the upstream takes no new work"),
        };
        self.count(reason);
        let queue = self.queue.lock();
        let load = queue.admission.load(Instant::now());
        ErrorAnswer::new(kind, message).retry_after(queue.admission.retry_hint()).with_load(load)
    }

    fn release(&self, grant: Grant, ended: Ended) {
        let mut queue = self.queue.lock();
        let verdicts = queue.admission.release(grant, ended, Instant::now());
        queue.deliver(verdicts);
    }

    fn count(&self, reason: &'static str) {
        Metrics::count(&self.metrics.gate_decisions, reason);
    }
}

impl Queue {
    fn deliver(&mut self, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            let (key, outcome) = match verdict {
                Verdict::Admit(key, grant) => (key, Ok(grant)),
                Verdict::Refuse(key, refusal) => (key, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.swap_remove(&key) {
                // A waiter that is gone gives its slot back when it is dropped.
                let _delivered = waiter.send(outcome);
            }
        }
    }
}

/// How a call came through the door.
enum Entry {
    Granted(Grant),
    Queued(TicketKey, oneshot::Receiver<Result<Grant, Refusal>>),
}

/// A call in the queue; dropped before its verdict, it leaves the queue.
#[derive(Debug)]
struct Waiting<'a> {
    gate: &'a Gate,
    key: TicketKey,
    verdict: oneshot::Receiver<Result<Grant, Refusal>>,
    settled: bool,
}

impl Waiting<'_> {
    async fn verdict(&mut self) -> Result<Grant, Refusal> {
        let verdict = (&mut self.verdict).await.unwrap_or(Err(Refusal::Draining));
        self.settled = true;
        verdict
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let still_waiting = {
            let mut queue = self.gate.queue.lock();
            queue.waiters.swap_remove(&self.key);
            queue.admission.cancel(self.key)
        };
        if !still_waiting && let Ok(Ok(grant)) = self.verdict.try_recv() {
            self.gate.release(grant, Ended::Abandoned);
        }
    }
}

/// A call inside the gate; dropped, it frees its slot and ends its record.
#[derive(Debug)]
struct Slot {
    gate: Arc<Gate>,
    id: CallId,
    grant: Option<Grant>,
    ended: Ended,
}

impl Slot {
    /// Takes in what the header section of the upstream's answer says of the upstream.
    fn judge(&mut self, status: StatusCode) {
        self.ended = match &self.grant {
            Some(grant) if !status.is_server_error() => Ended::Good(grant.started().elapsed()),
            _ => Ended::Failed,
        };
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gate.records.finish(&self.id);
        if let Some(grant) = self.grant {
            self.gate.parents.remove(&self.id);
            self.gate.release(grant, self.ended);
        }
    }
}

/// Holds a call's slot and connection until the answer has been read.
#[derive(Debug)]
pub struct GateGuard {
    slot: Option<Slot>,
    pool: Arc<UpstreamPool>,
    connection: Option<PooledConnection>,
}

impl BodyGuard for GateGuard {
    fn ended(&mut self, whole: bool) {
        if let Some(connection) = self.connection.take().filter(|_| whole) {
            self.pool.give_back(connection);
        }
        self.slot = None;
    }
}

fn for_upstream(request: Request<CallBody>, addr: SocketAddr) -> Request<CallBody> {
    let (mut head, body) = request.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    head.version = http::Version::HTTP_11;
    if let Some(target) = head.uri.path_and_query() {
        head.uri = http::Uri::from(target.clone());
    }
    if head.headers.contains_key(TE) {
        head.headers.insert(CONNECTION, HeaderValue::from_static("te"));
    }
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        head.headers.entry(HOST).or_insert(host);
    }
    Request::from_parts(head, body)
}

fn tell_queued(fields: &mut HeaderMap, queued: Duration) {
    let queued_us = u64::try_from(queued.as_micros()).unwrap_or(u64::MAX);
    fields.insert(headers::QUEUED_US, HeaderValue::from(queued_us));
}

fn strip_own_fields(fields: &mut HeaderMap) {
    let own: Vec<HeaderName> =
        fields.keys().filter(|name| name.as_str().starts_with(OWN_FIELD_PREFIX)).cloned().collect();
    for name in own {
        fields.remove(name);
    }
}

fn no_upstream() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream has announced itself here").retry_after(RETRY_HINT)
}
