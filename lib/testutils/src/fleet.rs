//! A fleet of nodes in one process over real sockets, with fault relays on their connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use yuccatray::node::Node;
use yuccatray::node::Shutdown;
use yuccatray::protocol::headers;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray::transport::announce_server::Announcement;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::send_announcement;

use crate::call_history::CallOutcome;
use crate::call_history::CallRecord;
use crate::daemon_process::loopback_settings;
use crate::fault_relay::FaultRelay;
use crate::http_client::send_request;
use crate::logging_upstream::ANSWER_BYTES;
use crate::logging_upstream::ExecutionLog;
use crate::logging_upstream::LoggingUpstream;
use crate::logging_upstream::LogicalClock;
use crate::logging_upstream::WORK_MS;
use crate::logging_upstream::expected_answer_to;

/// The only service of a test fleet.
pub const SERVICE: &str = "deposits";

/// Interval at which the reports of nodes are read while waiting.
const POLL: Duration = Duration::from_millis(20);
/// Interval at which upstreams repeat their announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);
/// Slots that each upstream announces.
const SLOTS: u32 = 4;

/// A node, its optional upstream, and the relays in front of both.
#[derive(Debug)]
pub struct TestMember {
    /// The node.
    pub node: Node,
    /// Relays connections of the other nodes to this node.
    pub peer_relay: FaultRelay,
    /// Relays connections of this node to its upstream.
    pub upstream_relay: FaultRelay,
    /// The upstream, if the node has one.
    pub upstream: Option<LoggingUpstream>,
    announce_task: Option<JoinHandle<()>>,
}

/// A fleet with one service.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform stand-in.
    pub platform: RunningPlatform,
    /// The nodes; the first one has no upstream.
    pub members: Vec<TestMember>,
    /// Executions at all upstreams.
    pub log: ExecutionLog,
    /// Logical clock that orders the events of callers and upstreams.
    pub clock: LogicalClock,
    /// Number of nodes started so far, which numbers their names.
    nodes_started: usize,
}

/// A call that a caller sends.
#[derive(Clone, Debug)]
pub struct TestCall {
    /// Body, unique to the call.
    pub body: Bytes,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Time that the upstream takes to execute the call, in milliseconds.
    pub work_ms: u64,
    /// Minimum size of the answer, in bytes.
    pub answer_bytes: usize,
    /// Timeout that the caller sends with the call, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key that the caller sends, if any.
    pub key: Option<String>,
}

impl TestCall {
    /// Returns a call that is not idempotent, takes no time to execute and has a short answer.
    pub fn new(body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            idempotent: false,
            work_ms: 0,
            answer_bytes: 0,
            timeout_ms: 10_000,
            key: None,
        }
    }

    fn request(&self, addr: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(if self.idempotent { Method::GET } else { Method::POST })
            .uri("/")
            .header(HOST, addr.to_string())
            .header(headers::SERVICE, SERVICE)
            .header(headers::TIMEOUT_MS, self.timeout_ms)
            .header(WORK_MS, self.work_ms)
            .header(ANSWER_BYTES, self.answer_bytes);
        if let Some(key) = &self.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        request.body(Full::new(self.body.clone())).expect("the request is valid")
    }
}

/// Requests an idempotency key for one call from the node at `addr`.
///
/// # Panics
///
/// When the node does not issue a key.
pub async fn issue_key(addr: SocketAddr) -> String {
    let request = Request::post("/")
        .header(headers::SERVICE, SERVICE)
        .header(headers::ISSUE_KEY, "issue")
        .body(Bytes::new())
        .expect("the request is valid");
    let answer = send_request(addr, request).await;
    let key = answer.headers().get(headers::IDEMPOTENCY_KEY).expect("the node issues a key");
    key.to_str().expect("a key is text").to_owned()
}

/// Sends a call to the node at `addr` over a new connection and reads the whole answer.
pub async fn call(addr: SocketAddr, call: &TestCall, clock: &LogicalClock) -> CallRecord {
    call_on_connection(&mut None, addr, call, clock).await
}

/// A persistent connection of a caller, or `None` before its first call.
pub type ReusedConnection = Option<http1::SendRequest<Full<Bytes>>>;

/// Sends a call over the persistent connection and reads the whole answer.
///
/// A new connection is opened when there is none or it is closed; it is kept if the answer is read whole.
pub async fn call_on_connection(
    reused_connection: &mut ReusedConnection,
    addr: SocketAddr,
    call: &TestCall,
    clock: &LogicalClock,
) -> CallRecord {
    let sent = clock.tick();
    let outcome = send_and_read(reused_connection, addr, call).await;
    CallRecord {
        request: call.body.clone(),
        expected_answer: expected_answer_to(&call.body, call.answer_bytes),
        idempotent: call.idempotent,
        may_disconnect: false,
        sent,
        ended: clock.tick(),
        outcome,
    }
}

/// Sends a call, reads its answer and classifies the outcome.
async fn send_and_read(
    reused_connection: &mut ReusedConnection,
    addr: SocketAddr,
    call: &TestCall,
) -> CallOutcome {
    let mut sender = match reused_connection.take().filter(|reused_connection| !reused_connection.is_closed())
    {
        Some(sender) => sender,
        None => match connect(addr).await {
            Ok(sender) => sender,
            Err(outcome) => return outcome,
        },
    };
    let response = match sender.send_request(call.request(addr)).await {
        Ok(response) => response,
        Err(error) => return CallOutcome::Disconnected(error.to_string()),
    };
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return CallOutcome::Truncated(error.to_string()),
    };
    *reused_connection = Some(sender);
    let field = |name| head.headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    match (field(&headers::ERROR), field(&headers::EXECUTION)) {
        (None, _) => CallOutcome::Answered(body),
        (Some(kind), Some("not_executed")) => CallOutcome::NotExecuted(kind.to_owned()),
        (Some(kind), _) => CallOutcome::Unknown(kind.to_owned()),
    }
}

async fn connect(addr: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>, CallOutcome> {
    let stream = match TcpStream::connect(addr).await {
        Ok(stream) => stream,
        Err(error) => return Err(CallOutcome::NotExecuted(format!("cannot connect: {error}"))),
    };
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| CallOutcome::Disconnected(error.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

impl TestFleet {
    /// Starts a node without an upstream and `upstreams` nodes with one each.
    ///
    /// # Panics
    ///
    /// When the platform or a node does not start.
    pub async fn start(upstreams: usize) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform listens");
        create_objects(&platform).await;
        let mut fleet = Self {
            platform,
            members: Vec::new(),
            log: ExecutionLog::default(),
            clock: LogicalClock::default(),
            nodes_started: 0,
        };
        fleet.add(false).await;
        for _ in 0..upstreams {
            fleet.add(true).await;
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Starts a node and, if `with_upstream` is set, an upstream that announces itself to the node.
    ///
    /// # Panics
    ///
    /// When the node does not start.
    pub async fn add(&mut self, with_upstream: bool) {
        let peer_relay = FaultRelay::start().await;
        let upstream_relay = FaultRelay::start().await;
        let seeds: Vec<SocketAddr> = self.members.iter().map(|member| member.peer_relay.addr).collect();
        let name = format!("vm-{}", self.nodes_started);
        self.nodes_started += 1;
        let mut settings = loopback_settings(&name, "a", self.platform.addr, &seeds);
        settings["listen"]["advertised_peer_addr"] = json!(peer_relay.addr);
        settings["gossip"] = json!({ "interval_ms": 50 });
        let settings = Settings::parse(&settings.to_string()).expect("the settings are valid");
        let node = Node::start(&settings).await.expect("the node starts");
        peer_relay.set_target(node.addrs().peer);
        let mut member = TestMember { node, peer_relay, upstream_relay, upstream: None, announce_task: None };
        if with_upstream {
            let upstream = LoggingUpstream::start(self.log.clone(), self.clock.clone()).await;
            member.upstream_relay.set_target(upstream.addr);
            member.announce_task = Some(tokio::spawn(announce_repeatedly(
                member.node.addrs().announce,
                member.upstream_relay.addr,
            )));
            member.upstream = Some(upstream);
        }
        self.members.push(member);
    }

    /// Waits until every node has the configuration and lists every upstream as alive and not draining.
    pub async fn wait_ready(&self) {
        let upstreams = self.members.iter().filter(|member| member.upstream.is_some()).count();
        for member in &self.members {
            loop {
                let report = member.report().await;
                let known = report.members.iter().filter(|known| known.service.is_some() && !known.draining);
                let known = known.filter(|known| &*known.state == "alive").count();
                if !report.revisions.is_empty() && known == upstreams {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }

    /// Waits until no gate has a running or queued call.
    pub async fn wait_idle(&self) {
        for member in &self.members {
            loop {
                let report = member.report().await;
                if report.running == 0 && report.queued == 0 {
                    break;
                }
                tokio::time::sleep(POLL).await;
            }
        }
    }

    /// Returns the ingress address of the member at `index`, modulo the number of members.
    #[must_use]
    pub fn ingress(&self, index: usize) -> SocketAddr {
        self.members[index % self.members.len()].node.addrs().ingress
    }
}

impl TestMember {
    /// Returns the node's report on itself.
    ///
    /// # Panics
    ///
    /// When the report can't be read.
    pub async fn report(&self) -> NodeReport {
        node_report(self.node.addrs().admin).await
    }

    /// Returns the value of the counter `counter` with the label `reason`, 0 if it was never incremented.
    ///
    /// # Panics
    ///
    /// When the metrics can't be read or the value is not a whole number.
    pub async fn counter_value(&self, counter: &str, reason: &str) -> u64 {
        let request = Request::get("/metrics").body(Bytes::new()).expect("the request is valid");
        let answer = send_request(self.node.addrs().admin, request).await;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let start = format!("yuccatray_{counter}_total{{reason=\"{reason}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value.map_or(0, |value| value.parse().expect("a counter is a whole number"))
    }

    /// Stops the node gracefully while its upstream keeps announcing itself.
    pub async fn stop(self) -> Shutdown {
        let shutdown = self.node.stop().await;
        if let Some(announce_task) = &self.announce_task {
            announce_task.abort();
        }
        shutdown
    }
}

/// Announces the upstream to the node at a fixed interval until the task is aborted.
async fn announce_repeatedly(node: SocketAddr, upstream: SocketAddr) {
    let announcement =
        Announcement { service: Arc::from(SERVICE), addr: upstream, slots: SLOTS, draining: false };
    loop {
        // The node may have stopped, which makes the announcement fail; the test does not depend on it.
        let _announced = send_announcement(node, &announcement).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Returns the report of the node whose admin address is `admin`.
///
/// # Panics
///
/// When the report can't be read.
pub async fn node_report(admin: SocketAddr) -> NodeReport {
    let request = Request::get("/v1/node").body(Bytes::new()).expect("the request is valid");
    let answer = send_request(admin, request).await;
    serde_json::from_slice(answer.body()).expect("the report is JSON")
}

/// Creates the platform objects of the service of a test fleet.
///
/// # Panics
///
/// When the platform rejects an object, for instance because it exists.
pub async fn create_objects(platform: &RunningPlatform) {
    let api = HttpPlatform::new(platform.addr, Duration::from_secs(2));
    let objects: [(ObjectKind, &str, Value); 3] = [
        (ObjectKind::PrioritySet, "one", json!({ "priorities": { "deposit": { "objective_ms": 1000 } } })),
        (ObjectKind::UpstreamRule, "workers", json!({ "announce_ttl_ms": 3_600_000, "ramp_ms": 0 })),
        (
            ObjectKind::Service,
            SERVICE,
            json!({
                "priority_set": "one", "upstream_rule": "workers", "default_priority": "deposit",
                "retry": { "max_attempts": 3, "budget_percent": 100 },
            }),
        ),
    ];
    for (kind, name, value) in objects {
        api.put(kind, name, &value, Precondition::Absent).await.expect("the object can be created");
    }
}
