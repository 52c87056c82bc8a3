//! HTTP/2 client connections to other nodes, for calls and control messages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http::Uri;
use http::uri::Authority;
use http::uri::PathAndQuery;
use http::uri::Scheme;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use indexmap::IndexMap;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tower_service::Service;

use crate::log_event_limited;
use crate::transport::call_body::BoxError;
use crate::transport::call_body::CallBody;
use crate::transport::peer_handshake::initiate_handshake;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::silence_watch::OutstandingRequests;
use crate::transport::silence_watch::PING_INTERVAL;
use crate::transport::silence_watch::WatchedStream;

/// Result of a request to a peer.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Time limit for each step of opening a connection: TCP, TLS and the peer handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after an unanswered HTTP/2 ping at which the connection fails.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an answer's header section.
const MAX_ANSWER_HEADER_BYTES: u32 = 1_048_576;

/// Reason why a request to a peer got no answer.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// The connection could not be opened, so no byte of the request was written.
    #[snafu(display("cannot connect to the peer"))]
    Connect {
        /// The I/O error.
        source: std::io::Error,
    },
    /// A step of opening the connection timed out, so no byte of the request was written.
    #[snafu(display("the peer did not accept a connection in time"))]
    ConnectTimeout,
    /// The HTTP/2 handshake failed, so no byte of the request was written.
    #[snafu(display("the connection to the peer failed at once"))]
    Handshake {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
    /// The connection closed before the request was written.
    #[snafu(display("the connection closed before the request was written"))]
    NotWritten,
    /// The connection failed after the request may have been written.
    #[snafu(display("the connection to the peer failed: {source}"))]
    Lost {
        /// The error of the HTTP library.
        source: hyper::Error,
    },
}

impl PeerError {
    /// Returns whether the error proves that the peer did not receive the request.
    #[must_use]
    pub const fn proves_not_executed(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}

/// An established connection.
#[derive(Debug)]
struct OpenConnection<B> {
    sender: SendRequest<B>,
    outstanding: OutstandingRequests,
}

/// Client for one peer, whose connection is opened on demand and replaced after a failure.
#[derive(Debug)]
pub struct PeerChannel<B> {
    addr: SocketAddr,
    security: Arc<PeerSecurity>,
    authority: Option<Authority>,
    open: ArcSwapOption<OpenConnection<B>>,
    /// Held while a connection is opened, so that concurrent requests open only one.
    connecting: Mutex<()>,
}

impl<B> PeerChannel<B>
where
    B: http_body::Body<Data = Bytes, Error: Into<BoxError>> + Send + Unpin + 'static,
{
    fn new(addr: SocketAddr, security: Arc<PeerSecurity>) -> Self {
        let authority = addr.to_string().parse().ok();
        let open = ArcSwapOption::const_empty();
        Self { addr, security, authority, open, connecting: Mutex::const_new(()) }
    }

    /// Returns the absolute form of a request target that HTTP/2 requests to this peer need.
    #[must_use]
    pub fn absolute(&self, target: &Uri) -> Uri {
        let mut parts = target.clone().into_parts();
        parts.scheme = Some(Scheme::HTTP);
        parts.authority.clone_from(&self.authority);
        parts.path_and_query.get_or_insert_with(|| PathAndQuery::from_static("/"));
        Uri::from_parts(parts).unwrap_or_else(|_| target.clone())
    }

    /// Sends a request and waits for the header section of the answer.
    ///
    /// A request that was not written, because its connection had closed, is sent once more over a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened or the connection fails.
    pub async fn send(&self, mut request: Request<B>) -> Result<Response<Incoming>> {
        let mut may_reconnect = true;
        loop {
            let connection = self.connection().await?;
            let outstanding_request = connection.outstanding.start_request();
            let sent = connection.sender.clone().try_send_request(request).await;
            drop(outstanding_request);
            match sent {
                Ok(response) => return Ok(response),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if may_reconnect => request = unsent,
                    Some(_) => return NotWrittenSnafu.fail(),
                    None => return Err(PeerError::Lost { source: failure.into_error() }),
                },
            }
            may_reconnect = false;
            self.open.store(None);
        }
    }

    /// Returns the established connection, or opens one.
    async fn connection(&self) -> Result<Arc<OpenConnection<B>>> {
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(connection) = self.open_connection() {
            return Ok(connection);
        }
        let connection = Arc::new(connect(self.addr, &self.security).await?);
        self.open.store(Some(Arc::clone(&connection)));
        Ok(connection)
    }

    fn open_connection(&self) -> Option<Arc<OpenConnection<B>>> {
        self.open.load_full().filter(|connection| !connection.sender.is_closed())
    }
}

/// Opens a connection: TCP, then TLS if enabled, the peer handshake and HTTP/2.
async fn connect<B>(addr: SocketAddr, security: &PeerSecurity) -> Result<OpenConnection<B>>
where
    B: http_body::Body<Data = Bytes, Error: Into<BoxError>> + Send + Unpin + 'static,
{
    let started = Instant::now();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_elapsed| PeerError::ConnectTimeout)?.context(ConnectSnafu)?;
    let round_trip = started.elapsed();
    stream.set_nodelay(true).context(ConnectSnafu)?;
    let tls_handshake = tokio::time::timeout(CONNECT_TIMEOUT, security.connect(stream));
    let mut stream =
        tls_handshake.await.map_err(|_elapsed| PeerError::ConnectTimeout)?.context(ConnectSnafu)?;
    let peer_handshake = tokio::time::timeout(CONNECT_TIMEOUT, initiate_handshake(&mut stream));
    peer_handshake.await.map_err(|_elapsed| PeerError::ConnectTimeout)?.context(ConnectSnafu)?;
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_ANSWER_HEADER_BYTES)
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    let stream = WatchedStream::new(stream, round_trip);
    let outstanding = stream.outstanding();
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log_event_limited!(Info, "peer connection ended", peer = addr, error = error);
        }
    });
    Ok(OpenConnection { sender, outstanding })
}

/// Channels to peers, by address.
#[derive(Debug)]
pub struct PeerChannels<B> {
    by_addr: ArcSwap<IndexMap<SocketAddr, Arc<PeerChannel<B>>>>,
    security: Arc<PeerSecurity>,
}

/// Channels that carry calls.
pub type CallChannels = PeerChannels<CallBody>;

/// Channels that carry control messages.
pub type ControlChannels = PeerChannels<tonic::body::Body>;

impl<B> Default for PeerChannels<B> {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

impl<B> PeerChannels<B> {
    /// Creates an empty set of channels that authenticate peers as `security` requires.
    #[must_use]
    pub fn new(security: Arc<PeerSecurity>) -> Self {
        Self { by_addr: ArcSwap::default(), security }
    }
}

impl<B> PeerChannels<B>
where
    B: http_body::Body<Data = Bytes, Error: Into<BoxError>> + Send + Unpin + 'static,
{
    /// Returns the shared channel to a peer, creating it if needed.
    pub fn get(&self, addr: SocketAddr) -> Arc<PeerChannel<B>> {
        if let Some(channel) = self.by_addr.load().get(&addr) {
            return Arc::clone(channel);
        }
        let fresh = Arc::new(PeerChannel::new(addr, Arc::clone(&self.security)));
        self.by_addr.rcu(|channels| {
            let mut next = IndexMap::clone(channels);
            next.entry(addr).or_insert_with(|| Arc::clone(&fresh));
            next
        });
        self.by_addr.load().get(&addr).map_or(fresh, Arc::clone)
    }

    /// Creates a channel that is not shared; its connection closes when the channel is dropped.
    pub fn unshared(&self, addr: SocketAddr) -> Arc<PeerChannel<B>> {
        Arc::new(PeerChannel::new(addr, Arc::clone(&self.security)))
    }

    /// Removes the channels to all addresses for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        if self.by_addr.load().keys().all(&keep) {
            return;
        }
        self.by_addr.rcu(|channels| {
            let mut next = IndexMap::clone(channels);
            next.retain(|addr, _| keep(addr));
            next
        });
    }
}

/// Adapter that lets generated gRPC clients send over a control channel.
#[derive(Clone, Debug)]
pub struct ControlClient {
    channel: Arc<PeerChannel<tonic::body::Body>>,
}

impl ControlClient {
    /// Creates a client that sends over the given channel.
    #[must_use]
    pub const fn new(channel: Arc<PeerChannel<tonic::body::Body>>) -> Self {
        Self { channel }
    }
}

impl Service<Request<tonic::body::Body>> for ControlClient {
    type Response = Response<Incoming>;
    type Error = PeerError;
    type Future = BoxFuture<'static, Result<Response<Incoming>>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<tonic::body::Body>) -> Self::Future {
        let channel = Arc::clone(&self.channel);
        Box::pin(async move {
            *request.uri_mut() = channel.absolute(request.uri());
            channel.send(request).await
        })
    }
}
