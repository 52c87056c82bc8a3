//! Connections from a gate to the upstream beside it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::transport::call_body::CallBody;

/// Result of sending a call to the upstream.
pub type Result<T, E = UpstreamError> = std::result::Result<T, E>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
}

impl UpstreamError {
    /// Whether it is proved that the upstream never saw the call.
    #[must_use]
    pub const fn proves_not_executed(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}

/// A connection that is ready for one call.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<CallBody>,
    _permit: OwnedSemaphorePermit,
}

/// Idle connections to one upstream, limited in number.
#[derive(Debug)]
pub struct UpstreamPool {
    addr: SocketAddr,
    idle: Mutex<Vec<PooledConnection>>,
    permits: Arc<Semaphore>,
}

impl UpstreamPool {
    /// A pool of at most `max_connections` to `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, max_connections: u32) -> Self {
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        Self { addr, idle: Mutex::new(Vec::new()), permits }
    }

    /// Where the upstream listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a call and waits for the header section of the answer.
    ///
    /// # Errors
    ///
    /// When no connection can be had or the one used fails. A request that was never
    /// written is sent over other connections until none of the idle ones is left.
    pub async fn send(
        &self,
        mut request: Request<CallBody>,
    ) -> Result<(Response<Incoming>, PooledConnection)> {
        loop {
            let (mut connection, reused) = self.checkout().await?;
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return NotWrittenSnafu.fail(),
                    None => return Err(UpstreamError::Lost { source: failure.into_error() }),
                },
            }
        }
    }

    /// Gives a connection back whose answer was read to the end.
    pub fn give_back(&self, connection: PooledConnection) {
        if !connection.sender.is_closed() {
            self.idle.lock().push(connection);
        }
    }

    async fn checkout(&self) -> Result<(PooledConnection, bool)> {
        while let Some(mut connection) = self.pop_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok((connection, true));
            }
        }
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let permit = permit.map_err(|_all_taken| UpstreamError::Exhausted)?;
        let sender = connect(self.addr).await?;
        Ok((PooledConnection { sender, _permit: permit }, false))
    }

    fn pop_idle(&self) -> Option<PooledConnection> {
        self.idle.lock().pop()
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<CallBody>> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_elapsed| UpstreamError::ConnectTimeout)?.context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.context(HandshakeSnafu)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("upstream connection ended; error={error}");
        }
    });
    Ok(sender)
}
