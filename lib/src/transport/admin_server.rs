//! HTTP handler of a node's admin port: health, metrics, reports, and draining of its upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::burn::BurnReport;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::explain::EXPLAIN_PATH;
use crate::protocol::explain::ExplainRequest;
use crate::protocol::explain::Explanation;
use crate::protocol::explain::MAX_EXPLAIN_BYTES;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::trace::TraceReport;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::state::directory::Directory;
use crate::state::metrics::SharedMetrics;
use crate::transport::announce_server::UpstreamRegistration;
use crate::transport::explainer::Explainer;
use crate::transport::gate::Gate;
use crate::transport::http_server::Handler;
use crate::transport::ingress;

/// Path whose PUT drains the node's upstream and whose DELETE ends the draining.
pub const DRAINING_PATH: &str = "/v1/draining";

/// Maximum time to receive the description of a request to explain.
const EXPLAIN_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Report of a node on itself and on the members that it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub name: Arc<str>,
    /// Calls that occupy a slot of its upstream.
    pub running: u32,
    /// Calls queued at its gate.
    pub queued: u32,
    /// Slots that its gate grants at present.
    pub limit: u32,
    /// Whether it drains its upstream, by order of an operator or since it stops.
    pub draining: bool,
    /// Applied configuration revision, by service.
    pub revisions: IndexMap<Arc<str>, u64>,
    /// Members that it knows.
    pub members: Vec<MemberReport>,
    /// Zones that operators have evacuated.
    #[serde(default)]
    pub evacuations: Vec<EvacuationReport>,
}

/// Evacuation of a zone as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Time at which a node first read the entry, in milliseconds since 1970 by that node's clock.
    pub since_unix_ms: u64,
    /// Calls of the reporting node's callers that still run at upstreams of the zone.
    pub running_calls: u32,
}

/// A member as recorded in a node's directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its membership state, as named by [`state_name`].
    pub state: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Address at which it accepts calls.
    pub ingress_addr: SocketAddr,
    /// Address of its admin port.
    pub admin_addr: SocketAddr,
    /// Service of its upstream, if it has one.
    pub service: Option<Arc<str>>,
    /// Slots of its upstream; 0 without an upstream.
    pub slots: u32,
    /// Whether its upstream accepts no new calls.
    pub draining: bool,
}

/// Handler of requests to the admin port.
#[derive(Clone, Debug)]
pub struct AdminHandler<E> {
    /// Explains where requests would go.
    pub explainer: E,
    /// This node, with the incarnation that it started with.
    pub local_member: Member,
    /// Members and their upstreams.
    pub directory: Arc<Directory>,
    /// Applied configurations.
    pub config: Arc<ConfigTable>,
    /// The node's gate.
    pub gate: Arc<Gate>,
    /// Registration of the node's upstream, through which it is drained.
    pub registration: Arc<UpstreamRegistration>,
    /// Whether the node is shutting down.
    pub stopping: Arc<AtomicBool>,
    /// Metrics of the node.
    pub metrics: SharedMetrics,
    /// Calls counted against their latency objectives.
    pub burn: Arc<BurnCounts>,
    /// The latest decisions on calls, for traces.
    pub decisions: Arc<DecisionLog>,
}

impl<E> AdminHandler<E> {
    fn report(&self) -> NodeReport {
        let load = self.gate.load();
        let snapshot = self.directory.snapshot();
        let members = snapshot.entries().map(|entry| {
            let member = &entry.member;
            MemberReport {
                name: Arc::clone(&member.id.name),
                incarnation: member.id.incarnation,
                state: Arc::from(state_name(member.state)),
                region: Arc::clone(&member.region),
                zone: Arc::clone(&member.zone),
                ingress_addr: member.ingress_addr,
                admin_addr: member.admin_addr,
                service: member.upstream.as_ref().map(|upstream| Arc::clone(&upstream.service)),
                slots: member.upstream.as_ref().map_or(0, |upstream| upstream.slots),
                draining: member.upstream.as_ref().is_some_and(|upstream| upstream.draining),
            }
        });
        let config = self.config.snapshot();
        NodeReport {
            name: Arc::clone(&self.local_member.id.name),
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            draining: self.registration.is_draining(),
            revisions: config
                .iter()
                .map(|(name, published)| (Arc::clone(name), published.revision))
                .collect(),
            members: members.collect(),
            evacuations: self.evacuation_reports(),
        }
    }

    /// Returns the evacuated zones, and how many calls of this node still run there.
    fn evacuation_reports(&self) -> Vec<EvacuationReport> {
        let evacuations = self.config.evacuations().unwrap_or_default();
        let snapshot = self.directory.snapshot();
        let now = Instant::now();
        let running_calls = |zone: &str| {
            let entries = snapshot.entries().filter(|entry| *entry.member.zone == *zone);
            entries.map(|entry| entry.stats.load(now).in_flight).sum()
        };
        let reports = evacuations.zones.iter().map(|evacuation| EvacuationReport {
            zone: Arc::clone(&evacuation.zone),
            since_unix_ms: evacuation.since_unix_ms,
            running_calls: running_calls(&evacuation.zone),
        });
        reports.collect()
    }

    /// Returns all metrics, with the gauges of the evacuated zones as of now.
    fn encode_metrics(&self) -> String {
        let reports = self.evacuation_reports();
        let running_calls: i64 = reports.iter().map(|report| i64::from(report.running_calls)).sum();
        let gauges = &self.metrics.evacuation;
        gauges.zones.set(i64::try_from(reports.len()).unwrap_or(i64::MAX));
        gauges.own_zone.set(i64::from(self.gate.is_zone_evacuated()));
        gauges.running_calls.set(running_calls);
        self.metrics.encode()
    }
}

impl<E> AdminHandler<E> {
    fn burn_report(&self, service: Option<&str>) -> BurnReport {
        let now = Instant::now();
        let uptime_ms = self.burn.uptime(now).as_millis();
        BurnReport {
            node: Arc::clone(&self.local_member.id.name),
            incarnation: self.local_member.id.incarnation,
            region: Arc::clone(&self.local_member.region),
            zone: Arc::clone(&self.local_member.zone),
            uptime_ms: u64::try_from(uptime_ms).unwrap_or(u64::MAX),
            rows: self.burn.rows(service, &self.config.snapshot(), now),
        }
    }

    /// Returns the reason why callers should use another node, or `None` when this one is ready.
    fn unready_reason(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("stopping");
        }
        let snapshot = self.directory.snapshot();
        let local_member = snapshot.by_name(&self.local_member.id.name);
        if local_member.is_some_and(|entry| entry.member.state == MemberState::Leaving) {
            return Some("stopping");
        }
        (!self.config.is_configured()).then_some("no configuration yet")
    }

    fn trace(&self, call: Option<&str>) -> Response<Full<Bytes>> {
        match call.map(str::parse::<CallId>) {
            Some(Ok(call)) => json(&self.trace_report(&call)),
            Some(Err(error)) => answer(StatusCode::BAD_REQUEST, "text/plain", format!("{error}\n")),
            None => answer(StatusCode::BAD_REQUEST, "text/plain", "no call named\n".to_owned()),
        }
    }

    /// Returns the recorded decisions on a call, with the time span that the log covers.
    fn trace_report(&self, call: &CallId) -> TraceReport {
        let remembered_ms = self.decisions.retention(call, Instant::now()).as_millis();
        TraceReport {
            node: Arc::clone(&self.local_member.id.name),
            incarnation: self.local_member.id.incarnation,
            remembered_ms: u64::try_from(remembered_ms).unwrap_or(u64::MAX),
            decisions: self.decisions.decisions(call),
        }
    }
}

impl<E> AdminHandler<E>
where
    E: Explainer,
{
    /// Explains the request that the body describes.
    ///
    /// Errors quote nothing of the body, since it may hold a key.
    async fn explain(&self, body: Incoming) -> Response<Full<Bytes>> {
        let received =
            tokio::time::timeout(EXPLAIN_BODY_TIMEOUT, Limited::new(body, MAX_EXPLAIN_BYTES).collect());
        let explanation = match received.await {
            Ok(Ok(body)) => self.explain_description(&body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                let message = format!("the description is larger than {MAX_EXPLAIN_BYTES} bytes");
                Err(ErrorAnswer::new(ErrorKind::BodyTooLarge, message))
            }
            Ok(Err(_)) | Err(_) => {
                Err(ErrorAnswer::new(ErrorKind::MalformedRequest, "the description did not arrive whole"))
            }
        };
        match explanation {
            Ok(explanation) => json(&explanation),
            Err(error) => error.into_response(None).map(Full::new),
        }
    }

    fn explain_description(&self, body: &[u8]) -> ingress::Result<Explanation> {
        let description = serde_json::from_slice::<ExplainRequest>(body).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            let message = format!("the description is not readable at line {line}, column {column}");
            ErrorAnswer::new(ErrorKind::MalformedRequest, message)
        })?;
        self.explainer.explain(&description)
    }
}

impl<E> Handler for AdminHandler<E>
where
    E: Explainer,
{
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => answer(StatusCode::OK, "text/plain", "alive\n".to_owned()),
            (&Method::GET, "/readyz" | "/ready") => match self.unready_reason() {
                None => answer(StatusCode::OK, "text/plain", "ready\n".to_owned()),
                Some(reason) => answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", format!("{reason}\n")),
            },
            (&Method::GET, "/metrics") => answer(
                StatusCode::OK,
                "application/openmetrics-text; version=1.0.0; charset=utf-8",
                self.encode_metrics(),
            ),
            (&Method::GET, "/v1/node") => json(&self.report()),
            (&Method::GET, "/v1/burn") => json(&self.burn_report(query_parameter(request.uri(), "service"))),
            (&Method::GET, "/v1/trace") => self.trace(query_parameter(request.uri(), "call")),
            (&Method::POST, EXPLAIN_PATH) => self.explain(request.into_body()).await,
            (&Method::PUT, DRAINING_PATH) => {
                self.registration.drain();
                json(&self.report())
            }
            (&Method::DELETE, DRAINING_PATH) => {
                self.registration.end_draining();
                json(&self.report())
            }
            _ => answer(
                StatusCode::NOT_FOUND,
                "text/plain",
                "GET /livez, /readyz, /metrics, /v1/node, /v1/burn or /v1/trace; POST /v1/explain; PUT or DELETE /v1/draining\n"
                    .to_owned(),
            ),
        }
    }
}

/// Returns the name of a member's state in reports.
#[must_use]
pub const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}

fn json<T>(report: &T) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    match serde_json::to_string(report) {
        Ok(text) => answer(StatusCode::OK, "application/json", text),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", format!("{error}\n")),
    }
}

/// Returns the value of a query parameter.
///
/// The value is not percent-decoded: names of services and calls contain no escaped characters.
fn query_parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

fn answer(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
