//! The upstream stand-in: limited slots, random service times and a log of executed calls.

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
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use yuccatray::protocol::headers;
use yuccatray::transport::announce_server::Announcement;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;

/// Path of the load endpoint.
pub const LOAD_PATH: &str = "/load";

/// Time that the load endpoint takes to answer.
const LOAD_REPORT_DELAY: Duration = Duration::from_millis(6);
/// Interval at which the upstream renews its announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the random factor on the mean service time, before the slowdown.
const MAX_SERVICE_TIME_FACTOR: f64 = 8.0;

/// Current behaviour of an upstream stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamBehaviour {
    /// Mean service time, in microseconds; 0 for calls that take no time.
    ///
    /// Service times follow an Erlang distribution with `service_stages` stages, cut off at 8 times the mean.
    pub mean_service_us: u64,
    /// Factor on every service time.
    pub slowdown: f64,
    /// Number of exponential stages of a service time: 1 is an exponential distribution, more vary less.
    pub service_stages: u32,
    /// Whether calls are answered with 500 at once, without execution.
    pub fail_fast: bool,
    /// Number of calls that the load endpoint reports in addition to the running ones.
    pub claimed_extra: u32,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self { mean_service_us: 2_000, slowdown: 1.0, service_stages: 1, fail_fast: false, claimed_extra: 0 }
    }
}

/// Execution of a call at the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Identity of the call that the gate sent; empty without one.
    pub call: String,
    /// Path and query of the request.
    pub target: String,
    /// Size of the request body, in bytes.
    pub body_bytes: u64,
}

#[derive(Debug)]
struct Shared {
    slots: Semaphore,
    slot_count: usize,
    behaviour: Mutex<UpstreamBehaviour>,
    rng: Mutex<Pcg64Mcg>,
    executions: Mutex<Vec<Execution>>,
}

/// Handle to an upstream stand-in, shared by its clones.
#[derive(Clone, Debug)]
pub struct UpstreamStandin {
    shared: Arc<Shared>,
}

/// A listening upstream stand-in, which stops when dropped.
#[derive(Debug)]
pub struct RunningUpstream {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Handle to change the behaviour and to read the executions.
    pub standin: UpstreamStandin,
    draining: Arc<AtomicBool>,
    stop: CancellationToken,
}

impl Drop for RunningUpstream {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl UpstreamStandin {
    /// Creates an upstream with a number of slots; the seed determines its service times.
    #[must_use]
    pub fn new(slots: u32, behaviour: UpstreamBehaviour, seed: u64) -> Self {
        let shared = Shared {
            slots: Semaphore::new(slots as usize),
            slot_count: slots as usize,
            behaviour: Mutex::new(behaviour),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            executions: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Starts to listen on `addr`.
    ///
    /// # Errors
    ///
    /// When it can't listen on the address.
    pub async fn start(self, addr: SocketAddr) -> std::io::Result<RunningUpstream> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
        tokio::spawn(serve(listener, limits, self.clone(), stop.clone()));
        Ok(RunningUpstream { addr, standin: self, draining: Arc::default(), stop })
    }

    /// Replaces the behaviour; calls that were already received keep the previous one.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        *self.shared.behaviour.lock() = behaviour;
    }

    /// Returns the number of slots that no call occupies.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        self.shared.slots.available_permits()
    }

    /// Returns all executions so far, oldest first.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions.lock().clone()
    }

    fn draw_service_time(&self, behaviour: &UpstreamBehaviour) -> Duration {
        let stages = behaviour.service_stages.max(1);
        let mut rng = self.shared.rng.lock();
        let total: f64 = (0..stages).map(|_| -rng.random_range(f64::EPSILON..1.0).ln()).sum();
        let factor = (total / f64::from(stages)).min(MAX_SERVICE_TIME_FACTOR) * behaviour.slowdown;
        Duration::from_micros(behaviour.mean_service_us).mul_f64(factor)
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let call = request.headers().get(headers::CALL).and_then(|value| value.to_str().ok());
        let call = call.unwrap_or_default().to_owned();
        let target = request.uri().to_string();
        let Ok(body) = request.into_body().collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "unreadable body\n".to_owned());
        };
        let body = body.to_bytes();
        let behaviour = self.shared.behaviour.lock().clone();
        if behaviour.fail_fast {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "failing fast\n".to_owned());
        }
        let Ok(_slot) = self.shared.slots.acquire().await else {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "stopped\n".to_owned());
        };
        let execution = Execution { call, target, body_bytes: body.len() as u64 };
        self.shared.executions.lock().push(execution.clone());
        if behaviour.mean_service_us > 0 {
            tokio::time::sleep(self.draw_service_time(&behaviour)).await;
        }
        let echo = serde_json::to_string(&execution).unwrap_or_default();
        let mut response = text_response(StatusCode::OK, echo);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }

    async fn answer_load_request(&self) -> Response<Full<Bytes>> {
        tokio::time::sleep(LOAD_REPORT_DELAY).await;
        let running = self.shared.slot_count - self.shared.slots.available_permits();
        let reported = running + self.shared.behaviour.lock().claimed_extra as usize;
        text_response(StatusCode::OK, format!("{{\"running\": {reported}}}"))
    }

    async fn handle_control_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/control/executions") => {
                text_response(StatusCode::OK, serde_json::to_string(&self.executions()).unwrap_or_default())
            }
            (Method::PUT, "/control/behaviour") => {
                let Ok(body) = request.into_body().collect().await else {
                    return text_response(StatusCode::BAD_REQUEST, "unreadable body\n".to_owned());
                };
                match serde_json::from_slice(&body.to_bytes()) {
                    Ok(behaviour) => {
                        self.set_behaviour(behaviour);
                        text_response(StatusCode::NO_CONTENT, String::new())
                    }
                    Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
                }
            }
            _ => text_response(
                StatusCode::NOT_FOUND,
                "GET /control/executions or PUT /control/behaviour\n".to_owned(),
            ),
        }
    }
}

impl Handler for UpstreamStandin {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<Full<Bytes>> {
        if request.uri().path().starts_with("/control/") {
            return self.handle_control_request(request).await;
        }
        if request.uri().path() == LOAD_PATH {
            return self.answer_load_request().await;
        }
        self.execute(request).await
    }
}

impl RunningUpstream {
    /// Sets whether the upstream is announced as draining, from the next renewal on.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Announces the upstream to its node and renews the announcement until dropped.
    pub fn announce(&self, node: SocketAddr, service: &str, slots: u32) {
        let mut announcement =
            Announcement { service: Arc::from(service), addr: self.addr, slots, draining: false };
        let stop = self.stop.clone();
        let draining = Arc::clone(&self.draining);
        tokio::spawn(async move {
            loop {
                announcement.draining = draining.load(Ordering::Relaxed);
                if let Err(error) = send_announcement(node, &announcement).await {
                    log::debug!("cannot announce the upstream; node={node} error={error}");
                }
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(ANNOUNCE_INTERVAL) => {}
                }
            }
        });
    }
}

/// Sends one announcement to a node.
///
/// # Errors
///
/// When the node can't be reached or rejects the announcement.
pub async fn send_announcement(node: SocketAddr, announcement: &Announcement) -> std::io::Result<()> {
    let body = serde_json::to_vec(announcement)?;
    let request = Request::builder()
        .method(Method::PUT)
        .uri("/v1/upstream")
        .header(HOST, node.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(std::io::Error::other)?;
    let stream = TcpStream::connect(node).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(std::io::Error::other);
    let status = response.map(|response| response.status());
    driver.abort();
    match status? {
        StatusCode::NO_CONTENT => Ok(()),
        status => Err(std::io::Error::other(format!("the node answered {status}"))),
    }
}

fn text_response(status: StatusCode, message: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(message)));
    *response.status_mut() = status;
    response
}
