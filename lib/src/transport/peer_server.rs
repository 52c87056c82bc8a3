//! What a node offers to the other nodes: its gate and control messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
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
use crate::state::call_records::CallState;
use crate::state::config_table::ConfigTable;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::GuardedBody;
use crate::transport::gate::Gate;
use crate::transport::gate::GateCall;
use crate::transport::gate::GateGuard;
use crate::transport::gossip::Gossip;
use crate::transport::http_server::Handler;

const CONTROL_PREFIX: &str = "/yuccatray.peer.v1.Peer/";

/// Body of an answer to a peer: control, an upstream's answer, or a refusal.
pub type PeerBody = Either<tonic::body::Body, Either<GuardedBody<CallBody, GateGuard>, Full<Bytes>>>;

/// Answers the other nodes.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    gate: Arc<Gate>,
    config: Arc<ConfigTable>,
    control: PeerServer<Control>,
}

impl PeerHandler {
    /// A handler over the node's gate and gossip.
    #[must_use]
    pub fn new(gate: Arc<Gate>, config: Arc<ConfigTable>, gossip: Arc<Gossip>) -> Self {
        let control = PeerServer::new(Control { gate: Arc::clone(&gate), gossip });
        Self { gate, config, control }
    }

    async fn call(&self, request: Request<Incoming>) -> Response<PeerBody> {
        let call = match self.read_call(request.headers()) {
            Ok(call) => call,
            Err(answer) => return refusal(answer, None),
        };
        let id = call.id.clone();
        match self.gate.call(call, request.map(CallBody::unlimited)).await {
            Ok(response) => response.map(|body| Either::Right(Either::Left(body))),
            Err(answer) => refusal(answer, Some(&id)),
        }
    }

    fn read_call(&self, fields: &HeaderMap) -> Result<GateCall, ErrorAnswer> {
        let id: CallId = parsed(fields, &headers::CALL)?;
        let timeout_ms = parsed(fields, &headers::TIMEOUT_MS)?;
        Ok(GateCall {
            id,
            priority: self.priority(fields),
            deadline: Instant::now() + Duration::from_millis(timeout_ms),
            patience: None,
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
    gate: Arc<Gate>,
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
        let complete = self.gossip.take_zone_report(request.get_ref());
        Ok(tonic::Response::new(wire::ZoneReportReply { complete }))
    }

    async fn resolve_call(
        &self,
        request: tonic::Request<wire::ResolveCallRequest>,
    ) -> Result<tonic::Response<wire::ResolveCallReply>, Status> {
        let call = request.into_inner().call.ok_or_else(|| Status::invalid_argument("no call named"))?;
        let id = CallId {
            node: Arc::from(call.node.as_str()),
            incarnation: call.incarnation,
            sequence: call.sequence,
        };
        let fate = match self.gate.resolve(&id) {
            CallState::Running => wire::CallFate::Running,
            CallState::Finished => wire::CallFate::Finished,
            CallState::Fenced => wire::CallFate::Fenced,
        };
        Ok(tonic::Response::new(wire::ResolveCallReply { fate: fate.into() }))
    }
}

fn refusal(answer: ErrorAnswer, call: Option<&CallId>) -> Response<PeerBody> {
    answer.into_response(call).map(|bytes| Either::Right(Either::Right(Full::new(bytes))))
}

fn parsed<T>(fields: &HeaderMap, name: &HeaderName) -> Result<T, ErrorAnswer>
where
    T: std::str::FromStr,
{
    let text = fields.get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or_else(|| {
        ErrorAnswer::new(ErrorKind::MalformedRequest, format!("a peer sent no readable field {name}"))
    })
}
