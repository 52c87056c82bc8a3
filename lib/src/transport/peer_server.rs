//! Server side of the peer protocol: gate calls and control messages from other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tonic::Status;
use tower_service::Service;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_server::Peer;
use yuccatray_proto::peer_v1::peer_server::PeerServer;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_head::CallOrigin;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::member::MemberId;
use crate::protocol::resolve_request::ResolveRequest;
use crate::protocol::trace::TraceStep;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::transport::call_body::CallBody;
use crate::transport::gate::Gate;
use crate::transport::gate::GateBody;
use crate::transport::gate::GateCall;
use crate::transport::gate::GateResponse;
use crate::transport::gate::caller_key;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;

/// Path prefix of the gRPC control service.
const CONTROL_PREFIX: &str = "/yuccatray.peer.v1.Peer/";

/// Body of a response to a peer: a control message, an upstream's response, or an error.
pub type PeerBody = Either<tonic::body::Body, Either<GateBody, Full<Bytes>>>;

/// HTTP handler for requests from other nodes.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    gate: Arc<Gate>,
    config: Arc<ConfigTable>,
    decisions: Arc<DecisionLog>,
    gossip: Arc<Gossip>,
    node_name: Arc<str>,
    control: PeerServer<Control>,
}

impl PeerHandler {
    /// Creates a handler that serves the node's gate and gossip.
    #[must_use]
    pub fn new(
        gate: Arc<Gate>,
        config: Arc<ConfigTable>,
        gossip: Arc<Gossip>,
        decisions: Arc<DecisionLog>,
    ) -> Self {
        let control = PeerServer::new(Control { gossip: Arc::clone(&gossip) });
        let node_name = Arc::clone(&gossip.local_member().id.name);
        Self { gate, config, decisions, gossip, node_name, control }
    }

    /// Passes a call from another node's ingress to the gate.
    async fn serve_gate_call(&self, request: Request<Incoming>) -> Response<PeerBody> {
        if request.headers().contains_key(headers::RESOLVE) {
            return self.resolve_call(request.headers()).await;
        }
        let call = match self.read_call(request.headers()) {
            Ok(call) => call,
            Err(answer) => return error_response(answer, None),
        };
        let id = call.id.clone();
        self.decisions.record(&id, TraceStep::Arrived, Instant::now());
        let result = self.gate.call(call, request.map(CallBody::unlimited)).await;
        self.decisions.record(&id, outcome_step(&result), Instant::now());
        match result {
            Ok(response) => response.map(|body| Either::Right(Either::Left(body))),
            Err(answer) => error_response(answer, Some(&id)),
        }
    }

    /// Cancels a call that was sent over another connection, or returns its response.
    async fn resolve_call(&self, fields: &HeaderMap) -> Response<PeerBody> {
        let resolve_fields = parse_required(fields, &headers::RESOLVE)
            .and_then(|resolve_request| Ok((parse_required(fields, &headers::CALL)?, resolve_request)));
        let (id, resolve_request): (CallId, ResolveRequest) = match resolve_fields {
            Ok(resolve_fields) => resolve_fields,
            Err(answer) => return error_response(answer, None),
        };
        if resolve_request == ResolveRequest::Cancel {
            self.gate.cancel(&id);
            return Response::new(Either::Right(Either::Right(Full::default())));
        }
        let gate: Result<MemberId, _> = parse_required(fields, &headers::GATE);
        if !gate.is_ok_and(|gate| self.gossip.is_own_identity(&gate)) {
            let message = "another process than the one that the call was sent to";
            return error_response(ErrorAnswer::new(ErrorKind::OutcomeUnknown, message), Some(&id));
        }
        match self.gate.attach(&id).await {
            Ok(response) => response.map(|body| Either::Right(Either::Left(body))),
            Err(answer) => error_response(answer, Some(&id)),
        }
    }

    fn read_call(&self, fields: &HeaderMap) -> Result<GateCall, ErrorAnswer> {
        let id: CallId = parse_required(fields, &headers::CALL)?;
        let gate: MemberId = parse_required(fields, &headers::GATE)?;
        if gate.name != self.node_name {
            let message = format!("this is not the gate of {}", gate.name);
            return Err(ErrorAnswer::new(ErrorKind::NoUpstream, message));
        }
        let timeout_ms = parse_required(fields, &headers::TIMEOUT_MS)?;
        let caller = field_text(fields, &headers::CALLER).unwrap_or_default();
        Ok(GateCall {
            has_issued_key: IssuedKey::is_issued_for(fields, &gate, &id),
            id,
            service: Arc::from(field_text(fields, &headers::SERVICE).unwrap_or_default()),
            priority: self.priority_rank(fields),
            priority_name: Arc::from(field_text(fields, &headers::PRIORITY).unwrap_or_default()),
            repeated: field_text(fields, &headers::REPEAT) == Some("true"),
            caller: caller_key(caller),
            caller_weight: self.config.caller_weight(caller),
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            start_by: parse_optional(fields, &headers::START_WITHIN_MS)
                .map(|within_ms| Instant::now() + Duration::from_millis(within_ms)),
            objective_at: parse_optional(fields, &headers::OBJECTIVE_MS)
                .map(|remaining_ms| Instant::now() + Duration::from_millis(remaining_ms)),
            typical_time: parse_optional(fields, &headers::TYPICAL_TIME_MS).map(Duration::from_millis),
            origin: call_origin(fields),
            idempotent: parse_required(fields, &headers::IDEMPOTENT)?,
            max_gate_latency: parse_optional(fields, &headers::MAX_GATE_LATENCY_US)
                .map(Duration::from_micros),
        })
    }

    /// Returns the rank of the call's priority; a priority unknown to this node ranks last.
    ///
    /// A sender with a newer configuration may name a priority that this node does not know yet.
    fn priority_rank(&self, fields: &HeaderMap) -> u8 {
        let name = fields.get(headers::PRIORITY).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let service = fields.get(headers::SERVICE).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let published = self.config.get(service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let index = config.and_then(|config| config.priorities.priorities.get_index_of(name));
        index.and_then(|index| u8::try_from(index).ok()).unwrap_or(u8::MAX)
    }
}

/// Returns the trace step that describes the outcome of a call at this gate.
fn outcome_step(result: &Result<GateResponse, ErrorAnswer>) -> TraceStep {
    match result {
        Ok(response) => TraceStep::Passed { status: response.status().as_u16() },
        Err(answer) => TraceStep::Refused { kind: answer.kind },
    }
}

impl Handler for PeerHandler {
    type Body = PeerBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<PeerBody> {
        if !is_control_message(&request) {
            return self.serve_gate_call(request).await;
        }
        match self.control.clone().call(request).await {
            Ok(response) => response.map(Either::Left),
            Err(never) => match never {},
        }
    }
}

/// Returns whether a request is a control message and not a call.
///
/// An ingress sets the identity of every call, so the path does not decide: that of a call is its caller's choice.
fn is_control_message<B>(request: &Request<B>) -> bool {
    !request.headers().contains_key(headers::CALL) && request.uri().path().starts_with(CONTROL_PREFIX)
}

/// Implementation of the generated gRPC control service.
#[derive(Clone, Debug)]
struct Control {
    gossip: Arc<Gossip>,
}

#[tonic::async_trait]
impl Peer for Control {
    async fn exchange(
        &self,
        request: tonic::Request<wire::ExchangeRequest>,
    ) -> Result<tonic::Response<wire::ExchangeReply>, Status> {
        Ok(tonic::Response::new(self.gossip.answer_exchange(request.get_ref()).await))
    }

    async fn report_zone(
        &self,
        request: tonic::Request<wire::ZoneReport>,
    ) -> Result<tonic::Response<wire::ZoneReportReply>, Status> {
        let complete = self.gossip.apply_zone_report(request.get_ref());
        Ok(tonic::Response::new(wire::ZoneReportReply { complete }))
    }
}

/// Builds an error response, with the gate's load if the error carries it.
fn error_response(answer: ErrorAnswer, call: Option<&CallId>) -> Response<PeerBody> {
    let load = answer.load.and_then(|load| HeaderValue::from_str(&load.to_string()).ok());
    let mut response = answer.into_response(call);
    if let Some(load) = load {
        response.headers_mut().insert(headers::LOAD, load);
    }
    response.map(|bytes| Either::Right(Either::Right(Full::new(bytes))))
}

fn field_text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    fields.get(name).and_then(|value| std::str::from_utf8(value.as_bytes()).ok())
}

fn parse_optional<T>(fields: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    field_text(fields, name).and_then(|text| text.parse().ok())
}

fn parse_required<T>(fields: &HeaderMap, name: &HeaderName) -> Result<T, ErrorAnswer>
where
    T: std::str::FromStr,
{
    parse_optional(fields, name).ok_or_else(|| {
        ErrorAnswer::new(ErrorKind::MalformedRequest, format!("a peer sent no readable field {name}"))
    })
}

/// Returns who makes a call according to its fields.
fn call_origin(fields: &HeaderMap) -> CallOrigin {
    let is_nested = field_text(fields, &headers::NESTED) == Some("true");
    if is_nested { CallOrigin::Upstream } else { CallOrigin::Caller }
}
