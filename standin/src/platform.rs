//! The platform's stand-in: an object API over HTTP and JSON that fails on demand.

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
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;

use crate::platform_store::Mismatch;
use crate::platform_store::PlatformStore;

const MAX_VALUE_BYTES: usize = 1_048_576;
const DEFAULT_WATCH_WAIT_MS: u64 = 20_000;
const DOWN_POLL: Duration = Duration::from_millis(20);

/// How the stand-in misbehaves at present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Calls get no answer and take no effect.
    pub down: bool,
    /// Extra time that each call takes, in milliseconds.
    pub delay_ms: u64,
    /// So many writes yet take effect and get no answer.
    pub lose_answers: u32,
    /// Watches end at once without saying what changed.
    pub break_watches: bool,
    /// Writes accepted per second; 0 for no limit.
    pub max_writes_per_second: u32,
    /// Reads accepted per second, watches included; 0 for no limit.
    pub max_reads_per_second: u32,
}

/// Calls that the stand-in was asked, a waiting watch counted once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of a kind.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Writes and deletes refused for their precondition.
    pub conflicts: u64,
    /// Calls refused for the rate.
    pub throttled: u64,
}

#[derive(Debug)]
struct RateWindow {
    started: Instant,
    count: u32,
}

#[derive(Debug)]
struct Shared {
    store: Mutex<PlatformStore>,
    version: watch::Sender<u64>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<PlatformCounts>,
    reads: Mutex<RateWindow>,
    writes: Mutex<RateWindow>,
}

/// The stand-in, which serves until it is dropped or told to stop.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    shared: Arc<Shared>,
}

/// A stand-in that listens.
#[derive(Debug)]
pub struct RunningPlatform {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The stand-in, to make it fail and to read its counts.
    pub standin: PlatformStandin,
    stop: CancellationToken,
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
            reads: window(),
            writes: window(),
        };
        Self { shared: Arc::new(shared) }
    }
}

impl PlatformStandin {
    /// Starts a stand-in on the given address.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub async fn start(addr: SocketAddr) -> std::io::Result<RunningPlatform> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let standin = Self::default();
        let stop = CancellationToken::new();
        let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
        tokio::spawn(serve(listener, limits, standin.clone(), stop.clone()));
        Ok(RunningPlatform { addr, standin, stop })
    }

    /// Makes the stand-in misbehave from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.shared.faults.lock() = faults;
    }

    /// What it was asked so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        *self.shared.counts.lock()
    }

    async fn object_call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let kind = parts.get(2).and_then(|name| ObjectKind::from_name(name));
        let Some(kind) = kind else {
            return text(StatusCode::NOT_FOUND, "no such kind");
        };
        let method = request.method().clone();
        match (&method, parts.as_slice()) {
            (&Method::GET, ["v1", "watch", _]) => self.watch(kind, request.uri().query()).await,
            (&Method::GET, ["v1", "objects", _]) => self.list(kind),
            (&Method::GET, ["v1", "objects", _, name]) => self.get(kind, name),
            (&Method::PUT, ["v1", "objects", _, name]) => self.put(kind, name, request).await,
            (&Method::DELETE, ["v1", "objects", _, name]) => self.delete(kind, name, request.headers()),
            _ => text(StatusCode::METHOD_NOT_ALLOWED, "no such call"),
        }
    }

    fn get(&self, kind: ObjectKind, name: &str) -> Response<Full<Bytes>> {
        self.shared.counts.lock().gets += 1;
        self.shared
            .store
            .lock()
            .get(kind, name)
            .map_or_else(|| text(StatusCode::NOT_FOUND, "no such object"), json)
    }

    fn list(&self, kind: ObjectKind) -> Response<Full<Bytes>> {
        self.shared.counts.lock().lists += 1;
        json(&self.shared.store.lock().list(kind))
    }

    async fn watch(&self, kind: ObjectKind, query: Option<&str>) -> Response<Full<Bytes>> {
        self.shared.counts.lock().watches += 1;
        let after = query_number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(DEFAULT_WATCH_WAIT_MS));
        let until = Instant::now() + wait;
        let mut version = self.shared.version.subscribe();
        loop {
            let changes = self.shared.store.lock().changes_after(kind, after);
            let broken = self.shared.faults.lock().break_watches;
            if broken {
                return text(StatusCode::SERVICE_UNAVAILABLE, "the watch broke");
            }
            if !changes.changes.is_empty() || changes.expired || Instant::now() >= until {
                return json(&changes);
            }
            let _woken = tokio::time::timeout_at(until, version.changed()).await;
        }
    }

    async fn put(&self, kind: ObjectKind, name: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.shared.counts.lock().writes += 1;
        let precondition = match precondition(request.headers()) {
            Ok(precondition) => precondition,
            Err(response) => return *response,
        };
        let Ok(body) = Limited::new(request.into_body(), MAX_VALUE_BYTES).collect().await else {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "values hold at most 1 MiB");
        };
        let value = match serde_json::from_slice(&body.to_bytes()) {
            Ok(value) => value,
            Err(error) => return text(StatusCode::BAD_REQUEST, &format!("not JSON: {error}")),
        };
        let written = self.shared.store.lock().put(kind, name, value, precondition);
        match written {
            Ok(object) => {
                self.shared.version.send_replace(object.version);
                json(&object)
            }
            Err(mismatch) => self.conflict(&mismatch),
        }
    }

    fn delete(&self, kind: ObjectKind, name: &str, fields: &HeaderMap) -> Response<Full<Bytes>> {
        self.shared.counts.lock().writes += 1;
        let precondition = match precondition(fields) {
            Ok(precondition) => precondition,
            Err(response) => return *response,
        };
        let deleted = self.shared.store.lock().delete(kind, name, precondition);
        match deleted {
            Ok(true) => {
                self.shared.version.send_modify(|version| *version += 1);
                text(StatusCode::NO_CONTENT, "")
            }
            Ok(false) => text(StatusCode::NOT_FOUND, "no such object"),
            Err(mismatch) => self.conflict(&mismatch),
        }
    }

    fn conflict(&self, mismatch: &Mismatch) -> Response<Full<Bytes>> {
        self.shared.counts.lock().conflicts += 1;
        let mut response = json(&mismatch.0);
        *response.status_mut() = StatusCode::PRECONDITION_FAILED;
        response
    }

    async fn control_call(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/control/counts") => json(&self.counts()),
            (Method::PUT, "/control/faults") => {
                let Ok(body) = request.into_body().collect().await else {
                    return text(StatusCode::BAD_REQUEST, "unreadable body");
                };
                match serde_json::from_slice(&body.to_bytes()) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        text(StatusCode::NO_CONTENT, "")
                    }
                    Err(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "GET /control/counts or PUT /control/faults"),
        }
    }

    /// Holds a call back while the stand-in is down or slow.
    async fn misbehave(&self) {
        while self.shared.faults.lock().down {
            tokio::time::sleep(DOWN_POLL).await;
        }
        let delay_ms = self.shared.faults.lock().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    fn throttled(&self, write: bool) -> bool {
        let faults = self.shared.faults.lock().clone();
        let (window, limit) = if write {
            (&self.shared.writes, faults.max_writes_per_second)
        } else {
            (&self.shared.reads, faults.max_reads_per_second)
        };
        let refused = limit > 0 && !window.lock().take(limit);
        if refused {
            self.shared.counts.lock().throttled += 1;
        }
        refused
    }

    fn takes_lost_answer(&self) -> bool {
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
            return self.control_call(request).await;
        }
        self.misbehave().await;
        let write = matches!(*request.method(), Method::PUT | Method::DELETE);
        if self.throttled(write) {
            return text(StatusCode::TOO_MANY_REQUESTS, "too many calls in this second");
        }
        let response = self.object_call(request).await;
        if write && self.takes_lost_answer() {
            std::future::pending::<()>().await;
        }
        response
    }
}

impl RateWindow {
    fn take(&mut self, limit: u32) -> bool {
        let now = Instant::now();
        if now - self.started >= Duration::from_secs(1) {
            self.started = now;
            self.count = 0;
        }
        self.count += 1;
        self.count <= limit
    }
}

fn precondition(fields: &HeaderMap) -> Result<Option<Precondition>, Box<Response<Full<Bytes>>>> {
    if fields.get(IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Some(Precondition::Absent));
    }
    let Some(value) = fields.get(IF_MATCH) else {
        return Ok(None);
    };
    let version = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    let unreadable = || Box::new(text(StatusCode::BAD_REQUEST, "if-match holds no version"));
    version.map(|version| Some(Precondition::Version(version))).ok_or_else(unreadable)
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().and_then(|(_, value)| value.parse().ok())
}

fn json<T>(value: &T) -> Response<Full<Bytes>>
where
    T: Serialize,
{
    let mut response = Response::new(Full::new(Bytes::from(serde_json::to_vec(value).unwrap_or_default())));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(message.to_owned())));
    *response.status_mut() = status;
    response
}
