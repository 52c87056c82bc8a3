//! An upstream that logs each execution and derives its answer from the request alone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;

/// Header field with the time that the upstream takes to execute the request, in milliseconds.
pub const WORK_MS: HeaderName = HeaderName::from_static("test-work-ms");
/// Header field with the minimum size of the answer, in bytes.
pub const ANSWER_BYTES: HeaderName = HeaderName::from_static("test-answer-bytes");

/// Logical clock that orders the events of all parts of a test.
#[derive(Clone, Debug, Default)]
pub struct LogicalClock {
    next: Arc<AtomicU64>,
}

impl LogicalClock {
    /// Returns a number larger than all those returned before.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }
}

/// One execution of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Body of the request, which is unique to a call.
    pub request: Bytes,
    /// Tick at which the execution started.
    pub started: u64,
}

/// Log of the executions at all upstreams of a test.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog {
    executions: Arc<Mutex<Vec<Execution>>>,
}

impl ExecutionLog {
    /// Returns the executions so far.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().clone()
    }

    /// Returns the number of executions so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.executions.lock().len()
    }

    /// Returns whether nothing has been executed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An upstream on a free loopback port, stopped on drop.
#[derive(Debug)]
pub struct LoggingUpstream {
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    in_flight: Arc<AtomicU64>,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct LoggingHandler {
    log: ExecutionLog,
    clock: LogicalClock,
    in_flight: Arc<AtomicU64>,
}

impl LoggingUpstream {
    /// Starts an upstream that records its executions in `log`.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub async fn start(log: ExecutionLog, clock: LogicalClock) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let in_flight = Arc::new(AtomicU64::new(0));
        let handler = LoggingHandler { log, clock, in_flight: Arc::clone(&in_flight) };
        let stop = CancellationToken::new();
        let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
        tokio::spawn(serve(listener, limits, handler, stop.clone()));
        Self { addr, in_flight, stop }
    }

    /// Returns the number of requests that the upstream is executing.
    #[must_use]
    pub fn executing(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }
}

impl Drop for LoggingUpstream {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns the only correct answer to a request.
///
/// It is the request itself, followed by its reversed bytes, repeated up to `answer_bytes` in total.
#[must_use]
pub fn expected_answer_to(request: &[u8], answer_bytes: usize) -> Bytes {
    let mut answer = request.to_vec();
    answer.extend(request.iter().rev().cycle().take(answer_bytes.saturating_sub(request.len())));
    Bytes::from(answer)
}

impl Handler for LoggingHandler {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<Full<Bytes>> {
        let work_ms = number_header(&request, &WORK_MS);
        let answer_bytes = number_header(&request, &ANSWER_BYTES);
        let Ok(body) = request.into_body().collect().await else {
            return Response::new(Full::default());
        };
        let body = body.to_bytes();
        let _in_flight = InFlightGuard::begin(&self.in_flight);
        self.log.executions.lock().push(Execution { request: body.clone(), started: self.clock.tick() });
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        Response::new(Full::new(expected_answer_to(&body, usize::try_from(answer_bytes).unwrap_or(0))))
    }
}

/// Counts a request as in flight until dropped.
struct InFlightGuard<'a> {
    count: &'a AtomicU64,
}

impl<'a> InFlightGuard<'a> {
    fn begin(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self { count }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the numeric value of a header field, 0 if it is absent or invalid.
fn number_header(request: &Request<Incoming>, name: &HeaderName) -> u64 {
    let text = request.headers().get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
