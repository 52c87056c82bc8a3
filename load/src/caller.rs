//! A caller: an HTTP/1.1 client with a connection pool to one node or upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use yuccatray::protocol::headers;

/// Result of sending a call.
pub type Result<T, E = CallerError> = std::result::Result<T, E>;

/// Reason why a call got no response.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// The connection could not be established.
    #[snafu(display("cannot connect"))]
    Connect {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The caller has reached its maximum number of connections.
    #[snafu(display("all connections of the caller are in use"))]
    ConnectionLimit,
    /// The HTTP exchange failed.
    #[snafu(display("the HTTP exchange failed"))]
    Exchange {
        /// Error from hyper.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[snafu(display("the request is not valid"))]
    Request {
        /// The invalid part.
        source: http::Error,
    },
}

/// Request that a caller sends.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request.
    pub target: String,
    /// Value of the service header.
    pub service: String,
    /// Value of the priority header.
    pub priority: String,
    /// Request body.
    pub body: Bytes,
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// HTTP status.
    pub status: StatusCode,
    /// Error kind, if the response is a node's and not an upstream's.
    pub error: Option<String>,
    /// Response body.
    pub body: Bytes,
    /// Time from sending the request to the last byte of the response.
    pub latency: Duration,
}

/// HTTP/1.1 client of one address, which reuses idle connections.
#[derive(Debug)]
pub struct Caller {
    addr: SocketAddr,
    one_way_delay: Duration,
    free_connections: Semaphore,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Caller {
    /// Creates a caller of the node or upstream at `addr`, with unlimited connections.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            one_way_delay: Duration::ZERO,
            free_connections: Semaphore::const_new(Semaphore::MAX_PERMITS),
            idle_connections: Mutex::new(Vec::new()),
        }
    }

    /// Limits the number of connections; calls beyond it fail at once.
    #[must_use]
    pub fn with_max_connections(mut self, max_connections: usize) -> Self {
        self.free_connections = Semaphore::new(max_connections);
        self
    }

    /// Adds a delay to every request and to every response.
    #[must_use]
    pub fn with_one_way_delay(mut self, one_way_delay: Duration) -> Self {
        self.one_way_delay = one_way_delay;
        self
    }

    /// Sends one call and reads the whole response.
    ///
    /// # Errors
    ///
    /// When no connection is available, or when it fails before the response is complete.
    pub async fn call(&self, plan: &CallPlan) -> Result<CallOutcome> {
        let _permit =
            self.free_connections.try_acquire().map_err(|_limit_reached| CallerError::ConnectionLimit)?;
        let mut sender = self.acquire_connection().await?;
        let request = Request::builder()
            .method(plan.method.clone())
            .uri(&plan.target)
            .header(HOST, self.addr.to_string())
            .header(headers::SERVICE, &plan.service)
            .header(headers::PRIORITY, &plan.priority)
            .body(Full::new(plan.body.clone()))
            .context(RequestSnafu)?;
        let started = Instant::now();
        self.delay_one_way().await;
        let response = sender.send_request(request).await.context(ExchangeSnafu)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(ExchangeSnafu)?.to_bytes();
        self.delay_one_way().await;
        let latency = started.elapsed();
        self.idle_connections.lock().push(sender);
        let error = head.headers.get(headers::ERROR).and_then(|value| value.to_str().ok());
        Ok(CallOutcome { status: head.status, error: error.map(str::to_owned), body, latency })
    }

    async fn delay_one_way(&self) {
        if !self.one_way_delay.is_zero() {
            tokio::time::sleep(self.one_way_delay).await;
        }
    }

    /// Returns an idle connection, or opens a new one.
    async fn acquire_connection(&self) -> Result<SendRequest<Full<Bytes>>> {
        while let Some(mut sender) = self.pop_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.addr).await.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn pop_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        self.idle_connections.lock().pop()
    }
}
