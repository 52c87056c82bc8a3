//! One caller: connections to a node or straight to an upstream.

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
use tokio::time::Instant;
use yuccatray::protocol::headers;

/// Result of a call.
pub type Result<T, E = CallerError> = std::result::Result<T, E>;

/// Why a caller got no answer at all.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// It can't connect.
    #[snafu(display("cannot connect"))]
    Connect {
        /// What the system said.
        source: std::io::Error,
    },
    /// The exchange failed.
    #[snafu(display("the exchange failed"))]
    Exchange {
        /// What hyper said.
        source: hyper::Error,
    },
    /// The request can't be built.
    #[snafu(display("the request is not valid"))]
    Request {
        /// What is wrong.
        source: http::Error,
    },
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Service named.
    pub service: String,
    /// Priority named.
    pub priority: String,
    /// Body sent.
    pub body: Bytes,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// Status of the answer.
    pub status: StatusCode,
    /// Error kind, when the answer is no upstream's.
    pub error: Option<String>,
    /// Body of the answer.
    pub body: Bytes,
    /// From sending to the last byte.
    pub took: Duration,
}

/// A caller with idle connections to one address.
#[derive(Debug)]
pub struct Caller {
    addr: SocketAddr,
    one_way_delay: Duration,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Caller {
    /// A caller of the node or upstream at `addr`.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, one_way_delay: Duration::ZERO, idle: Mutex::new(Vec::new()) }
    }

    /// The same caller at a distance: every request and every answer takes so long more.
    #[must_use]
    pub const fn at_distance(mut self, one_way_delay: Duration) -> Self {
        self.one_way_delay = one_way_delay;
        self
    }

    /// Sends one call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When no connection can be had or it fails before the answer is whole.
    pub async fn call(&self, plan: &CallPlan) -> Result<CallOutcome> {
        let mut sender = self.checkout().await?;
        let request = Request::builder()
            .method(plan.method.clone())
            .uri(&plan.target)
            .header(HOST, self.addr.to_string())
            .header(headers::SERVICE, &plan.service)
            .header(headers::PRIORITY, &plan.priority)
            .body(Full::new(plan.body.clone()))
            .context(RequestSnafu)?;
        let started = Instant::now();
        self.travel().await;
        let response = sender.send_request(request).await.context(ExchangeSnafu)?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.context(ExchangeSnafu)?.to_bytes();
        self.travel().await;
        let took = started.elapsed();
        self.idle.lock().push(sender);
        let error = head.headers.get(headers::ERROR).and_then(|value| value.to_str().ok());
        Ok(CallOutcome { status: head.status, error: error.map(str::to_owned), body, took })
    }

    async fn travel(&self) {
        if !self.one_way_delay.is_zero() {
            tokio::time::sleep(self.one_way_delay).await;
        }
    }

    async fn checkout(&self) -> Result<SendRequest<Full<Bytes>>> {
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
        self.idle.lock().pop()
    }
}
