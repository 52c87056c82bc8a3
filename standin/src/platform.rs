//! The platform stand-in: an object API over HTTP and JSON that injects faults on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::IF_MATCH;
use http::header::IF_NONE_MATCH;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;

use crate::platform_store::PlatformStore;
use crate::platform_store::PreconditionFailed;

/// Time in which the requests in flight have to end when the stand-in stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1_048_576;
/// Time that a watch without `wait_ms` waits for changes, in milliseconds.
const DEFAULT_WATCH_WAIT_MS: u64 = 20_000;
/// Interval at which blocked requests check whether the stand-in is up again.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Faults that the stand-in currently injects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether requests are blocked, so that they get no answer and take no effect meanwhile.
    pub down: bool,
    /// Delay added to each request, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but get no answer.
    pub lose_answers: u32,
    /// Whether watches fail at once without returning changes.
    pub break_watches: bool,
    /// Maximum number of writes accepted per second; 0 for no limit.
    pub max_writes_per_second: u32,
    /// Maximum number of reads accepted per second, including watches; 0 for no limit.
    pub max_reads_per_second: u32,
}

/// Number of requests that the stand-in received, by kind; a waiting watch counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformRequestCounts {
    /// Reads of a single object.
    pub gets: u64,
    /// Lists of all objects of a kind.
    pub lists: u64,
    /// Watches of a kind.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Writes and deletes rejected because their precondition failed.
    pub conflicts: u64,
    /// Requests rejected because they exceeded the rate limit.
    pub throttled: u64,
}

/// Requests counted in the current second, for a rate limit.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    count: u32,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<PlatformStore>,
    /// Version of the store, which wakes waiting watches.
    version: watch::Sender<u64>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<PlatformRequestCounts>,
    read_window: Mutex<RateWindow>,
    write_window: Mutex<RateWindow>,
}

/// Handle to a platform stand-in, shared by its clones.
///
/// The server itself stops when its [`RunningPlatform`] is dropped.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    shared: Arc<Shared>,
}

/// A listening platform stand-in, which stops when dropped.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Handle to inject faults and to read the request counts.
    pub standin: PlatformStandin,
    stop: CancellationToken,
    server: JoinHandle<bool>,
}

impl RunningPlatform {
    /// Stops the stand-in and waits until it has closed its connections.
    pub async fn stop(mut self) {
        self.stop.cancel();
        // The panic of the server has already been printed to standard error.
        let _finished = (&mut self.server).await;
    }
}

impl Drop for RunningPlatform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Default for PlatformStandin {
    fn default() -> Self {
        let window = || Mutex::new(RateWindow { started: Instant::now(), count: 0 });
        let shared = Shared {
            store: Mutex::default(),
            version: watch::Sender::new(0),
            faults: Mutex::default(),
            counts: Mutex::default(),
            read_window: window(),
            write_window: window(),
        };
        Self { shared: Arc::new(shared) }
    }
}

impl PlatformStandin {
    /// Starts a stand-in that listens on `addr`.
    ///
    /// # Errors
    ///
    /// When it can't listen on the address.
    pub async fn start(addr: SocketAddr) -> std::io::Result<RunningPlatform> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let standin = Self::default();
        let stop = CancellationToken::new();
        let limits = ServerLimits { shutdown_timeout: STOP_TIMEOUT, ..ServerLimits::default() };
        let server = tokio::spawn(serve(listener, limits, standin.clone(), stop.clone()));
        Ok(RunningPlatform { addr, standin, stop, server })
    }

    /// Replaces the injected faults; the default injects none.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// Returns the number of requests received so far.
    #[must_use]
    pub fn counts(&self) -> PlatformRequestCounts {
        *self.shared.counts.lock()
    }

    async fn handle_object_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let kind = segments.get(2).and_then(|name| ObjectKind::from_name(name));
        let Some(kind) = kind else {
            return text_response(StatusCode::NOT_FOUND, "no such kind");
        };
        let method = request.method().clone();
        match (&method, segments.as_slice()) {
            (&Method::GET, ["v1", "watch", _]) => self.watch(kind, request.uri().query()).await,
            (&Method::GET, ["v1", "objects", _]) => self.list(kind),
            (&Method::GET, ["v1", "objects", _, name]) => self.get(kind, name),
            (&Method::PUT, ["v1", "objects", _, name]) => self.put(kind, name, request).await,
            (&Method::DELETE, ["v1", "objects", _, name]) => self.delete(kind, name, request.headers()),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        }
    }

    fn get(&self, kind: ObjectKind, name: &str) -> Response<Full<Bytes>> {
        self.shared.counts.lock().gets += 1;
        self.shared
            .store
            .lock()
            .get(kind, name)
            .map_or_else(|| text_response(StatusCode::NOT_FOUND, "no such object"), json_response)
    }

    fn list(&self, kind: ObjectKind) -> Response<Full<Bytes>> {
        self.shared.counts.lock().lists += 1;
        json_response(&self.shared.store.lock().list(kind))
    }

    async fn watch(&self, kind: ObjectKind, query: Option<&str>) -> Response<Full<Bytes>> {
        self.shared.counts.lock().watches += 1;
        let after = query_parameter(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_parameter(query, "wait_ms").unwrap_or(DEFAULT_WATCH_WAIT_MS));
        let deadline = Instant::now() + wait;
        let mut version = self.shared.version.subscribe();
        loop {
            let changes = self.shared.store.lock().changes_after(kind, after);
            let is_broken = self.shared.faults.lock().break_watches;
            if is_broken {
                return text_response(StatusCode::SERVICE_UNAVAILABLE, "the watch broke");
            }
            if !changes.changes.is_empty() || changes.expired || Instant::now() >= deadline {
                return json_response(&changes);
            }
            let _woken = tokio::time::timeout_at(deadline, version.changed()).await;
        }
    }

    async fn put(&self, kind: ObjectKind, name: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.shared.counts.lock().writes += 1;
        let precondition = match read_precondition(request.headers()) {
            Ok(precondition) => precondition,
            Err(response) => return *response,
        };
        let Ok(body) = Limited::new(request.into_body(), MAX_VALUE_BYTES).collect().await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "values hold at most 1 MiB");
        };
        let value = match serde_json::from_slice(&body.to_bytes()) {
            Ok(value) => value,
            Err(error) => return text_response(StatusCode::BAD_REQUEST, &format!("not JSON: {error}")),
        };
        let written = self.shared.store.lock().put(kind, name, value, precondition);
        match written {
            Ok(object) => {
                self.shared.version.send_replace(object.version);
                json_response(&object)
            }
            Err(failed) => self.conflict_response(&failed),
        }
    }

    fn delete(&self, kind: ObjectKind, name: &str, headers: &HeaderMap) -> Response<Full<Bytes>> {
        self.shared.counts.lock().writes += 1;
        let precondition = match read_precondition(headers) {
            Ok(precondition) => precondition,
            Err(response) => return *response,
        };
        let deleted = self.shared.store.lock().delete(kind, name, precondition);
        match deleted {
            Ok(true) => {
                self.shared.version.send_modify(|version| *version += 1);
                text_response(StatusCode::NO_CONTENT, "")
            }
            Ok(false) => text_response(StatusCode::NOT_FOUND, "no such object"),
            Err(failed) => self.conflict_response(&failed),
        }
    }

    fn conflict_response(&self, failed: &PreconditionFailed) -> Response<Full<Bytes>> {
        self.shared.counts.lock().conflicts += 1;
        let mut response = json_response(&failed.0);
        *response.status_mut() = StatusCode::PRECONDITION_FAILED;
        response
    }

    async fn handle_control_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/control/counts") => json_response(&self.counts()),
            (Method::PUT, "/control/faults") => {
                let Ok(body) = request.into_body().collect().await else {
                    return text_response(StatusCode::BAD_REQUEST, "unreadable body");
                };
                match serde_json::from_slice(&body.to_bytes()) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        text_response(StatusCode::NO_CONTENT, "")
                    }
                    Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            _ => text_response(StatusCode::NOT_FOUND, "GET /control/counts or PUT /control/faults"),
        }
    }

    /// Blocks a request while the stand-in is down, then applies the configured delay.
    async fn apply_outage_and_delay(&self) {
        while self.shared.faults.lock().down {
            tokio::time::sleep(DOWN_POLL_INTERVAL).await;
        }
        let delay_ms = self.shared.faults.lock().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Returns whether a request exceeds its rate limit, and counts it as throttled if so.
    fn is_throttled(&self, is_write: bool) -> bool {
        let faults = self.shared.faults.lock().clone();
        let (window, limit) = if is_write {
            (&self.shared.write_window, faults.max_writes_per_second)
        } else {
            (&self.shared.read_window, faults.max_reads_per_second)
        };
        let is_throttled = limit > 0 && !window.lock().try_count(limit);
        if is_throttled {
            self.shared.counts.lock().throttled += 1;
        }
        is_throttled
    }

    /// Returns whether the answer to this write must be lost, and decrements the number of answers to lose.
    fn consume_lost_answer(&self) -> bool {
        let mut faults = self.shared.faults.lock();
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }
}

impl Handler for PlatformStandin {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<Full<Bytes>> {
        if request.uri().path().starts_with("/control/") {
            return self.handle_control_request(request).await;
        }
        self.apply_outage_and_delay().await;
        let is_write = matches!(*request.method(), Method::PUT | Method::DELETE);
        if self.is_throttled(is_write) {
            return text_response(StatusCode::TOO_MANY_REQUESTS, "too many calls in this second");
        }
        let response = self.handle_object_request(request).await;
        if is_write && self.consume_lost_answer() {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl RateWindow {
    /// Counts a request and returns whether the current second stays within the limit.
    fn try_count(&mut self, limit: u32) -> bool {
        let now = Instant::now();
        if now - self.started >= Duration::from_secs(1) {
            self.started = now;
            self.count = 0;
        }
        self.count += 1;
        self.count <= limit
    }
}

fn read_precondition(headers: &HeaderMap) -> Result<Option<Precondition>, Box<Response<Full<Bytes>>>> {
    if headers.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Some(Precondition::Absent));
    }
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    let bad_request = || Box::new(text_response(StatusCode::BAD_REQUEST, "if-match holds no version"));
    version.map(|version| Some(Precondition::Version(version))).ok_or_else(bad_request)
}

fn query_parameter(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

fn json_response<T>(value: &T) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    let mut response = Response::new(Full::new(Bytes::from(serde_json::to_vec(value).unwrap_or_default())));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text_response(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(message.to_owned())));
    *response.status_mut() = status;
    response
}
