//! Taking calls from callers and seeing them through.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::HOST;
use http::request::Parts;
use http_body::Body;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::coordination::burn_tally::BodyEnd;
use crate::coordination::burn_tally::BurnTally;
use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::routing::Candidate;
use crate::coordination::routing::RoutingPolicy;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_head::origin_form;
use crate::protocol::call_head::service_name;
use crate::protocol::call_id::CallId;
use crate::protocol::call_id::CallIdSource;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::published::PublishedConfig;
use crate::protocol::ticket::Ticket;
use crate::state::burn_counts::BurnCounts;
use crate::state::burn_counts::BurnKey;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::state::directory::DirectoryEntry;
use crate::state::metrics::CallLabels;
use crate::state::metrics::LatencyLabels;
use crate::state::metrics::Metrics;
use crate::state::metrics::ServiceLabel;
use crate::state::metrics::SharedMetrics;
use crate::state::upstream_stats::UpstreamStats;
use crate::transport::call_body::BodyGuard;
use crate::transport::call_body::BodyWatch;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_resolution::OwnGateCaller;
use crate::transport::call_resolution::PeerAnswerBody;
use crate::transport::call_resolution::PeerCall;
use crate::transport::call_resolution::outcome_of_all;
use crate::transport::call_resolution::through_peer;
use crate::transport::gate::Gate;
use crate::transport::gate::GateBody;
use crate::transport::gate::GateCall;
use crate::transport::http_server::Handler;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::ControlChannels;

/// Result of one attempt.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

const RETRY_HINT: Duration = Duration::from_millis(200);
const ANSWERED: &str = "answered";

/// Body of an upstream's answer: over a peer connection, or from the gate beside.
type AnswerBody = Either<PeerAnswerBody, GateBody>;

/// Body of an answer to a caller: an upstream's answer, or an error.
pub type IngressBody = Either<GuardedBody<AnswerBody, IngressGuard>, Full<Bytes>>;

/// What an ingress works with.
#[derive(Debug)]
pub struct IngressParts<P> {
    /// The node that this ingress belongs to.
    pub me: Arc<Member>,
    /// Gives out call identities.
    pub ids: CallIdSource,
    /// Members and their upstreams.
    pub directory: Arc<Directory>,
    /// Configuration in force.
    pub config: Arc<ConfigTable>,
    /// The gate beside.
    pub gate: Arc<Gate>,
    /// Channels for calls to the other gates.
    pub channels: Arc<CallChannels>,
    /// Channels for questions to the other gates.
    pub control: Arc<ControlChannels>,
    /// Counters.
    pub metrics: SharedMetrics,
    /// Calls held against their objectives.
    pub burn: Arc<BurnCounts>,
    /// How upstreams are chosen.
    pub policy: P,
    /// Largest body kept for a retry, in bytes.
    pub max_replay_bytes: u64,
    /// Largest header section taken from a caller, in bytes.
    pub max_header_bytes: u32,
}

/// Takes calls from callers.
#[derive(Debug)]
pub struct Ingress<P> {
    parts: IngressParts<P>,
    budgets: ArcSwap<IndexMap<Arc<str>, Arc<RetryBudget>>>,
    draining: AtomicBool,
}

/// A call on its way through the ingress.
#[derive(Debug)]
struct Call {
    id: CallId,
    id_field: HeaderValue,
    ticket: Option<Ticket>,
    head: CallHead,
    priority_name: Arc<str>,
    started: Instant,
    deadline: Instant,
    max_attempts: u32,
    tally: Arc<BurnTally>,
}

/// What is needed to send the same request again.
#[derive(Debug)]
struct Outgoing {
    parts: Parts,
    body: OutgoingBody,
}

#[derive(Debug)]
enum OutgoingBody {
    Kept { data: Bytes, trailers: Option<HeaderMap> },
    Stream { body: Option<CallBody>, watch: Arc<BodyWatch> },
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// An ingress over the given parts.
    #[must_use]
    pub fn new(parts: IngressParts<P>) -> Self {
        Self { parts, budgets: ArcSwap::default(), draining: AtomicBool::new(false) }
    }

    /// Asks callers from now on to go elsewhere with their next call.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<IngressBody> {
        let one_by_one = request.version() < Version::HTTP_2;
        let ticket = match Ticket::of_request(request.headers()) {
            Ok(ticket) => ticket,
            Err(answer) => return refusal(answer, None),
        };
        let id = ticket.as_ref().map_or_else(|| self.parts.ids.next(), |ticket| ticket.call.clone());
        if request.headers().contains_key(headers::TICKET) {
            return self.issue(id, &request);
        }
        let id_field = HeaderValue::from_str(&id.to_string());
        let id_field = id_field.unwrap_or_else(|_| HeaderValue::from_static(""));
        let mut response = match self.accept(id.clone(), id_field.clone(), ticket, request).await {
            Ok(response) => response.map(Either::Left),
            Err(answer) => refusal(answer, Some(&id)),
        };
        response.headers_mut().insert(headers::CALL, id_field);
        if one_by_one && self.draining.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn accept(
        &self,
        id: CallId,
        id_field: HeaderValue,
        ticket: Option<Ticket>,
        request: Request<Incoming>,
    ) -> Result<Response<GuardedBody<AnswerBody, IngressGuard>>> {
        let copies = ticket.is_some();
        self.check_form(&request).map_err(|answer| unproved(answer, copies))?;
        let service = service_name(request.headers(), request.method());
        let service = service.map_err(|answer| unproved(answer, copies))?;
        let published = self.parts.config.get(&service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let config = config.ok_or_else(|| {
            let message = format!("no published service is named {service:?}");
            unproved(ErrorAnswer::new(ErrorKind::UnknownService, message), copies)
        })?;
        let head = CallHead::read(service, request.headers(), request.method(), config);
        let head = head.map_err(|answer| unproved(answer, copies))?;
        let mut call = Call::new(id, id_field, head, config, &self.parts.burn);
        call.head.idempotent &= ticket.is_none();
        call.ticket = ticket;
        let result = self.see_through(&call, config, request).await;
        if let Err(answer) = &result {
            log::debug!("call failed; call={} kind={} message={:?}", call.id, answer.kind, answer.message);
            self.count(&call, answer.kind.name());
            call.tally.failed(answer.kind, Instant::now());
        }
        result
    }

    /// Issues a ticket for one call to the service that the request names.
    fn issue(&self, id: CallId, request: &Request<Incoming>) -> Response<IngressBody> {
        let issued = service_name(request.headers(), request.method()).and_then(|service| {
            let entry = self.choose(&service, &[]).ok_or_else(no_upstream)?;
            let ticket = Ticket { gate: entry.member.id.clone(), call: id };
            HeaderValue::from_str(&ticket.to_string()).map_err(|error| {
                ErrorAnswer::new(ErrorKind::Internal, format!("a ticket that is no field: {error}"))
            })
        });
        match issued {
            Ok(ticket) => {
                let mut response = Response::new(Either::Right(Full::default()));
                *response.status_mut() = StatusCode::CREATED;
                response.headers_mut().insert(headers::IDEMPOTENCY_KEY, ticket);
                response
            }
            Err(answer) => refusal(answer, None),
        }
    }

    /// Sends a call with a ticket to the only gate that may run it.
    async fn redeem(
        &self,
        call: &Call,
        ticket: &Ticket,
        mut outgoing: Outgoing,
    ) -> Result<Response<GuardedBody<AnswerBody, IngressGuard>>> {
        let snapshot = self.parts.directory.snapshot();
        let entry = snapshot.by_name(&ticket.gate.name).filter(|entry| entry.member.id == ticket.gate);
        let entry = entry.filter(|entry| entry.member.state != MemberState::Dead).ok_or_else(|| {
            let message = "the node that this idempotency key names is gone; the call may have run there";
            ErrorAnswer::new(ErrorKind::OutcomeUnknown, message)
        })?;
        let served = entry.member.upstream.as_ref().map(|upstream| &upstream.service);
        if served.is_some_and(|service| *service != call.head.service) {
            let message = "this idempotency key was issued for another service";
            return Err(ErrorAnswer::new(ErrorKind::MalformedRequest, message).maybe_executed());
        }
        let request = outgoing.next_request(call).ok_or_else(|| unproved(no_upstream(), true))?;
        let answer = self.attempt(call, entry, request).await;
        answer.map_err(|answer| outgoing.explain(answer))
    }

    /// Refuses what is no good request before anything else is read of it.
    fn check_form(&self, request: &Request<Incoming>) -> Result<()> {
        let limit_bytes = self.parts.max_header_bytes as usize;
        let target_bytes = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
        if headers::size_bytes(request.headers()) + target_bytes > limit_bytes {
            let message = format!("the header section is larger than {limit_bytes} bytes");
            return Err(ErrorAnswer::new(ErrorKind::HeadersTooLarge, message));
        }
        if request.version() == Version::HTTP_11 && !request.headers().contains_key(HOST) {
            return Err(ErrorAnswer::new(ErrorKind::MalformedRequest, "the field host is missing"));
        }
        Ok(())
    }

    async fn see_through(
        &self,
        call: &Call,
        config: &PublishedConfig,
        request: Request<Incoming>,
    ) -> Result<Response<GuardedBody<AnswerBody, IngressGuard>>> {
        let outgoing = self.outgoing(call, config, request).await;
        let mut outgoing = outgoing.map_err(|answer| unproved(answer, call.ticket.is_some()))?;
        if let Some(ticket) = &call.ticket {
            return self.redeem(call, ticket, outgoing).await;
        }
        let budget = self.budget(&call.head.service);
        budget.earn(config.service.retry.budget_percent);
        let mut tried = Vec::new();
        let mut last = None;
        let mut may_have_run = false;
        for attempt in 1..=call.max_attempts {
            let Some(entry) = self.choose(&call.head.service, &tried) else {
                break;
            };
            let Some(request) = outgoing.next_request(call) else {
                break;
            };
            tried.push(Arc::clone(&entry.member.id.name));
            let answer = match self.attempt(call, &entry, request).await {
                Ok(response) => return Ok(response),
                Err(answer) => outcome_of_all(outgoing.explain(answer), may_have_run),
            };
            may_have_run |= answer.execution == Execution::OutcomeUnknown;
            let again = attempt < call.max_attempts
                && call.may_retry(answer.kind)
                && (is_free(answer.kind) || budget.spend());
            if !again {
                return Err(answer);
            }
            Metrics::count(&self.parts.metrics.retries, answer.kind.name());
            call.tally.retried(Instant::now());
            last = Some(answer);
        }
        Err(last.unwrap_or_else(no_upstream))
    }

    async fn outgoing(
        &self,
        call: &Call,
        config: &PublishedConfig,
        request: Request<Incoming>,
    ) -> Result<Outgoing> {
        let limit_bytes = config.service.max_body_bytes;
        let (mut parts, body) = request.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        name_host(&mut parts);
        let declared = body.size_hint().exact();
        if declared.is_some_and(|size| size > limit_bytes) {
            let message = format!("the body is larger than {limit_bytes} bytes");
            return Err(ErrorAnswer::new(ErrorKind::BodyTooLarge, message));
        }
        if declared.is_none_or(|size| size > self.parts.max_replay_bytes) {
            let watch = Arc::new(BodyWatch::default());
            let body = Some(CallBody::limited(body, limit_bytes, Arc::clone(&watch)));
            return Ok(Outgoing { parts, body: OutgoingBody::Stream { body, watch } });
        }
        let collected = tokio::time::timeout_at(call.deadline, body.collect()).await;
        let collected = collected.map_err(|_elapsed| {
            ErrorAnswer::new(ErrorKind::DeadlineBeforeStart, "the body did not arrive in time")
        })?;
        let collected = collected.map_err(|error| {
            ErrorAnswer::new(ErrorKind::MalformedRequest, format!("unreadable body: {error}"))
        })?;
        let trailers = collected.trailers().cloned();
        if trailers.is_some() {
            parts.headers.remove(CONTENT_LENGTH);
        }
        Ok(Outgoing { parts, body: OutgoingBody::Kept { data: collected.to_bytes(), trailers } })
    }

    fn choose(&self, service: &str, tried: &[Arc<str>]) -> Option<DirectoryEntry> {
        let now = Instant::now();
        let snapshot = self.parts.directory.snapshot();
        let keys = snapshot.upstreams_of(service);
        let mut entries = Vec::with_capacity(keys.len());
        let mut candidates = Vec::with_capacity(keys.len());
        for key in keys {
            let entry = snapshot.entry(*key);
            if tried.contains(&entry.member.id.name) {
                continue;
            }
            candidates.push(self.candidate(entry, now));
            entries.push(entry);
        }
        let index = self.parts.policy.choose(&candidates, &mut rand::rng())?;
        entries.get(index).map(|entry| DirectoryEntry::clone(entry))
    }

    fn candidate(&self, entry: &DirectoryEntry, now: Instant) -> Candidate {
        Candidate {
            peer_addr: entry.member.peer_addr,
            load: entry.stats.load(now),
            slots: entry.member.upstream.as_ref().map_or(1, |upstream| upstream.slots),
            same_zone: entry.member.zone == self.parts.me.zone,
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        entry: &DirectoryEntry,
        request: Request<CallBody>,
    ) -> Result<Response<GuardedBody<AnswerBody, IngressGuard>>> {
        entry.stats.start();
        let in_flight = InFlight { stats: Arc::clone(&entry.stats) };
        let sent_at = Instant::now();
        let local = entry.member.id == self.parts.me.id;
        let result = if local {
            self.through_own_gate(call, request).await
        } else {
            let peer = PeerCall {
                id: &call.id,
                addr: entry.member.peer_addr,
                deadline: call.deadline,
                idempotent: call.head.idempotent,
                outlives_caller: call.ticket.is_some(),
            };
            let response = through_peer(&self.parts.channels, peer, request).await;
            response.map(|response| response.map(Either::Left))
        };
        match result {
            Ok(response) => {
                entry.stats.observe(sent_at.elapsed());
                Ok(self.answered(call, response, in_flight))
            }
            Err(answer) => {
                if answer.kind != ErrorKind::Overloaded {
                    entry.stats.fail();
                }
                Err(answer)
            }
        }
    }

    async fn through_own_gate(
        &self,
        call: &Call,
        request: Request<CallBody>,
    ) -> Result<Response<AnswerBody>> {
        let gate_call = GateCall {
            id: call.id.clone(),
            priority: call.head.priority,
            deadline: call.deadline,
            idempotent: call.head.idempotent,
            ticketed: call.ticket.is_some(),
            patience: None,
        };
        let ends_with_caller = !call.head.idempotent && call.ticket.is_none();
        let caller = OwnGateCaller::new(&self.parts.gate, &call.id, ends_with_caller);
        let response = self.parts.gate.call(gate_call, request).await;
        caller.answered();
        Ok(response?.map(Either::Right))
    }

    fn answered(
        &self,
        call: &Call,
        response: Response<AnswerBody>,
        in_flight: InFlight,
    ) -> Response<GuardedBody<AnswerBody, IngressGuard>> {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        in_flight.take_report(head.headers.remove(headers::LOAD).as_ref());
        let queued = head.headers.remove(headers::QUEUED_US);
        call.tally.answered(head.status, queued_time(queued.as_ref()));
        let guard = IngressGuard {
            metrics: Arc::clone(&self.parts.metrics),
            service: Arc::clone(&call.head.service),
            priority: call.head.priority,
            started: call.started,
            tally: Arc::clone(&call.tally),
            _in_flight: in_flight,
        };
        Response::from_parts(head, GuardedBody::new(body, guard))
    }

    fn budget(&self, service: &Arc<str>) -> Arc<RetryBudget> {
        if let Some(budget) = self.budgets.load().get(service) {
            return Arc::clone(budget);
        }
        let fresh = Arc::new(RetryBudget::default());
        self.budgets.rcu(|budgets| {
            let mut next = IndexMap::clone(budgets);
            next.entry(Arc::clone(service)).or_insert_with(|| Arc::clone(&fresh));
            next
        });
        self.budgets.load().get(service).map_or(fresh, Arc::clone)
    }

    fn count(&self, call: &Call, outcome: &'static str) {
        count_call(&self.parts.metrics, &call.head.service, call.head.priority, outcome);
    }
}

/// An ingress as the server takes it.
#[derive(Debug)]
pub struct IngressHandler<P> {
    ingress: Arc<Ingress<P>>,
}

impl<P> IngressHandler<P> {
    /// A handler over the ingress.
    #[must_use]
    pub const fn new(ingress: Arc<Ingress<P>>) -> Self {
        Self { ingress }
    }
}

impl<P> Clone for IngressHandler<P> {
    fn clone(&self) -> Self {
        Self { ingress: Arc::clone(&self.ingress) }
    }
}

impl<P> Handler for IngressHandler<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    type Body = IngressBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<IngressBody> {
        self.ingress.serve(request).await
    }
}

impl Call {
    fn new(
        id: CallId,
        id_field: HeaderValue,
        head: CallHead,
        config: &PublishedConfig,
        burn: &Arc<BurnCounts>,
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
            started,
            deadline: started + head.timeout,
            max_attempts: config.service.retry.max_attempts,
            tally: Arc::new(BurnTally::new(Arc::clone(burn), key, objective, started)),
            head,
            ticket: None,
        }
    }

    fn may_retry(&self, kind: ErrorKind) -> bool {
        let row = kind.row();
        match row.execution {
            Execution::NotExecuted => row.retryable,
            Execution::OutcomeUnknown => self.head.idempotent && kind == ErrorKind::OutcomeUnknown,
        }
    }
}

impl Outgoing {
    /// The request for the next attempt, or nothing when its body is gone.
    fn next_request(&mut self, call: &Call) -> Option<Request<CallBody>> {
        let body = match &mut self.body {
            OutgoingBody::Kept { data, trailers } => CallBody::kept(data.clone(), trailers.clone()),
            OutgoingBody::Stream { body, .. } => body.take()?,
        };
        let mut request = Request::from_parts(self.parts.clone(), body);
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.version_mut() = http::Version::default();
        let left = call.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let fields = request.headers_mut();
        fields.insert(headers::CALL, call.id_field.clone());
        insert(fields, headers::SERVICE, &call.head.service);
        insert(fields, headers::PRIORITY, &call.priority_name);
        insert(fields, headers::IDEMPOTENT, if call.head.idempotent { "true" } else { "false" });
        fields.remove(headers::RESOLVE);
        fields.insert(headers::TIMEOUT_MS, HeaderValue::from(left_ms));
        Some(request)
    }

    /// The answer to the caller when an attempt failed because of its own body.
    fn explain(&self, answer: ErrorAnswer) -> ErrorAnswer {
        let OutgoingBody::Stream { watch, .. } = &self.body else {
            return answer;
        };
        if !watch.too_large() {
            return answer;
        }
        let refused =
            ErrorAnswer::new(ErrorKind::BodyTooLarge, "the body is larger than the service accepts");
        match answer.execution {
            Execution::NotExecuted => refused,
            Execution::OutcomeUnknown => refused.maybe_executed(),
        }
    }
}

/// One call that this node has under way at an upstream.
#[derive(Debug)]
struct InFlight {
    stats: Arc<UpstreamStats>,
}

impl InFlight {
    fn take_report(&self, field: Option<&HeaderValue>) {
        let report = field.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
        if let Some(report) = report {
            self.stats.report(report, Instant::now());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.stats.finish();
    }
}

/// Counts a call when its answer has been passed on.
#[derive(Debug)]
pub struct IngressGuard {
    metrics: SharedMetrics,
    service: Arc<str>,
    priority: u8,
    started: Instant,
    tally: Arc<BurnTally>,
    _in_flight: InFlight,
}

impl BodyGuard for IngressGuard {
    fn ended(&mut self, whole: bool) {
        self.tally.ended(if whole { BodyEnd::Whole } else { BodyEnd::Broken }, Instant::now());
        self.count(whole);
    }

    fn dropped(&mut self) {
        self.tally.ended(BodyEnd::Dropped, Instant::now());
        self.count(false);
    }
}

impl IngressGuard {
    fn count(&self, whole: bool) {
        let outcome = if whole { ANSWERED } else { "cut_short" };
        count_call(&self.metrics, &self.service, self.priority, outcome);
        let labels = LatencyLabels {
            service: ServiceLabel(Arc::clone(&self.service)),
            priority: u32::from(self.priority),
        };
        self.metrics.call_latency.get_or_create(&labels).observe(self.started.elapsed().as_secs_f64());
    }
}

fn count_call(metrics: &Metrics, service: &Arc<str>, priority: u8, outcome: &'static str) {
    let labels =
        CallLabels { service: ServiceLabel(Arc::clone(service)), priority: u32::from(priority), outcome };
    metrics.calls.get_or_create(&labels).inc();
}

fn queued_time(field: Option<&HeaderValue>) -> Duration {
    let micros = field.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    Duration::from_micros(micros.unwrap_or(0))
}

fn insert(fields: &mut HeaderMap, name: http::HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        fields.insert(name, value);
    }
}

/// Gives a request of HTTP/2 the field that names its host in HTTP/1.1.
fn name_host(parts: &mut Parts) {
    let host = parts.uri.authority().and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(host) = host {
        parts.headers.entry(HOST).or_insert(host);
    }
}

/// A gate that is about to stop hands calls back; that they go elsewhere adds no load.
fn is_free(kind: ErrorKind) -> bool {
    kind == ErrorKind::Draining
}

/// A refusal of one copy proves nothing for the others; only the gate that a ticket names can.
fn unproved(answer: ErrorAnswer, may_have_copies: bool) -> ErrorAnswer {
    if may_have_copies { answer.maybe_executed() } else { answer }
}

fn refusal(answer: ErrorAnswer, call: Option<&CallId>) -> Response<IngressBody> {
    answer.into_response(call).map(|bytes| Either::Right(Full::new(bytes)))
}

fn no_upstream() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream of this service takes work").retry_after(RETRY_HINT)
}
