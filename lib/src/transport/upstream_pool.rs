//! Connections from a gate to the upstream beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::transport::call_body::BodyError;
use crate::transport::call_body::CallBody;
use crate::transport::silence_watch::probe_when_idle;

/// Result of sending a call to the upstream.
pub type Result<T, E = UpstreamError> = std::result::Result<T, E>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE: Duration = Duration::from_secs(5);
const DISCARD_BYTES: usize = 8_192;

/// Why a call got no answer from the upstream.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// No connection could be had, so no byte was written.
    #[snafu(display("cannot connect to the upstream"))]
    Connect {
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection was not accepted in time, so no byte was written.
    #[snafu(display("the upstream did not accept a connection in time"))]
    ConnectTimeout,
    /// The connection failed in the handshake, so no byte of the call was written.
    #[snafu(display("the connection to the upstream failed at once"))]
    Handshake {
        /// What hyper said.
        source: hyper::Error,
    },
    /// Every connection allowed is in use.
    #[snafu(display("all connections to the upstream are in use"))]
    Exhausted,
    /// The connection failed before a byte of the call was written.
    #[snafu(display("the connection closed before the call was written"))]
    NotWritten,
    /// The connection failed after the call may have been written.
    #[snafu(display("the connection failed while the upstream had the call"))]
    Lost {
        /// What hyper said.
        source: hyper::Error,
    },
    /// The answer broke off.
    #[snafu(display("the upstream's answer broke off"), visibility(pub(crate)))]
    CutShort {
        /// What was seen of the body.
        source: BodyError,
    },
}

impl UpstreamError {
    /// Whether it is proved that the upstream never saw the call.
    #[must_use]
    pub const fn proves_not_executed(&self) -> bool {
        !matches!(self, Self::Lost { .. } | Self::CutShort { .. })
    }
}

/// A connection that is ready for one call.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<CallBody>,
    let_go: CancellationToken,
    opened: Instant,
    idle_since: Instant,
}

impl PooledConnection {
    /// Closes the connection and resolves when the upstream has closed it as well.
    ///
    /// Both stand on one VM, so its kernel always tells when a side is gone.
    pub async fn close(self) {
        drop(self.sender);
        self.let_go.cancelled().await;
    }
}

/// Idle connections to one upstream, limited in number.
#[derive(Debug)]
pub struct UpstreamPool {
    addr: SocketAddr,
    service: Arc<str>,
    instance: Option<Arc<str>>,
    idle: Mutex<Vec<PooledConnection>>,
    permits: Arc<Semaphore>,
}

impl UpstreamPool {
    /// A pool of at most `max_connections` to `addr`, where that instance listens if it has a name.
    #[must_use]
    pub fn new(
        addr: SocketAddr,
        service: Arc<str>,
        instance: Option<Arc<str>>,
        max_connections: u32,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        Self { addr, service, instance, idle: Mutex::new(Vec::new()), permits }
    }

    /// Service that the upstream serves.
    #[must_use]
    pub const fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Name of the instance that listens there, if it has one.
    #[must_use]
    pub const fn instance(&self) -> Option<&Arc<str>> {
        self.instance.as_ref()
    }

    /// Where the upstream listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a call and waits for the header section of the answer.
    ///
    /// The connection in use stands in `held` from before the first byte is written, so
    /// that whoever gives the call up can see the upstream let go of it.
    ///
    /// # Errors
    ///
    /// When no connection can be had or the one used fails. A request that was never
    /// written is sent over other connections until none of the idle ones is left.
    pub async fn send(
        &self,
        mut request: Request<CallBody>,
        held: &mut Option<PooledConnection>,
    ) -> Result<Response<Incoming>> {
        loop {
            let (connection, reused) = self.checkout().await?;
            let sent = held.insert(connection).sender.try_send_request(request);
            match sent.await {
                Ok(response) => return Ok(response),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return NotWrittenSnafu.fail(),
                    None => return Err(UpstreamError::Lost { source: failure.into_error() }),
                },
            }
        }
    }

    /// Gives a connection back whose answer was read to the end.
    pub fn return_connection(&self, mut connection: PooledConnection) {
        if !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.idle.lock().push(connection);
        }
    }

    /// A connection went silent: those as old may have gone the same way and are not used again.
    pub fn discard_older_idle(&self, connection: &PooledConnection) {
        self.idle.lock().retain(|idle| idle.opened > connection.opened);
    }

    async fn checkout(&self) -> Result<(PooledConnection, bool)> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok((connection, true));
            }
        }
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let permit = permit.map_err(|_all_taken| UpstreamError::Exhausted)?;
        Ok((connect(self.addr, permit).await?, false))
    }

    /// The idle connection used last, unless all have been idle for too long.
    fn pop_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.lock();
        let connection = idle.pop()?;
        if connection.idle_since.elapsed() < MAX_IDLE {
            return Some(connection);
        }
        idle.clear();
        None
    }
}

async fn connect(addr: SocketAddr, permit: OwnedSemaphorePermit) -> Result<PooledConnection> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_elapsed| UpstreamError::ConnectTimeout)?.context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    // A slot stays taken until the upstream has let go, which a silent connection never tells.
    probe_when_idle(&stream).context(ConnectSnafu)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
    let let_go = CancellationToken::new();
    tokio::spawn(drive(connection, permit, let_go.clone().drop_guard()));
    let now = Instant::now();
    Ok(PooledConnection { sender, let_go, opened: now, idle_since: now })
}

/// Drives a connection to its end and then waits for the upstream to close it too.
async fn drive(
    mut connection: Connection<TokioIo<TcpStream>, CallBody>,
    permit: OwnedSemaphorePermit,
    let_go: DropGuard,
) {
    let ended = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    if let Err(error) = ended {
        log::debug!("upstream connection ended; error={error}");
    }
    wait_closed(connection.into_parts().io.into_inner()).await;
    drop(let_go);
    drop(permit);
}

/// Says that nothing more comes and reads until the upstream says the same.
async fn wait_closed(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0; DISCARD_BYTES];
    while stream.read(&mut rest).await.is_ok_and(|read| read > 0) {}
}
