//! An upstream that logs each execution and answers from the request alone.

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

/// Time that an upstream works on the request, in milliseconds.
pub const WORK_MS: HeaderName = HeaderName::from_static("test-work-ms");
/// Size of the answer, in bytes.
pub const ANSWER_BYTES: HeaderName = HeaderName::from_static("test-answer-bytes");

/// Orders events of all parts of a test without a clock.
#[derive(Clone, Debug, Default)]
pub struct Ticker {
    next: Arc<AtomicU64>,
}

impl Ticker {
    /// A number larger than all given before.
    #[must_use]
    pub fn tick(&self) -> u64 {
        self.next.fetch_add(1, Ordering::SeqCst)
    }
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Body of the request, which is unique to a call.
    pub request: Bytes,
    /// When it started.
    pub started: u64,
}

/// What upstreams executed, shared by all of a test.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl RunLog {
    /// Everything executed so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().clone()
    }

    /// Number of executions so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runs.lock().len()
    }

    /// Whether nothing was executed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An upstream on a free port, stopped when dropped.
#[derive(Debug)]
pub struct LoggingUpstream {
    /// Where it listens.
    pub addr: SocketAddr,
    working: Arc<AtomicU64>,
    stop: CancellationToken,
}

#[derive(Clone, Debug)]
struct Worker {
    log: RunLog,
    ticker: Ticker,
    working: Arc<AtomicU64>,
}

impl LoggingUpstream {
    /// Starts to listen and logs into `log`.
    ///
    /// # Panics
    ///
    /// When no port is free.
    pub async fn start(log: RunLog, ticker: Ticker) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let working = Arc::new(AtomicU64::new(0));
        let worker = Worker { log, ticker, working: Arc::clone(&working) };
        let stop = CancellationToken::new();
        let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
        tokio::spawn(serve(listener, limits, worker, stop.clone()));
        Self { addr, working, stop }
    }

    /// Calls that it works on at this moment.
    #[must_use]
    pub fn working(&self) -> u64 {
        self.working.load(Ordering::SeqCst)
    }
}

impl Drop for LoggingUpstream {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// The only right answer to a request.
#[must_use]
pub fn answer_to(request: &[u8], answer_bytes: usize) -> Bytes {
    let mut answer = request.to_vec();
    answer.extend(request.iter().rev().cycle().take(answer_bytes.saturating_sub(request.len())));
    Bytes::from(answer)
}

impl Handler for Worker {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _remote: SocketAddr) -> Response<Full<Bytes>> {
        let work_ms = number(&request, &WORK_MS);
        let answer_bytes = number(&request, &ANSWER_BYTES);
        let Ok(body) = request.into_body().collect().await else {
            return Response::new(Full::default());
        };
        let body = body.to_bytes();
        let _working = Working::begin(&self.working);
        self.log.runs.lock().push(Run { request: body.clone(), started: self.ticker.tick() });
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        Response::new(Full::new(answer_to(&body, usize::try_from(answer_bytes).unwrap_or(0))))
    }
}

struct Working<'a> {
    count: &'a AtomicU64,
}

impl<'a> Working<'a> {
    fn begin(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self { count }
    }
}

impl Drop for Working<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

fn number(request: &Request<Incoming>, name: &HeaderName) -> u64 {
    let text = request.headers().get(name).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
