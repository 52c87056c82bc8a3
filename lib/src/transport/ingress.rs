//! HTTP server side for callers: validates each call, routes it to a gate and passes the answer back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
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

use crate::coordination::evacuation::is_fully_evacuated;
use crate::coordination::routing::RoutingPolicy;
use crate::coordination::service_budgets::ServiceBudgets;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallHead;
use crate::protocol::call_head::ParentCall;
use crate::protocol::call_head::service_name;
use crate::protocol::call_id::CallId;
use crate::protocol::call_id::CallIdGenerator;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::member::Member;
use crate::protocol::published::Published;
use crate::protocol::published::PublishedConfig;
use crate::protocol::trace::TraceStep;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::state::directory::Directory;
use crate::state::metrics::SharedMetrics;
use crate::transport::call_attempts::CallResponse;
use crate::transport::call_body::BodyLimitFlag;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::call_resolution::OwnGateCancelGuard;
use crate::transport::call_resolution::PeerAnswerBody;
use crate::transport::gate::EVACUATED_RETRY_AFTER;
use crate::transport::gate::Gate;
use crate::transport::gate::GateBody;
use crate::transport::gate::GateCall;
use crate::transport::gate::caller_key;
use crate::transport::http_server::Handler;
use crate::transport::ingress_call::IngressCall;
use crate::transport::ingress_guard::AnswerBodyGuard;
use crate::transport::ingress_guard::InFlightCall;
use crate::transport::ingress_guard::count_call;
use crate::transport::outgoing_request::AttemptOptions;
use crate::transport::outgoing_request::OutgoingRequest;
use crate::transport::outgoing_request::OutgoingRequestBody;
use crate::transport::peer_channel::CallChannels;
use crate::transport::quota_link::QuotaLink;
use crate::transport::upstream_fields::queued_time;

/// Result of handling a call or one attempt of it; the error is the answer to the caller.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Time before the end of a shutdown at which calls without a slot fail as not executed.
pub(crate) const SHUTDOWN_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Retry-after time in answers about an upstream that cannot be reached.
pub(super) const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Body of an upstream's answer, received over a peer connection or from this node's own gate.
pub(super) type AnswerBody = Either<PeerAnswerBody, GateBody>;

/// Body of an answer to a caller: an upstream's answer, or an error.
pub type IngressBody = Either<GuardedBody<AnswerBody, AnswerBodyGuard>, Full<Bytes>>;

/// Dependencies and limits of an [`Ingress`].
#[derive(Debug)]
pub struct IngressDependencies<P> {
    /// The member entry of this node.
    pub local_member: Arc<Member>,
    /// Source of call identities.
    pub ids: CallIdGenerator,
    /// Members and their upstreams.
    pub directory: Arc<Directory>,
    /// Current configuration.
    pub config: Arc<ConfigTable>,
    /// The gate of this node.
    pub gate: Arc<Gate>,
    /// Channels for calls to the gates of other nodes.
    pub channels: Arc<CallChannels>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
    /// Quotas of tenants.
    pub quotas: Arc<QuotaLink>,
    /// Counts of calls that met or missed their latency objective.
    pub burn: Arc<BurnCounts>,
    /// Log of the most recent decisions about calls, for traces.
    pub decisions: Arc<DecisionLog>,
    /// Policy that chooses the upstream of each attempt.
    pub policy: P,
    /// Maximum size of a request body that is buffered for retries, in bytes.
    pub max_replay_bytes: u64,
    /// Maximum size of a caller's header section, request target included, in bytes.
    pub max_header_bytes: u32,
}

/// Accepts calls from callers and completes each one through a gate.
#[derive(Debug)]
pub struct Ingress<P> {
    pub(super) dependencies: IngressDependencies<P>,
    pub(super) budgets: ArcSwap<IndexMap<Arc<str>, Arc<ServiceBudgets>>>,
    draining: AtomicBool,
    /// Maximum time that a call may wait for a slot, in milliseconds.
    ///
    /// It is shorter than the shutdown timeout, so that a stopping node can still answer waiting calls.
    max_slot_wait_ms: AtomicU64,
    /// Time by which the node ends; set when it starts to stop.
    stop_by: OnceLock<Instant>,
}

impl<P> Ingress<P>
where
    P: RoutingPolicy + Send + Sync + 'static,
{
    /// Creates an ingress with the given dependencies, at which calls wait for a slot up to `max_slot_wait`.
    #[must_use]
    pub fn new(dependencies: IngressDependencies<P>, max_slot_wait: Duration) -> Self {
        let ingress = Self {
            dependencies,
            budgets: ArcSwap::default(),
            draining: AtomicBool::new(false),
            max_slot_wait_ms: AtomicU64::new(0),
            stop_by: OnceLock::new(),
        };
        ingress.set_max_slot_wait(max_slot_wait);
        ingress
    }

    /// Sets the maximum time that calls accepted from now on may wait for a slot.
    pub fn set_max_slot_wait(&self, max_slot_wait: Duration) {
        let max_slot_wait_ms = u64::try_from(max_slot_wait.as_millis()).unwrap_or(u64::MAX);
        self.max_slot_wait_ms.store(max_slot_wait_ms, Ordering::Relaxed);
    }

    fn max_slot_wait(&self) -> Duration {
        Duration::from_millis(self.max_slot_wait_ms.load(Ordering::Relaxed))
    }

    /// Sets the time by which the node ends.
    ///
    /// Calls accepted from now on must get a slot [`SHUTDOWN_ANSWER_MARGIN`] earlier or are rejected as not
    /// executed. The maximum wait for a slot already limits earlier calls.
    pub fn set_stop_by(&self, at: Instant) {
        // A repeated stop request does not change the time.
        let _result = self.stop_by.set(at);
    }

    /// Starts asking callers to close their connections and send further calls to other nodes.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn serve(&self, request: Request<Incoming>, remote: SocketAddr) -> Response<IngressBody> {
        let is_http1 = request.version() < Version::HTTP_2;
        let issued_key = match IssuedKey::from_request(request.headers()) {
            Ok(issued_key) => issued_key,
            Err(answer) => return error_response(answer, None),
        };
        let id = issued_key
            .as_ref()
            .map_or_else(|| self.dependencies.ids.next(), |issued_key| issued_key.call.clone());
        if request.headers().contains_key(headers::ISSUE_KEY) {
            return self.issue_key_response(id, &request);
        }
        let id_header = HeaderValue::from_str(&id.to_string());
        let id_header = id_header.unwrap_or_else(|_| HeaderValue::from_static(""));
        let mut response = match self.accept(id.clone(), id_header.clone(), issued_key, request, remote).await
        {
            Ok(response) => response.map(Either::Left),
            Err(answer) => error_response(answer, Some(&id)),
        };
        response.headers_mut().insert(headers::CALL, id_header);
        if is_http1 && self.draining.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Reads the parameters of a request and completes the call that it makes.
    ///
    /// A step that rejects the request ends it; the later steps don't see it.
    async fn accept(
        &self,
        id: CallId,
        id_header: HeaderValue,
        issued_key: Option<IssuedKey>,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<CallResponse> {
        let may_have_duplicates = issued_key.is_some();
        let rejection = |answer| mark_possibly_executed(answer, may_have_duplicates);
        validate_request(&request, self.dependencies.max_header_bytes).map_err(rejection)?;
        let service = service_name(request.headers(), request.method()).map_err(rejection)?;
        let published = self.dependencies.config.get(&service);
        let config = service_config(published.as_deref(), &service).map_err(rejection)?;
        let head = self.read_head(service, &request, config).map_err(rejection)?;
        let mut call = IngressCall::new(id, id_header, head, config, &self.dependencies.burn, remote);
        call.set_issued_key(issued_key);
        let result = self.complete_call(&mut call, config, request).await;
        self.record_result(&call, &result);
        result
    }

    fn record_result(&self, call: &IngressCall, result: &Result<CallResponse>) {
        if let Err(answer) = result {
            self.record_failure(call, answer);
        }
    }

    /// Records a call that no upstream answered in the metrics, the burn counts and the trace.
    pub(super) fn record_failure(&self, call: &IngressCall, answer: &ErrorAnswer) {
        log::debug!("call failed; call={} kind={} message={:?}", call.id, answer.kind, answer.message);
        self.count(call, answer.kind.name());
        call.measurement.record_failure(answer.kind, Instant::now());
        self.trace(call, TraceStep::CallFailed { kind: answer.kind });
    }

    /// Returns whether callers are asked to close their connections.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(super) fn read_head<B>(
        &self,
        service: Arc<str>,
        request: &Request<B>,
        config: &PublishedConfig,
    ) -> Result<CallHead> {
        let mut head = CallHead::read(service, request.headers(), request.method(), config)?;
        if let Some(parent) = self.parent_call(request.headers()) {
            head.limit_to_parent(&parent, config, Instant::now())?;
        }
        Ok(head)
    }

    /// Returns the call of this node's upstream on whose behalf the request is made.
    ///
    /// It is identified by the call identity that the upstream copies into its own requests.
    fn parent_call(&self, fields: &HeaderMap) -> Option<ParentCall> {
        let id = fields.get(headers::CALL)?.to_str().ok()?.parse().ok()?;
        self.dependencies.gate.running_call(&id)
    }

    /// Prepares the request, then makes attempts until the call is answered or has failed.
    pub(super) async fn complete_call(
        &self,
        call: &mut IngressCall,
        config: &PublishedConfig,
        request: Request<Incoming>,
    ) -> Result<CallResponse> {
        let may_have_duplicates = call.issued_key.is_some();
        let rejection = |answer| mark_possibly_executed(answer, may_have_duplicates);
        self.check_ends_before_stop(call.deadline).map_err(rejection)?;
        self.check_not_evacuated(&call.head.service).map_err(rejection)?;
        let mut outgoing = self.prepare_outgoing(call, config, request).await.map_err(rejection)?;
        self.limit_slot_wait(call);
        if let Some(issued_key) = &call.issued_key {
            return self.attempt_at_issuing_gate(call, config, issued_key, outgoing).await;
        }
        self.attempts(call, config, &mut outgoing).await
    }

    /// Limits how long the call waits for a slot, so that a stopping node can still answer it.
    fn limit_slot_wait(&self, call: &mut IngressCall) {
        call.limit_slot_wait(call.started + self.max_slot_wait());
        if let Some(stop_by) = self.stop_by.get() {
            call.limit_slot_wait(stop_by.checked_sub(SHUTDOWN_ANSWER_MARGIN).unwrap_or(*stop_by));
        }
    }

    /// Rejects a call that a draining node may have to cut, since its deadline lies after the end of the node.
    pub(super) fn check_ends_before_stop(&self, deadline: Instant) -> Result<()> {
        match self.stop_by.get() {
            Some(stop_by) if self.is_draining() && deadline > *stop_by => {
                let message = "the node ends before the deadline of the call";
                Err(ErrorAnswer::new(ErrorKind::Draining, message).retry_after(NO_UPSTREAM_RETRY_AFTER))
            }
            _ => Ok(()),
        }
    }

    /// Rejects a call to a service whose upstreams are all in evacuated zones, before its body is read.
    pub(super) fn check_not_evacuated(&self, service: &str) -> Result<()> {
        let Some(evacuations) = self.dependencies.config.evacuations() else {
            return Ok(());
        };
        let snapshot = self.dependencies.directory.snapshot();
        let serving = snapshot.members_serving(service).iter();
        let zones = serving.map(|key| snapshot.entry(*key).member.zone.as_ref());
        if is_fully_evacuated(zones, &evacuations) {
            let message = "all zones that serve this service are evacuated";
            return Err(
                ErrorAnswer::new(ErrorKind::ZoneEvacuated, message).retry_after(EVACUATED_RETRY_AFTER)
            );
        }
        Ok(())
    }

    /// Buffers a small body so that the request can be retried; a larger one is streamed once.
    async fn prepare_outgoing(
        &self,
        call: &IngressCall,
        config: &PublishedConfig,
        request: Request<Incoming>,
    ) -> Result<OutgoingRequest> {
        let limit_bytes = config.service.max_body_bytes;
        let (mut parts, body) = request.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        set_host_header(&mut parts);
        let declared_bytes = body.size_hint().exact();
        if declared_bytes.is_some_and(|size| size > limit_bytes) {
            let message = format!("the body is larger than {limit_bytes} bytes");
            return Err(ErrorAnswer::new(ErrorKind::BodyTooLarge, message));
        }
        if declared_bytes.is_none_or(|size| size > self.dependencies.max_replay_bytes) {
            let limit_flag = Arc::new(BodyLimitFlag::default());
            let body = Some(CallBody::limited(body, limit_bytes, Arc::clone(&limit_flag)));
            return Ok(OutgoingRequest { parts, body: OutgoingRequestBody::Streamed { body, limit_flag } });
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
        Ok(OutgoingRequest {
            parts,
            body: OutgoingRequestBody::Buffered { data: collected.to_bytes(), trailers },
        })
    }

    /// Sends one attempt to the gate of this node.
    pub(super) async fn send_via_own_gate(
        &self,
        call: &IngressCall,
        options: AttemptOptions,
        request: Request<CallBody>,
    ) -> Result<Response<AnswerBody>> {
        let gate_call = GateCall {
            id: call.id.clone(),
            service: Arc::clone(&call.head.service),
            priority: call.head.priority,
            priority_name: Arc::clone(&call.priority_name),
            repeated: options.repeated || call.head.repeated,
            caller: caller_key(&call.caller),
            caller_weight: self.dependencies.config.caller_weight(&call.caller),
            deadline: call.deadline,
            start_by: call.start_by(),
            objective_at: call.objective_at,
            typical_time: call.typical_time(),
            origin: call.origin,
            idempotent: call.head.idempotent,
            has_issued_key: call.issued_key.is_some(),
            max_gate_latency: options.max_gate_latency,
        };
        let cancel_on_disconnect = !call.head.idempotent && call.issued_key.is_none();
        let cancel_guard = OwnGateCancelGuard::new(&self.dependencies.gate, &call.id, cancel_on_disconnect);
        let response = self.dependencies.gate.call(gate_call, request).await;
        cancel_guard.disarm();
        Ok(response?.map(Either::Right))
    }

    /// Records the answer's load report and queueing time and returns the response to the caller.
    pub(super) fn wrap_response(
        &self,
        call: &IngressCall,
        response: Response<AnswerBody>,
        in_flight: InFlightCall,
    ) -> CallResponse {
        let (mut head, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut head.headers);
        in_flight.record_load_report(head.headers.remove(headers::LOAD).as_ref());
        let queued = queued_time(&head.headers);
        head.headers.remove(headers::QUEUED_US);
        head.headers.remove(headers::START_SLOWDOWN_PERCENT);
        call.measurement.record_response_head(head.status, queued);
        let queued_us = u64::try_from(queued.as_micros()).unwrap_or(u64::MAX);
        self.trace(call, TraceStep::Answered { status: head.status.as_u16(), queued_us });
        let guard = AnswerBodyGuard {
            metrics: Arc::clone(&self.dependencies.metrics),
            service: Arc::clone(&call.head.service),
            priority: call.head.priority,
            started: call.started,
            measurement: Arc::clone(&call.measurement),
            unfinished_answer: None,
            _in_flight: in_flight,
        };
        Response::from_parts(head, GuardedBody::new(body, guard))
    }

    /// Records one step of the call for traces.
    pub(super) fn trace(&self, call: &IngressCall, step: TraceStep) {
        self.dependencies.decisions.record(&call.id, step, Instant::now());
    }

    fn count(&self, call: &IngressCall, outcome: &'static str) {
        count_call(&self.dependencies.metrics, &call.head.service, call.head.priority, outcome);
    }
}

/// HTTP handler that serves callers through an [`Ingress`].
#[derive(Debug)]
pub struct IngressHandler<P> {
    pub(super) ingress: Arc<Ingress<P>>,
}

impl<P> IngressHandler<P> {
    /// Creates a handler for the ingress.
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

/// Returns the configuration of the service that a caller named.
pub(super) fn service_config<'a>(
    published: Option<&'a Published>,
    service: &str,
) -> Result<&'a PublishedConfig> {
    published.and_then(|published| published.config.as_ref()).ok_or_else(|| {
        let message = format!("no published service is named {service:?}");
        ErrorAnswer::new(ErrorKind::UnknownService, message)
    })
}

/// Validates the size of the header section and the presence of the host field.
///
/// # Errors
///
/// Fails if the header section is larger than `max_header_bytes` or an HTTP/1.1 request has no host field.
pub(super) fn validate_request<B>(request: &Request<B>, max_header_bytes: u32) -> Result<()> {
    let target_bytes = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    if headers::size_bytes(request.headers()) + target_bytes > max_header_bytes as usize {
        let message = format!("the header section is larger than {max_header_bytes} bytes");
        return Err(ErrorAnswer::new(ErrorKind::HeadersTooLarge, message));
    }
    if request.version() == Version::HTTP_11 && !request.headers().contains_key(HOST) {
        return Err(ErrorAnswer::new(ErrorKind::MalformedRequest, "the field host is missing"));
    }
    Ok(())
}

/// Sets the HTTP/1.1 host field of an HTTP/2 request from its authority.
fn set_host_header(parts: &mut Parts) {
    let host = parts.uri.authority().and_then(|name| HeaderValue::from_str(name.as_str()).ok());
    if let Some(host) = host {
        parts.headers.entry(HOST).or_insert(host);
    }
}

/// Marks the error as possibly executed if the caller may have sent duplicates of the call.
///
/// Rejecting one request does not prove that a duplicate with the same issued idempotency key was not
/// executed; only the gate that the key names can prove that.
pub(super) fn mark_possibly_executed(answer: ErrorAnswer, may_have_duplicates: bool) -> ErrorAnswer {
    if may_have_duplicates { answer.with_unknown_outcome() } else { answer }
}

/// Returns the response to a caller for a call that failed without an upstream's answer.
pub(super) fn error_response(answer: ErrorAnswer, call: Option<&CallId>) -> Response<IngressBody> {
    answer.into_response(call).map(|bytes| Either::Right(Full::new(bytes)))
}

/// Returns the error for a service without an upstream that accepts calls.
pub(super) fn no_upstream_error() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream of this service takes work")
        .retry_after(NO_UPSTREAM_RETRY_AFTER)
}
