//! Nodes in one process over real sockets, with relays that break connections between them.

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
use yuccatray_standin::upstream::put_announcement;

use crate::daemon_process::loopback_settings;
use crate::fault_relay::FaultRelay;
use crate::history::CallSeen;
use crate::history::Outcome;
use crate::http_call::exchange;
use crate::logging_upstream::ANSWER_BYTES;
use crate::logging_upstream::LoggingUpstream;
use crate::logging_upstream::RunLog;
use crate::logging_upstream::Ticker;
use crate::logging_upstream::WORK_MS;
use crate::logging_upstream::answer_to;

/// The only service of a test fleet.
pub const SERVICE: &str = "deposits";

const POLL: Duration = Duration::from_millis(20);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);
const SLOTS: u32 = 4;

/// A node, perhaps with an upstream, and the relays in front of both.
#[derive(Debug)]
pub struct TestMember {
    /// The node.
    pub node: Node,
    /// Stands between this node and the others.
    pub peer_relay: FaultRelay,
    /// Stands between this node and its upstream.
    pub upstream_relay: FaultRelay,
    /// The upstream, if the node has one.
    pub upstream: Option<LoggingUpstream>,
    announcing: Option<JoinHandle<()>>,
}

/// A fleet with one service.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform's stand-in.
    pub platform: RunningPlatform,
    /// The nodes; the first one has no upstream.
    pub members: Vec<TestMember>,
    /// What the upstreams executed.
    pub log: RunLog,
    /// Orders what callers and upstreams saw.
    pub ticker: Ticker,
    started: usize,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct TestCall {
    /// Unique body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time that the upstream works on it, in milliseconds.
    pub work_ms: u64,
    /// Size of the answer, in bytes.
    pub answer_bytes: usize,
    /// Time that the call has, in milliseconds.
    pub timeout_ms: u64,
    /// The caller's idempotency key.
    pub key: Option<String>,
}

impl TestCall {
    /// A call that may run only once, answered at once and briefly.
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

/// Has the node at `addr` issue an idempotency key for one call.
///
/// # Panics
///
/// When it issues none.
pub async fn issue_key(addr: SocketAddr) -> String {
    let request = Request::post("/")
        .header(headers::SERVICE, SERVICE)
        .header(headers::TICKET, "issue")
        .body(Bytes::new())
        .expect("the request is valid");
    let answer = exchange(addr, request).await;
    let key = answer.headers().get(headers::IDEMPOTENCY_KEY).expect("the node issues a key");
    key.to_str().expect("a key is text").to_owned()
}

/// Sends a call to the node at `addr` and reads its answer to the end.
pub async fn call(addr: SocketAddr, call: &TestCall, ticker: &Ticker) -> CallSeen {
    call_over(&mut None, addr, call, ticker).await
}

/// A connection of a caller that is kept for its next call.
pub type KeptConnection = Option<http1::SendRequest<Full<Bytes>>>;

/// Sends a call over the kept connection, or over a new one that is kept if it can be.
pub async fn call_over(
    kept: &mut KeptConnection,
    addr: SocketAddr,
    call: &TestCall,
    ticker: &Ticker,
) -> CallSeen {
    let sent = ticker.tick();
    let outcome = outcome_of(kept, addr, call).await;
    CallSeen {
        request: call.body.clone(),
        right_answer: answer_to(&call.body, call.answer_bytes),
        idempotent: call.idempotent,
        may_break: false,
        sent,
        ended: ticker.tick(),
        outcome,
    }
}

async fn outcome_of(kept: &mut KeptConnection, addr: SocketAddr, call: &TestCall) -> Outcome {
    let mut sender = match kept.take().filter(|kept| !kept.is_closed()) {
        Some(sender) => sender,
        None => match connect(addr).await {
            Ok(sender) => sender,
            Err(outcome) => return outcome,
        },
    };
    let response = match sender.send_request(call.request(addr)).await {
        Ok(response) => response,
        Err(error) => return Outcome::Broken(error.to_string()),
    };
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Outcome::CutShort(error.to_string()),
    };
    *kept = Some(sender);
    let field = |name| head.headers.get(name).and_then(|value: &http::HeaderValue| value.to_str().ok());
    match (field(&headers::ERROR), field(&headers::EXECUTION)) {
        (None, _) => Outcome::Answered(body),
        (Some(kind), Some("not_executed")) => Outcome::NotExecuted(kind.to_owned()),
        (Some(kind), _) => Outcome::Unknown(kind.to_owned()),
    }
}

async fn connect(addr: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>, Outcome> {
    let stream = match TcpStream::connect(addr).await {
        Ok(stream) => stream,
        Err(error) => return Err(Outcome::NotExecuted(format!("cannot connect: {error}"))),
    };
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| Outcome::Broken(error.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

impl TestFleet {
    /// Starts a node without an upstream and `upstreams` nodes with one each.
    ///
    /// # Panics
    ///
    /// When a part does not start.
    pub async fn start(upstreams: usize) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform listens");
        declare(&platform).await;
        let mut fleet = Self {
            platform,
            members: Vec::new(),
            log: RunLog::default(),
            ticker: Ticker::default(),
            started: 0,
        };
        fleet.add(false).await;
        for _ in 0..upstreams {
            fleet.add(true).await;
        }
        fleet.wait_ready().await;
        fleet
    }

    /// Adds a node and, if asked, an upstream beside it.
    ///
    /// # Panics
    ///
    /// When it does not start.
    pub async fn add(&mut self, with_upstream: bool) {
        let peer_relay = FaultRelay::start().await;
        let upstream_relay = FaultRelay::start().await;
        let seeds: Vec<SocketAddr> = self.members.iter().map(|member| member.peer_relay.addr).collect();
        let name = format!("vm-{}", self.started);
        self.started += 1;
        let mut settings = loopback_settings(&name, "a", self.platform.addr, &seeds);
        settings["listen"]["advertised_peer_addr"] = json!(peer_relay.addr);
        settings["gossip"] = json!({ "interval_ms": 50 });
        let settings = Settings::parse(&settings.to_string()).expect("the settings are good");
        let node = Node::start(&settings).await.expect("the node starts");
        peer_relay.connect_to(node.addrs().peer);
        let mut member = TestMember { node, peer_relay, upstream_relay, upstream: None, announcing: None };
        if with_upstream {
            let upstream = LoggingUpstream::start(self.log.clone(), self.ticker.clone()).await;
            member.upstream_relay.connect_to(upstream.addr);
            member.announcing =
                Some(tokio::spawn(announce_always(member.node.addrs().announce, member.upstream_relay.addr)));
            member.upstream = Some(upstream);
        }
        self.members.push(member);
    }

    /// Waits until every node has the configuration and knows every upstream.
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

    /// Waits until no gate has a call running or waiting.
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

    /// Where callers reach the node at that position.
    #[must_use]
    pub fn ingress(&self, index: usize) -> SocketAddr {
        self.members[index % self.members.len()].node.addrs().ingress
    }
}

impl TestMember {
    /// What the node says of itself.
    ///
    /// # Panics
    ///
    /// When it gives no readable answer.
    pub async fn report(&self) -> NodeReport {
        node_report(self.node.addrs().admin).await
    }

    /// The counter of the node with that name and label, 0 when it was never raised.
    ///
    /// # Panics
    ///
    /// When the metrics can't be read.
    pub async fn count(&self, counter: &str, reason: &str) -> u64 {
        let request = Request::get("/metrics").body(Bytes::new()).expect("the request is valid");
        let answer = exchange(self.node.addrs().admin, request).await;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let start = format!("yuccatray_{counter}_total{{reason=\"{reason}\"}} ");
        let value = text.lines().find_map(|line| line.strip_prefix(&start));
        value.map_or(0, |value| value.parse().expect("a counter is a whole number"))
    }

    /// Stops the node gracefully while its upstream goes on to announce itself.
    pub async fn stop(self) -> Shutdown {
        let shutdown = self.node.stop().await;
        if let Some(announcing) = &self.announcing {
            announcing.abort();
        }
        shutdown
    }
}

async fn announce_always(node: SocketAddr, upstream: SocketAddr) {
    let announcement =
        Announcement { service: Arc::from(SERVICE), addr: upstream, slots: SLOTS, draining: false };
    loop {
        // A node that has just stopped refuses, which is no fault.
        let _announced = put_announcement(node, &announcement).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// What the node with that address for operators says of itself.
///
/// # Panics
///
/// When it gives no readable answer.
pub async fn node_report(admin: SocketAddr) -> NodeReport {
    let request = Request::get("/v1/node").body(Bytes::new()).expect("the request is valid");
    let answer = exchange(admin, request).await;
    serde_json::from_slice(answer.body()).expect("the report is JSON")
}

/// Declares the service of a test fleet.
///
/// # Panics
///
/// When the platform refuses.
pub async fn declare(platform: &RunningPlatform) {
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
        api.put(kind, name, &value, Precondition::Absent).await.expect("the object is new");
    }
}
