//! HTTP server with connection limits, optional peer authentication and graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use http::Response;
use http_body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::log_event;
use crate::log_event_limited;
use crate::transport::call_body::BoxError;
use crate::transport::peer_handshake::accept_handshake;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::PeerStream;

/// Time limit of the TLS and peer handshakes of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

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
}

/// Limits on connections and requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest number of open connections; further ones are closed when accepted.
    pub max_connections: usize,
    /// Largest header section that handlers accept, in bytes; hyper rejects only much larger ones.
    pub max_header_bytes: u32,
    /// Time limit for receiving the header section of an HTTP/1 request.
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

/// Serves until `stop` is cancelled, then waits for open connections; returns whether all finished in time.
pub async fn serve<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: CancellationToken,
) -> bool
where
    H: Handler,
{
    serve_clients(listener, limits, handler, ClientPolicy::Anyone, stop).await
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
    stop: CancellationToken,
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
    stop: CancellationToken,
) -> bool
where
    H: Handler,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let builder = connection_builder(limits);
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
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
        let connection =
            authenticate_and_serve(&builder, &policy, stream, remote, handler.clone(), graceful.watcher());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    // Connections that the operating system has already established are served as well.
    while let Some(Ok((stream, remote))) = listener.accept().now_or_never() {
        tokio::spawn(authenticate_and_serve(
            &builder,
            &policy,
            stream,
            remote,
            handler.clone(),
            graceful.watcher(),
        ));
    }
    drop(listener);
    tokio::time::timeout(limits.shutdown_timeout, graceful.shutdown()).await.is_ok()
}

fn connection_builder(limits: ServerLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size((limits.max_header_bytes + HEADER_MARGIN_BYTES) as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.max_header_bytes + HEADER_MARGIN_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}

/// Authenticates the client as the policy requires, then serves the connection.
fn authenticate_and_serve<H>(
    builder: &auto::Builder<TokioExecutor>,
    policy: &ClientPolicy,
    stream: TcpStream,
    remote: SocketAddr,
    handler: H,
    watcher: Watcher,
) -> impl Future<Output = ()> + Send + 'static
where
    H: Handler,
{
    let builder = builder.clone();
    let policy = policy.clone();
    async move {
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, policy.authenticate(stream)).await {
            Ok(Ok(stream)) => serve_connection(&builder, stream, remote, handler, watcher).await,
            Ok(Err(error)) => log_event_limited!(Warn, "handshake failed", remote = remote, error = error),
            Err(_) => log_event_limited!(Warn, "handshake timed out", remote = remote),
        }
    }
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

async fn serve_connection<H>(
    builder: &auto::Builder<TokioExecutor>,
    stream: PeerStream,
    remote: SocketAddr,
    handler: H,
    watcher: Watcher,
) where
    H: Handler,
{
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request, remote).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    if let Err(error) = watcher.watch(connection).await {
        log_event!(Debug, "connection ended", remote = remote, error = error);
    }
}
