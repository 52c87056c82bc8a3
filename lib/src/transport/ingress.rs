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
use http::Version;
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
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_client::PeerClient;

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
use crate::protocol::published::PublishedConfig;
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
use crate::transport::gate::Gate;
use crate::transport::gate::GateCall;
use crate::transport::gate::GateGuard;
use crate::transport::http_server::Handler;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_channel::ControlClient;

/// Result of one attempt.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

const RESOLVE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_HINT: Duration = Duration::from_millis(200);
const ANSWERED: &str = "answered";

/// Body of an upstream's answer: over a peer connection, or from the gate beside.
type AnswerBody = Either<CallBody, GuardedBody<CallBody, GateGuard>>;

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

    /// Refuses new calls from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<IngressBody> {
        let id = self.parts.ids.next();
        let id_field = HeaderValue::from_str(&id.to_string());
        let id_field = id_field.unwrap_or_else(|_| HeaderValue::from_static(""));
        let mut response = match self.accept(id.clone(), id_field.clone(), request).await {
            Ok(response) => response.map(Either::Left),
            Err(answer) => answer.into_response(Some(&id)).map(|bytes| Either::Right(Full::new(bytes))),
        };
        response.headers_mut().insert(headers::CALL, id_field);
        response
    }

    async fn accept(
        &self,
        id: CallId,
        id_field: HeaderValue,
        request: Request<Incoming>,
    ) -> Result<Response<GuardedBody<AnswerBody, IngressGuard>>> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(
                ErrorAnswer::new(ErrorKind::Draining, "this node is stopping").retry_after(RETRY_HINT)
            );
        }
        self.check_form(&request)?;
        let service = service_name(request.headers(), request.method())?;
        let published = self.parts.config.get(&service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let config = config.ok_or_else(|| {
            ErrorAnswer::new(ErrorKind::UnknownService, format!("no published service is named {service:?}"))
        })?;
        let head = CallHead::read(service, request.headers(), request.method(), config)?;
        let call = Call::new(id, id_field, head, config, &self.parts.burn);
        let result = self.see_through(&call, config, request).await;
        if let Err(answer) = &result {
            log::debug!("call failed; call={} kind={} message={:?}", call.id, answer.kind, answer.message);
            self.count(&call, answer.kind.name());
            call.tally.failed(answer.kind, Instant::now());
        }
        result
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
        let mut outgoing = self.outgoing(call, config, request).await?;
        let budget = self.budget(&call.head.service);
        budget.earn(config.service.retry.budget_percent);
        let mut tried = Vec::new();
        let mut last = None;
        for attempt in 1..=call.max_attempts {
            let Some(entry) = self.choose(call, &tried) else {
                break;
            };
            let Some(request) = outgoing.next_request(call) else {
                break;
            };
            tried.push(Arc::clone(&entry.member.id.name));
            let answer = match self.attempt(call, &entry, request).await {
                Ok(response) => return Ok(response),
                Err(answer) => outgoing.explain(answer),
            };
            let again = attempt < call.max_attempts && call.may_retry(answer.kind) && budget.spend();
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

    fn choose(&self, call: &Call, tried: &[Arc<str>]) -> Option<DirectoryEntry> {
        let now = Instant::now();
        let snapshot = self.parts.directory.snapshot();
        let keys = snapshot.upstreams_of(&call.head.service);
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
        // The name alone: after a long pause the node lives on under a later incarnation.
        let local = entry.member.id.name == self.parts.me.id.name;
        let result = if local {
            self.through_own_gate(call, request).await
        } else {
            self.through_peer(call, &entry.member, request).await
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
            patience: None,
        };
        let response = self.parts.gate.call(gate_call, request).await?;
        Ok(response.map(Either::Right))
    }

    async fn through_peer(
        &self,
        call: &Call,
        member: &Member,
        mut request: Request<CallBody>,
    ) -> Result<Response<AnswerBody>> {
        let channel = self.parts.channels.get(member.peer_addr);
        *request.uri_mut() = channel.absolute(request.uri());
        let sent = tokio::time::timeout_at(call.deadline, channel.send(request)).await;
        match sent {
            Ok(Ok(response)) => refusal_or_answer(response),
            Ok(Err(error)) if error.proves_not_executed() => {
                Err(ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string()).retry_after(RETRY_HINT))
            }
            Ok(Err(error)) => {
                log::debug!("peer lost; call={} peer={} error={error}", call.id, member.id.name);
                Err(self.resolve(call, member).await)
            }
            Err(_) => Err(ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "no answer within the deadline")),
        }
    }

    /// Asks the gate what became of a call whose connection was lost.
    async fn resolve(&self, call: &Call, member: &Member) -> ErrorAnswer {
        let control = self.parts.control.get(member.peer_addr);
        let mut client = PeerClient::new(ControlClient::new(control));
        let question = wire::ResolveCallRequest {
            call: Some(wire::CallId {
                node: call.id.node.to_string(),
                incarnation: call.id.incarnation,
                sequence: call.id.sequence,
            }),
        };
        let until = call.deadline.min(Instant::now() + RESOLVE_TIMEOUT);
        let fate = match tokio::time::timeout_at(until, client.resolve_call(question)).await {
            Ok(Ok(reply)) => reply.into_inner().fate(),
            _ => wire::CallFate::Unknown,
        };
        if fate == wire::CallFate::Fenced {
            return ErrorAnswer::new(ErrorKind::NoUpstream, "the connection failed before the call arrived")
                .retry_after(RETRY_HINT);
        }
        ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the connection failed while the call was under way")
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

fn refusal_or_answer(response: Response<Incoming>) -> Result<Response<AnswerBody>> {
    let kind = response.headers().get(headers::ERROR).and_then(|value| value.to_str().ok());
    let Some(kind) = kind.and_then(ErrorKind::from_name) else {
        return Ok(response.map(|body| Either::Left(CallBody::unlimited(body))));
    };
    let after_ms = response.headers().get(headers::RETRY_AFTER_MS);
    let after_ms = after_ms.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let answer = ErrorAnswer::new(kind, "the upstream's gate refused or lost the call");
    Err(match after_ms {
        Some(millis) => answer.retry_after(Duration::from_millis(millis)),
        None => answer,
    })
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

fn no_upstream() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::NoUpstream, "no upstream of this service takes work").retry_after(RETRY_HINT)
}
