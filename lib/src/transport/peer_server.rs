//! What a node offers to the other nodes: its gate and control messages.

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
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::headers;
use crate::protocol::issued_key::IssuedKey;
use crate::protocol::member::MemberId;
use crate::protocol::resolve_request::ResolveRequest;
use crate::protocol::trace::Step;
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

const CONTROL_PREFIX: &str = "/yuccatray.peer.v1.Peer/";

/// Body of an answer to a peer: control, an upstream's answer, or a refusal.
pub type PeerBody = Either<tonic::body::Body, Either<GateBody, Full<Bytes>>>;

/// Answers the other nodes.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    gate: Arc<Gate>,
    config: Arc<ConfigTable>,
    decisions: Arc<DecisionLog>,
    gossip: Arc<Gossip>,
    name: Arc<str>,
    control: PeerServer<Control>,
}

impl PeerHandler {
    /// A handler over the node's gate and gossip.
    #[must_use]
    pub fn new(
        gate: Arc<Gate>,
        config: Arc<ConfigTable>,
        gossip: Arc<Gossip>,
        decisions: Arc<DecisionLog>,
    ) -> Self {
        let control = PeerServer::new(Control { gossip: Arc::clone(&gossip) });
        let name = Arc::clone(&gossip.local_member().id.name);
        Self { gate, config, decisions, gossip, name, control }
    }

    async fn call(&self, request: Request<Incoming>) -> Response<PeerBody> {
        if request.headers().contains_key(headers::RESOLVE) {
            return self.resolve(request.headers()).await;
        }
        let call = match self.read_call(request.headers()) {
            Ok(call) => call,
            Err(answer) => return refusal(answer, None),
        };
        let id = call.id.clone();
        self.decisions.record(&id, Step::Arrived, Instant::now());
        let result = self.gate.call(call, request.map(CallBody::unlimited)).await;
        self.decisions.record(&id, gate_step(&result), Instant::now());
        match result {
            Ok(response) => response.map(|body| Either::Right(Either::Left(body))),
            Err(answer) => refusal(answer, Some(&id)),
        }
    }

    /// Answers for a call that came over another connection.
    async fn resolve(&self, fields: &HeaderMap) -> Response<PeerBody> {
        let asked =
            parsed(fields, &headers::RESOLVE).and_then(|wish| Ok((parsed(fields, &headers::CALL)?, wish)));
        let (id, wish): (CallId, ResolveRequest) = match asked {
            Ok(asked) => asked,
            Err(answer) => return refusal(answer, None),
        };
        if wish == ResolveRequest::Cancel {
            self.gate.cancel(&id);
            return Response::new(Either::Right(Either::Right(Full::default())));
        }
        let gate: Result<MemberId, _> = parsed(fields, &headers::GATE);
        if !gate.is_ok_and(|gate| self.gossip.is_own_identity(&gate)) {
            let message = "another process than the one that the call was sent to";
            return refusal(ErrorAnswer::new(ErrorKind::OutcomeUnknown, message), Some(&id));
        }
        match self.gate.attach(&id).await {
            Ok(response) => response.map(|body| Either::Right(Either::Left(body))),
            Err(answer) => refusal(answer, Some(&id)),
        }
    }

    fn read_call(&self, fields: &HeaderMap) -> Result<GateCall, ErrorAnswer> {
        let id: CallId = parsed(fields, &headers::CALL)?;
        let gate: MemberId = parsed(fields, &headers::GATE)?;
        if gate.name != self.name {
            let message = format!("this is not the gate of {}", gate.name);
            return Err(ErrorAnswer::new(ErrorKind::NoUpstream, message));
        }
        let timeout_ms = parsed(fields, &headers::TIMEOUT_MS)?;
        Ok(GateCall {
            id,
            service: Arc::from(text(fields, &headers::SERVICE).unwrap_or_default()),
            priority: self.priority(fields),
            priority_name: Arc::from(text(fields, &headers::PRIORITY).unwrap_or_default()),
            repeated: text(fields, &headers::REPEAT) == Some("true"),
            caller: caller_key(text(fields, &headers::CALLER).unwrap_or_default()),
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            start_by: optional(fields, &headers::START_WITHIN_MS)
                .map(|within_ms| Instant::now() + Duration::from_millis(within_ms)),
            objective_at: optional(fields, &headers::OBJECTIVE_MS)
                .map(|left_ms| Instant::now() + Duration::from_millis(left_ms)),
            typical_time: optional(fields, &headers::TYPICAL_TIME_MS).map(Duration::from_millis),
            idempotent: parsed(fields, &headers::IDEMPOTENT)?,
            has_issued_key: IssuedKey::is_in(fields),
            max_gate_latency: optional(fields, &headers::MAX_GATE_LATENCY_US).map(Duration::from_micros),
        })
    }

    /// A priority that this node does not know yet goes last, whatever the sender meant.
    fn priority(&self, fields: &HeaderMap) -> u8 {
        let name = fields.get(headers::PRIORITY).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let service = fields.get(headers::SERVICE).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let published = self.config.get(service);
        let config = published.as_ref().and_then(|published| published.config.as_ref());
        let index = config.and_then(|config| config.priorities.priorities.get_index_of(name));
        index.and_then(|index| u8::try_from(index).ok()).unwrap_or(u8::MAX)
    }
}

fn gate_step(result: &Result<GateResponse, ErrorAnswer>) -> Step {
    match result {
        Ok(response) => Step::Passed { status: response.status().as_u16() },
        Err(answer) => Step::Refused { kind: answer.kind },
    }
}

impl Handler for PeerHandler {
    type Body = PeerBody;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<PeerBody> {
        if !request.uri().path().starts_with(CONTROL_PREFIX) {
            return self.call(request).await;
        }
        match self.control.clone().call(request).await {
            Ok(response) => response.map(Either::Left),
            Err(never) => match never {},
        }
    }
}

/// The generated service over this node's parts.
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

fn refusal(answer: ErrorAnswer, call: Option<&CallId>) -> Response<PeerBody> {
    let load = answer.load.and_then(|load| HeaderValue::from_str(&load.to_string()).ok());
    let mut response = answer.into_response(call);
    if let Some(load) = load {
        response.headers_mut().insert(headers::LOAD, load);
    }
    response.map(|bytes| Either::Right(Either::Right(Full::new(bytes))))
}

fn text<'a>(fields: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    fields.get(name).and_then(|value| value.to_str().ok())
}

fn optional<T>(fields: &HeaderMap, name: &HeaderName) -> Option<T>
where
    T: std::str::FromStr,
{
    text(fields, name).and_then(|text| text.parse().ok())
}

fn parsed<T>(fields: &HeaderMap, name: &HeaderName) -> Result<T, ErrorAnswer>
where
    T: std::str::FromStr,
{
    optional(fields, name).ok_or_else(|| {
        ErrorAnswer::new(ErrorKind::MalformedRequest, format!("a peer sent no readable field {name}"))
    })
}
