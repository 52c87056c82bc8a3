//! Accepting connections and serving HTTP on them until told to stop.

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
use crate::transport::peer_greeting::answer;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_security::PeerStream;

/// Time for a host to prove itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const PING_INTERVAL: Duration = Duration::from_secs(2);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_STREAMS: u32 = 1_024;

/// Room past the limit in which a handler sees the request and can say what is wrong with it.
const HEADER_MARGIN_BYTES: u32 = 65_536;

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static;

    /// Answers one request that came from `remote`.
    fn handle(
        &self,
        request: Request<Incoming>,
        remote: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Bounds on connections.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at once; more are closed at once.
    pub max_connections: usize,
    /// Largest header section, in bytes; handlers refuse what is larger, hyper what is far larger.
    pub max_header_bytes: u32,
    /// Time for the header section to arrive.
    pub header_timeout: Duration,
    /// Time for calls in flight once the server was told to stop.
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

/// Serves until `stop`, then lets connections finish; true when all of them did.
pub async fn serve<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    stop: CancellationToken,
) -> bool
where
    H: Handler,
{
    serve_admitted(listener, limits, handler, Admission::Anyone, stop).await
}

/// Who is served.
#[derive(Clone, Debug)]
enum Admission {
    Anyone,
    /// Nodes that prove themselves, by keys where there are any and by their greeting.
    Nodes(Arc<PeerSecurity>),
}

/// Serves as [`serve`] does, but only nodes that prove themselves as `security` asks.
pub async fn serve_secured<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    security: Arc<PeerSecurity>,
    stop: CancellationToken,
) -> bool
where
    H: Handler,
{
    serve_admitted(listener, limits, handler, Admission::Nodes(security), stop).await
}

async fn serve_admitted<H>(
    listener: TcpListener,
    limits: ServerLimits,
    handler: H,
    admission: Admission,
    stop: CancellationToken,
) -> bool
where
    H: Handler,
{
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let builder = builder(limits);
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, remote)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if let Err(error) = stream.set_nodelay(true) {
            log_event!(Debug, "cannot set nodelay", remote = remote, error = error);
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log_event_limited!(Warn, "connection closed at the limit", remote = remote);
            continue;
        };
        let served = admit(&builder, &admission, stream, remote, handler.clone(), graceful.watcher());
        tokio::spawn(async move {
            served.await;
            drop(permit);
        });
    }
    // Callers whose connections the system has already opened are served as well.
    while let Some(Ok((stream, remote))) = listener.accept().now_or_never() {
        tokio::spawn(admit(&builder, &admission, stream, remote, handler.clone(), graceful.watcher()));
    }
    drop(listener);
    tokio::time::timeout(limits.shutdown_timeout, graceful.shutdown()).await.is_ok()
}

fn builder(limits: ServerLimits) -> auto::Builder<TokioExecutor> {
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
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    builder
}

/// Serves a connection once its host has proved itself.
fn admit<H>(
    builder: &auto::Builder<TokioExecutor>,
    admission: &Admission,
    stream: TcpStream,
    remote: SocketAddr,
    handler: H,
    watcher: Watcher,
) -> impl Future<Output = ()> + Send + 'static
where
    H: Handler,
{
    let builder = builder.clone();
    let admission = admission.clone();
    async move {
        match tokio::time::timeout(HANDSHAKE_TIMEOUT, admission.prove(stream)).await {
            Ok(Ok(stream)) => serve_connection(&builder, stream, remote, handler, watcher).await,
            Ok(Err(error)) => log_event_limited!(Warn, "host refused", remote = remote, error = error),
            Err(_) => log_event_limited!(Warn, "host did not prove itself in time", remote = remote),
        }
    }
}

impl Admission {
    async fn prove(&self, stream: TcpStream) -> std::io::Result<PeerStream> {
        let Self::Nodes(security) = self else {
            return Ok(PeerStream::Plain { stream });
        };
        let mut stream = security.accept(stream).await?;
        answer(&mut stream).await?;
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
