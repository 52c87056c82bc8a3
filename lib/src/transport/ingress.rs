//! Taking calls from callers and seeing them through.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
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

use crate::coordination::routing::RoutingPolicy;
use crate::coordination::service_budgets::ServiceBudgets;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_head::service_name;
use crate::protocol::call_id::CallId;
use crate::protocol::call_id::CallIdSource;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::member::Member;
use crate::protocol::published::PublishedConfig;
use crate::protocol::ticket::Ticket;
use crate::protocol::trace::Step;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::state::directory::Directory;
use crate::state::metrics::SharedMetrics;
use crate::transport::call_attempts::Answered;
use crate::transport::call_body::BodyWatch;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_resolution::OwnGateCaller;
use crate::transport::call_resolution::PeerAnswerBody;
use crate::transport::gate::Gate;
use crate::transport::gate::GateBody;
use crate::transport::gate::GateCall;
use crate::transport::gate::caller_key;
use crate::transport::http_server::Handler;
use crate::transport::ingress_call::Call;
use crate::transport::ingress_guard::InFlight;
use crate::transport::ingress_guard::IngressGuard;
use crate::transport::ingress_guard::count_call;
use crate::transport::outgoing_call::Leg;
use crate::transport::outgoing_call::Outgoing;
use crate::transport::outgoing_call::OutgoingBody;
use crate::transport::peer_channel::CallChannels;

/// Result of one attempt.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

pub(super) const RETRY_HINT: Duration = Duration::from_millis(200);

/// Body of an upstream's answer: over a peer connection, or from the gate beside.
pub(super) type AnswerBody = Either<PeerAnswerBody, GateBody>;

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
    /// Counters.
    pub metrics: SharedMetrics,
    /// Calls held against their objectives.
    pub burn: Arc<BurnCounts>,
    /// The latest decisions, for traces.
    pub decisions: Arc<DecisionLog>,
    /// How upstreams are chosen.
    pub policy: P,
    /// Largest body kept for a retry, in bytes.
    pub max_replay_bytes: u64,
    /// Largest header section taken from a caller, in bytes.
    pub max_header_bytes: u32,
    /// Longest time that a call may wait for a slot, so that a node that stops can answer in time.
    pub longest_wait: Duration,
}

/// Takes calls from callers.
#[derive(Debug)]
pub struct Ingress<P> {
    pub(super) parts: IngressParts<P>,
    pub(super) budgets: ArcSwap<IndexMap<Arc<str>, Arc<ServiceBudgets>>>,
    draining: AtomicBool,
    /// When calls that wait for a slot are handed back, once the node is told to stop.
    hand_back_at: OnceLock<Instant>,
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// An ingress over the given parts.
    #[must_use]
    pub fn new(parts: IngressParts<P>) -> Self {
        let draining = AtomicBool::new(false);
        Self { parts, budgets: ArcSwap::default(), draining, hand_back_at: OnceLock::new() }
    }

    /// The node stops soon: calls that have no slot by then are handed back as not executed.
    pub fn hand_back_at(&self, at: Instant) {
        // A second order to stop changes nothing.
        let _first = self.hand_back_at.set(at);
    }

    /// Asks callers from now on to go elsewhere with their next call.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn serve(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<IngressBody> {
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
        let mut response = match self.accept(id.clone(), id_field.clone(), ticket, request, remote).await {
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
        remote: SocketAddr,
    ) -> Result<Answered> {
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
        let head = self.read_head(service, &request, config);
        let head = head.map_err(|answer| unproved(answer, copies))?;
        let mut call = Call::new(id, id_field, head, config, &self.parts.burn, remote);
        call.head.idempotent &= ticket.is_none();
        call.ticket = ticket;
        let result = self.see_through(&mut call, config, request).await;
        if let Err(answer) = &result {
            self.note_failure(&call, answer);
        }
        result
    }

    /// Counts and remembers a call that no upstream answered.
    pub(super) fn note_failure(&self, call: &Call, answer: &ErrorAnswer) {
        log::debug!("call failed; call={} kind={} message={:?}", call.id, answer.kind, answer.message);
        self.count(call, answer.kind.name());
        call.tally.failed(answer.kind, Instant::now());
        self.trace(call, Step::CallFailed { kind: answer.kind });
    }

    /// Whether callers are asked to go elsewhere.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn read_head(
        &self,
        service: Arc<str>,
        request: &Request<Incoming>,
        config: &PublishedConfig,
    ) -> Result<CallHead> {
        let mut head = CallHead::read(service, request.headers(), request.method(), config)?;
        if let Some(parent) = self.parent_of(request.headers()) {
            head.bound_by(&parent, config, Instant::now())?;
        }
        Ok(head)
    }

    /// Refuses what is no good request before anything else is read of it.
    pub(super) fn check_form(&self, request: &Request<Incoming>) -> Result<()> {
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

    /// The call of the upstream beside on whose behalf a request is made, by the field it passes on.
    fn parent_of(&self, fields: &HeaderMap) -> Option<ParentCall> {
        let id = fields.get(headers::CALL)?.to_str().ok()?.parse().ok()?;
        self.parts.gate.running_call(&id)
    }

    pub(super) async fn see_through(
        &self,
        call: &mut Call,
        config: &PublishedConfig,
        request: Request<Incoming>,
    ) -> Result<Answered> {
        let outgoing = self.outgoing(call, config, request).await;
        let mut outgoing = outgoing.map_err(|answer| unproved(answer, call.ticket.is_some()))?;
        call.wait_until(call.started + self.parts.longest_wait);
        if let Some(at) = self.hand_back_at.get() {
            call.wait_until(*at);
        }
        if let Some(ticket) = &call.ticket {
            return self.redeem(call, config, ticket, outgoing).await;
        }
        self.attempts(call, config, &mut outgoing).await
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

    pub(super) async fn through_own_gate(
        &self,
        call: &Call,
        leg: Leg,
        request: Request<CallBody>,
    ) -> Result<Response<AnswerBody>> {
        let gate_call = GateCall {
            id: call.id.clone(),
            service: Arc::clone(&call.head.service),
            priority: call.head.priority,
            priority_name: Arc::clone(&call.priority_name),
            repeated: leg.repeated || call.head.repeated,
            caller: caller_key(&call.caller),
            deadline: call.deadline,
            start_by: call.start_by(),
            objective_at: call.objective_at,
            usual: call.usual_time(),
            idempotent: call.head.idempotent,
            ticketed: call.ticket.is_some(),
            patience: leg.patience,
        };
        let ends_with_caller = !call.head.idempotent && call.ticket.is_none();
        let caller = OwnGateCaller::new(&self.parts.gate, &call.id, ends_with_caller);
        let response = self.parts.gate.call(gate_call, request).await;
        caller.answered();
        Ok(response?.map(Either::Right))
    }

    pub(super) fn answered(
        &self,
        call: &Call,
        response: Response<AnswerBody>,
        in_flight: InFlight,
    ) -> Answered {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        in_flight.take_report(head.headers.remove(headers::LOAD).as_ref());
        let queued = head.headers.remove(headers::QUEUED_US);
        let queued = queued_time(queued.as_ref());
        call.tally.answered(head.status, queued);
        let queued_us = u64::try_from(queued.as_micros()).unwrap_or(u64::MAX);
        self.trace(call, Step::Answered { status: head.status.as_u16(), queued_us });
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

    pub(super) fn trace(&self, call: &Call, step: Step) {
        self.parts.decisions.record(&call.id, step, Instant::now());
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

    async fn handle(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<IngressBody> {
        self.ingress.serve(request, remote).await
    }
}

pub(super) fn queued_time(field: Option<&HeaderValue>) -> Duration {
    let micros = field.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    Duration::from_micros(micros.unwrap_or(0))
}

/// Gives a request of HTTP/2 the field that names its host in HTTP/1.1.
fn name_host(parts: &mut Parts) {
    let host = parts.uri.authority().and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(host) = host {
        parts.headers.entry(HOST).or_insert(host);
    }
}

/// A refusal of one copy proves nothing for the others; only the gate that a ticket names can.
pub(super) fn unproved(answer: ErrorAnswer, may_have_copies: bool) -> ErrorAnswer {
    if may_have_copies { answer.maybe_executed() } else { answer }
}

pub(super) fn refusal(answer: ErrorAnswer, call: Option<&CallId>) -> Response<IngressBody> {
    answer.into_response(call).map(|bytes| Either::Right(Full::new(bytes)))
}

pub(super) fn no_upstream() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream of this service takes work").retry_after(RETRY_HINT)
}
