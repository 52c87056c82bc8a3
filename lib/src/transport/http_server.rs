//! HTTP server with connection limits, optional peer authentication and graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::log_event_limited;
use crate::transport::call_body::BoxError;
use crate::transport::http_version::HttpVersion;
use crate::transport::http_version::client_version;
use crate::transport::peer_handshake::accept_handshake;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::PeerStream;
use crate::transport::stop_state::StopLogLimit;

/// Time limit of the TLS and peer handshakes of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after a stop in which a connection may still send its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Delay before the next `accept` after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Interval of HTTP/2 keep-alive pings.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Time without an answer to a ping after which an HTTP/2 connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest number of concurrent streams on an HTTP/2 connection.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;

/// Margin by which hyper's header limit exceeds that of the server.
///
/// Thus the handler, and not hyper, rejects most requests whose headers are too large.
const HEADER_MARGIN_BYTES: u32 = 65_536;

/// Request handler of an HTTP server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static;

    /// Returns the response to a request received from `remote`.
    fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Returns the limits of a connection that opens now, given those of its server.
    fn connection_limits(&self, limits: ServerLimits) -> ServerLimits {
        limits
    }
}

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest number of open connections; further ones are closed when accepted.
    pub max_connections: usize,
    /// Largest header section that handlers accept, in bytes; hyper rejects only much larger ones.
    pub max_header_bytes: u32,
    /// Time limit for receiving the header section of an HTTP/1 request, the idle time before it included.
    pub header_timeout: Duration,
    /// Time limit for requests in flight after the server was asked to stop.
    pub shutdown_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 2_000,
            max_header_bytes: 65_536,
            header_timeout: Duration::from_secs(10),
            shutdown_timeout: Duration::from_secs(30),
        }
    }
}

/// Tokens that stop a server.
#[derive(Clone, Debug)]
pub struct ServerStop {
    /// Closes the listener, and each connection once its requests in flight are answered.
    pub graceful: CancellationToken,
    /// Closes every connection at once; cancelled only after `graceful`.
    pub cut: CancellationToken,
}

impl From<CancellationToken> for ServerStop {
    /// Creates a stop that cuts no connection.
    fn from(graceful: CancellationToken) -> Self {
        Self { graceful, cut: CancellationToken::new() }
    }
}

/// Serves until `stop` is cancelled, then waits for open connections; returns whether all finished in time.
pub async fn serve<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: impl Into<ServerStop>,
) -> bool
where
    H: Handler,
{
    serve_clients(listener, limits, handler, ClientPolicy::Anyone, stop.into()).await
}

/// Clients whose connections a server accepts.
#[derive(Clone, Debug)]
enum ClientPolicy {
    Anyone,
    /// Nodes only: they pass the TLS handshake, if peer security is on, and the peer handshake.
    Nodes(Arc<PeerSecurity>),
}

/// Serves like [`serve`], but accepts only nodes that authenticate as `security` requires.
pub async fn serve_peers<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    security: Arc<PeerSecurity>,
    stop: ServerStop,
) -> bool
where
    H: Handler,
{
    serve_clients(listener, limits, handler, ClientPolicy::Nodes(security), stop).await
}

async fn serve_clients<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    policy: ClientPolicy,
    stop: ServerStop,
) -> bool
where
    H: Handler,
{
    // Connections hold a sender each; the receiver ends once all have been dropped.
    let (open_connection, mut open_connections) = mpsc::channel::<Infallible>(1);
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let acceptor = Acceptor { limits, policy, stop: stop.clone() };
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.graceful.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(Debug, "cannot set nodelay", remote = remote, error = error);
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log_event_limited!(Warn, "connection closed: connection limit reached", remote = remote);
            continue;
        };
        let connection = acceptor.clone().authenticate_and_serve(stream, remote, handler.clone());
        let open_connection = open_connection.clone();
        tokio::spawn(async move {
            connection.await;
            drop((permit, open_connection));
        });
    }
    for (stream, remote) in close_listener(listener) {
        let connection = acceptor.clone().authenticate_and_serve(stream, remote, handler.clone());
        let open_connection = open_connection.clone();
        tokio::spawn(async move {
            connection.await;
            drop(open_connection);
        });
    }
    drop(open_connection);
    tokio::time::timeout(limits.shutdown_timeout, open_connections.recv()).await.is_ok()
}

/// Closes the listener and returns the connections that the operating system has established by then.
///
/// The system is asked directly: on a busy machine the runtime may not know of all of them yet, and closing
/// the listener resets those that were not accepted.
fn close_listener(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut established = Vec::new();
    match listener.into_std() {
        Ok(listener) => {
            while let Ok(connection) = listener.accept() {
                established.push(connection);
            }
        }
        Err(error) => log_event!(Warn, "cannot accept the last connections of a listener", error = error),
    }
    let into_async = |(stream, remote): (std::net::TcpStream, SocketAddr)| {
        stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)).map(|stream| (stream, remote))
    };
    let streams = established.into_iter().map(into_async);
    streams.filter_map(|stream| stream.inspect_err(log_lost_connection).ok()).collect()
}

fn log_lost_connection(error: &std::io::Error) {
    log_event!(Warn, "cannot serve a connection accepted at a stop", error = error);
}

fn connection_builder(limits: ServerLimits) -> auto::Builder<TokioExecutor> {
    let read_bytes = limits.max_header_bytes.saturating_add(HEADER_MARGIN_BYTES);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(read_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(read_bytes)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}

/// How a server treats each new connection.
#[derive(Clone)]
struct Acceptor {
    limits: ServerLimits,
    policy: ClientPolicy,
    stop: ServerStop,
}

impl Acceptor {
    /// Authenticates the client as the policy requires, then serves the connection.
    async fn authenticate_and_serve<H>(self, stream: TcpStream, remote: SocketAddr, handler: H)
    where
        H: Handler,
    {
        let limits = handler.connection_limits(self.limits);
        let Some(builder) = self.builder_for(&stream, remote, limits).await else {
            return;
        };
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, self.policy.authenticate(stream)).await {
            Ok(Ok(stream)) => self.serve_connection(&builder, stream, remote, handler).await,
            Ok(Err(error)) => log_event_limited!(Warn, "handshake failed", remote = remote, error = error),
            Err(_) => log_event_limited!(Warn, "handshake timed out", remote = remote),
        }
    }

    /// Returns the builder for the connection, or `None` if it fails or its client sends no request before a stop.
    ///
    /// A stop closes a connection of unknown version although its first request may be on the way. The
    /// version of a caller's connection is therefore known before the connection takes part in a stop.
    async fn builder_for(
        &self,
        stream: &TcpStream,
        remote: SocketAddr,
        limits: ServerLimits,
    ) -> Option<auto::Builder<TokioExecutor>> {
        let builder = connection_builder(limits);
        if matches!(self.policy, ClientPolicy::Nodes(_)) {
            return Some(builder);
        }
        let no_request_before_stop = async {
            self.stop.graceful.cancelled().await;
            tokio::time::sleep(FIRST_REQUEST_GRACE).await;
        };
        let version = tokio::select! {
            version = client_version(stream, limits.header_timeout) => version,
            () = no_request_before_stop => return None,
        };
        match version {
            Ok(HttpVersion::Http1) => Some(builder.http1_only()),
            Ok(HttpVersion::Http2) => Some(builder.http2_only()),
            Err(error) => {
                log_event_limited!(
                    Info,
                    "connection ended before its first request",
                    remote = remote,
                    error = error,
                );
                None
            }
        }
    }

    /// Serves a connection until it ends; after a stop, until its requests in flight are answered.
    async fn serve_connection<H>(
        &self,
        builder: &auto::Builder<TokioExecutor>,
        stream: PeerStream,
        remote: SocketAddr,
        handler: H,
    ) where
        H: Handler,
    {
        let unanswered = Arc::new(UnansweredRequests::default());
        let unanswered_here = Arc::clone(&unanswered);
        // Boxed, since hyper keeps room for the future of a request on each connection, also on an idle one.
        let service = service_fn(move |request| {
            let handler = handler.clone();
            let unanswered = Arc::clone(&unanswered_here);
            unanswered.record_received();
            Box::pin(async move {
                let response = handler.handle(request, remote).await;
                unanswered.record_answered();
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        // The connection goes first, since a request that has arrived must be read before the shutdown: hyper
        // closes a connection that has read nothing.
        let ended = tokio::select! {
            biased;
            ended = connection.as_mut() => ended,
            () = self.stop.graceful.cancelled() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    ended = connection => ended,
                    () = self.stop.cut.cancelled() => return,
                }
            }
        };
        if matches!(self.policy, ClientPolicy::Anyone) && unanswered.count() > 0 {
            self.log_unanswered(remote, unanswered.count(), ended.as_ref().err());
        } else if let Err(error) = ended {
            log_event!(Debug, "connection ended", remote = remote, error = error);
        }
    }

    /// Logs a connection that ended by itself before every request on it had the begin of an answer.
    fn log_unanswered(&self, remote: SocketAddr, unanswered: u32, error: Option<&BoxError>) {
        static LIMIT: StopLogLimit = StopLogLimit::new();
        let closing = self.stop.graceful.is_cancelled();
        if let Some(left_out) = LIMIT.admit(closing, Instant::now()) {
            log_event!(
                Info,
                "connection ended with requests unanswered",
                remote = remote,
                unanswered = unanswered,
                closing = closing,
                error = error_text(error),
                left_out = left_out,
            );
        }
    }
}

/// Requests of a connection whose answers have not begun, also those that were given up.
#[derive(Debug, Default)]
struct UnansweredRequests {
    count: AtomicU32,
}

impl UnansweredRequests {
    fn record_received(&self) {
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    fn record_answered(&self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }
}

/// Returns an error with its causes, or "none".
fn error_text(error: Option<&BoxError>) -> String {
    let Some(error) = error else {
        return "none".to_owned();
    };
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}

impl ClientPolicy {
    async fn authenticate(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let Self::Nodes(security) = self else {
            return Ok(PeerStream::Plain { stream });
        };
        let mut stream = security.accept(stream).await?;
        accept_handshake(&mut stream).await?;
        Ok(stream)
    }
}
