//! Pool of HTTP/1.1 connections from a gate to the upstream on its VM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
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
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::log_event_limited;
use crate::protocol::check_in::UpstreamIncarnation;
use crate::protocol::external_fields::UpstreamNotice;
use crate::protocol::final_status::is_final_status;
use crate::transport::call_body::BodyError;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::MAX_BUFFERED_BODY_BYTES;
use crate::transport::call_body::StreamedBytes;
use crate::transport::silence_watch::enable_keepalive;

/// Result of sending a call to the upstream.
pub type Result<T, E = UpstreamError> = std::result::Result<T, E>;

/// Time within which the upstream has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Size of the buffer for input that is discarded while a connection closes.
const DISCARD_BUFFER_BYTES: usize = 8_192;

/// Input that is discarded while a connection closes before it is reset, in bytes.
const MAX_DISCARDED_BYTES: usize = 1_048_576;

/// Time for which input is discarded while a connection closes before it is reset, from the first byte on.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// Largest header section of a response, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

/// Start of every HTTP/1 status line.
const STATUS_LINE_START: &[u8] = b"HTTP/";

/// Longest part of a status line that is logged, in bytes.
const MAX_LOGGED_STATUS_LINE_BYTES: usize = 40;

/// Error of a call that got no complete response from the upstream.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// No connection could be opened, so no byte of the call was written.
    #[snafu(display("cannot connect to the upstream"))]
    Connect {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The upstream did not accept a connection in time, so no byte of the call was written.
    #[snafu(display("the upstream did not accept a connection in time"))]
    ConnectTimeout,
    /// The connection failed in the handshake, so no byte of the call was written.
    #[snafu(display("the connection to the upstream failed at once"))]
    Handshake {
        /// Error reported by hyper.
        source: hyper::Error,
    },
    /// The maximum number of connections is open and none is idle.
    #[snafu(display("all connections to the upstream are in use"))]
    Exhausted,
    /// The gate stopped admitting calls while a connection was opened, so no byte of the call was written.
    #[snafu(display("the gate stopped admitting calls before the call was sent"))]
    Draining,
    /// The connection failed before a byte of the call was written.
    #[snafu(display("the connection closed before the call was written"))]
    NotWritten,
    /// The connection failed after the call may have been written.
    #[snafu(display("the connection failed while the upstream had the call"))]
    Lost {
        /// Error reported by hyper.
        source: hyper::Error,
    },
    /// The status of the response is not final, so the connection is unusable and the call may have been executed.
    #[snafu(display("the upstream answered with status {status}, which is not final", status = status.as_u16()))]
    NoFinalStatus {
        /// Status of the response.
        status: StatusCode,
    },
    /// The head of the response is not valid HTTP, and the call may have been executed.
    #[snafu(display("the upstream's answer is unreadable: {source}"))]
    UnreadableResponse {
        /// Error reported by hyper.
        source: hyper::Error,
    },
    /// The response ended before it was complete.
    #[snafu(display("the upstream's answer broke off"), visibility(pub(crate)))]
    IncompleteResponse {
        /// Error of the response body.
        source: BodyError,
    },
}

impl UpstreamError {
    /// Returns whether the error proves that the upstream never received the call.
    #[must_use]
    pub const fn proves_not_executed(&self) -> bool {
        !matches!(self, Self::Lost { .. } | Self::IncompleteResponse { .. }) && !self.is_no_final_response()
    }

    /// Returns whether the upstream sent something other than a final response.
    #[must_use]
    pub const fn is_no_final_response(&self) -> bool {
        matches!(self, Self::NoFinalStatus { .. } | Self::UnreadableResponse { .. })
    }

    /// Returns the status code of a response that is not final, or `unreadable`.
    #[must_use]
    pub fn status_text(&self) -> String {
        match self {
            Self::NoFinalStatus { status } => status.as_u16().to_string(),
            _ => "unreadable".to_owned(),
        }
    }

    /// Returns whether the connection failed as when an upstream restarts: refused, ended, or without a final response.
    #[must_use]
    pub const fn is_connection_failure(&self) -> bool {
        !matches!(self, Self::ConnectTimeout | Self::Exhausted | Self::Draining)
    }
}

/// Connection that is ready for one call.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<CallBody>,
    /// Cancelled when the upstream has closed the connection.
    closed_by_upstream: CancellationToken,
    /// Task that drives the connection and waits until the upstream has closed it.
    driver: AbortHandle,
    opened_at: Instant,
    idle_since: Instant,
    /// Bytes of the streamed body that were handed to the connection; `None` if its call had a buffered body.
    streamed_bytes: Option<Arc<StreamedBytes>>,
}

impl PooledConnection {
    /// Returns whether the upstream may still have to read a long body before it reads the next call.
    ///
    /// An upstream may answer before it has read the body, and what it has not read may fill the buffers of the
    /// system, where no one can tell it from what it has read.
    fn may_have_unread_body(&self) -> bool {
        self.streamed_bytes.as_ref().is_some_and(|streamed| streamed.get() > MAX_BUFFERED_BODY_BYTES)
    }

    /// Closes the connection and waits until the upstream has closed it as well.
    ///
    /// Gate and upstream run on one VM, so its kernel always reports when either side is gone.
    pub async fn close(self) {
        drop(self.sender);
        self.closed_by_upstream.cancelled().await;
    }

    /// Closes the connection like [`Self::close`], but resets it at `latest_end`.
    ///
    /// An upstream may neither answer a request nor close its connection. `latest_end` has to be a time at which
    /// it has certainly given the request up.
    pub async fn close_until(self, latest_end: Instant) {
        let driver = self.driver.clone();
        if tokio::time::timeout_at(latest_end, self.close()).await.is_err() {
            log_event_limited!(Info, "upstream connection reset, since the upstream did not close it");
            driver.abort();
        }
    }
}

/// Pool of idle connections to one upstream, with a limit on open connections.
#[derive(Debug)]
pub struct UpstreamPool {
    addr: SocketAddr,
    service: Arc<str>,
    incarnation: Option<UpstreamIncarnation>,
    idle: Mutex<Vec<PooledConnection>>,
    permits: Arc<Semaphore>,
    /// State that the upstream announced with its latest answer; `None` before the first one.
    notice: Mutex<Option<UpstreamNotice>>,
    sent_requests: AtomicU64,
    /// Whether the gate has probed the upstream, which may not have answered yet.
    probed: AtomicBool,
}

impl UpstreamPool {
    /// Creates a pool of at most `max_connections` connections to `addr`.
    ///
    /// `incarnation` is that of the upstream that listens at `addr`, if it is known.
    #[must_use]
    pub fn new(
        addr: SocketAddr,
        service: Arc<str>,
        incarnation: Option<UpstreamIncarnation>,
        max_connections: u32,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(max_connections as usize));
        Self {
            addr,
            service,
            incarnation,
            idle: Mutex::new(Vec::new()),
            permits,
            notice: Mutex::default(),
            sent_requests: AtomicU64::new(0),
            probed: AtomicBool::new(false),
        }
    }

    /// Returns the service that the upstream serves.
    #[must_use]
    pub const fn service(&self) -> &Arc<str> {
        &self.service
    }

    /// Returns the name of the upstream instance, if it has one.
    #[must_use]
    pub fn instance(&self) -> Option<&Arc<str>> {
        self.incarnation.as_ref().map(|incarnation| &incarnation.instance)
    }

    /// Returns the incarnation of the upstream, if it is known.
    #[must_use]
    pub const fn incarnation(&self) -> Option<&UpstreamIncarnation> {
        self.incarnation.as_ref()
    }

    /// Returns the address on which the upstream listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the state that the upstream announced with its latest answer, or `None` before the first one.
    #[must_use]
    pub fn notice(&self) -> Option<UpstreamNotice> {
        *self.notice.lock()
    }

    /// Records the state that the upstream announced, and returns the new state and the one before.
    ///
    /// An upstream that drains never returns to work: an answer that says otherwise was made before.
    pub fn record_notice(&self, notice: UpstreamNotice) -> (UpstreamNotice, Option<UpstreamNotice>) {
        let mut current = self.notice.lock();
        let was_draining = current.is_some_and(|current| current.draining);
        let notice = UpstreamNotice { draining: notice.draining || was_draining, ..notice };
        (notice, current.replace(notice))
    }

    /// Returns whether the upstream has announced that it drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.notice().is_some_and(|notice| notice.draining)
    }

    /// Records that the upstream is probed.
    pub fn record_probe(&self) {
        self.probed.store(true, Ordering::Relaxed);
    }

    /// Returns whether the upstream has been probed.
    #[must_use]
    pub fn is_probed(&self) -> bool {
        self.probed.load(Ordering::Relaxed)
    }

    /// Returns the number of requests sent to the upstream, those of the gate itself included.
    #[must_use]
    pub fn sent_requests(&self) -> u64 {
        self.sent_requests.load(Ordering::Relaxed)
    }

    /// Sends a call and returns the response once its header section has arrived.
    ///
    /// The call is sent at once over an idle connection, or over a new one that has to be open at `connect_by`.
    /// `may_still_send` is asked after the wait for a new connection.
    ///
    /// The connection is stored in `in_use` before the first byte is written, so that code that
    /// abandons the call can wait until the upstream has closed the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is available, the one used fails, the call may not be sent any more or the
    /// response is not final. The connection of such a response remains in `in_use`, and the caller closes it.
    /// A request of which no byte was written is first retried on the other idle connections and then on a new
    /// one.
    pub async fn send<F>(
        &self,
        mut request: Request<CallBody>,
        connect_by: Instant,
        may_still_send: F,
        in_use: &mut Option<PooledConnection>,
    ) -> Result<Response<Incoming>>
    where
        F: Fn() -> bool,
    {
        self.sent_requests.fetch_add(1, Ordering::Relaxed);
        let streamed_bytes = request.body_mut().count_streamed_bytes();
        loop {
            let (mut connection, reused) = match self.pop_ready() {
                Some(connection) => (connection, true),
                None => (self.open(connect_by).await?, false),
            };
            if !reused && !may_still_send() {
                return DrainingSnafu.fail();
            }
            connection.streamed_bytes.clone_from(&streamed_bytes);
            let sent = in_use.insert(connection).sender.try_send_request(request);
            match sent.await {
                Ok(response) if is_final_status(response.status()) => return Ok(response),
                Ok(response) => return NoFinalStatusSnafu { status: response.status() }.fail(),
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return NotWrittenSnafu.fail(),
                    None => return Err(failed_after_write(failure.into_error())),
                },
            }
        }
    }

    /// Takes back a connection after its response was read to the end.
    ///
    /// It is idle only when it can carry the next call at once. While the request body is still being sent, a
    /// task waits for its end, and closes the connection if it takes longer than until `upload_end`. A
    /// connection that carried a long body is closed, since the upstream may not have read the body yet.
    pub fn return_connection(self: &Arc<Self>, connection: PooledConnection, upload_end: Instant) {
        if connection.sender.is_ready() {
            self.keep_or_close(connection);
        } else if !connection.sender.is_closed() {
            tokio::spawn(Arc::clone(self).finish_upload(connection, upload_end));
        }
    }

    /// Waits until the request body was sent, and then keeps or closes the connection.
    async fn finish_upload(self: Arc<Self>, mut connection: PooledConnection, upload_end: Instant) {
        match tokio::time::timeout_at(upload_end, connection.sender.ready()).await {
            Ok(Ok(())) => self.keep_or_close(connection),
            Ok(Err(error)) => log::debug!("upload ended with its connection; error={error}"),
            Err(_) => {
                log_event_limited!(Info, "upload cut, since it was answered and goes on after its deadline");
                connection.driver.abort();
            }
        }
    }

    /// Keeps a ready connection as idle, or closes it if the upstream may still have to read a long body.
    fn keep_or_close(&self, mut connection: PooledConnection) {
        if connection.may_have_unread_body() {
            return;
        }
        connection.streamed_bytes = None;
        connection.idle_since = Instant::now();
        self.idle.lock().push(connection);
    }

    /// Discards idle connections at least as old as the given silent one, since they may be dead too.
    pub fn discard_older_idle(&self, connection: &PooledConnection) {
        self.idle.lock().retain(|idle| idle.opened_at > connection.opened_at);
    }

    /// Returns an idle connection that can carry a call at once, and discards those that the upstream has closed.
    fn pop_ready(&self) -> Option<PooledConnection> {
        std::iter::from_fn(|| self.pop_idle()).find(|connection| connection.sender.is_ready())
    }

    /// Opens a connection, for which `connect_by` is the latest time.
    async fn open(&self, connect_by: Instant) -> Result<PooledConnection> {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        let permit = permit.map_err(|_no_permit| UpstreamError::Exhausted)?;
        connect(self.addr, connect_by, permit).await
    }

    /// Returns the idle connection used last, or discards all if even that one was idle for too long.
    fn pop_idle(&self) -> Option<PooledConnection> {
        let mut idle = self.idle.lock();
        let connection = idle.pop()?;
        if connection.idle_since.elapsed() < MAX_IDLE_TIME {
            return Some(connection);
        }
        idle.clear();
        None
    }
}

/// Returns the error for a connection that failed after the call may have been written.
fn failed_after_write(source: hyper::Error) -> UpstreamError {
    if source.is_parse() {
        UpstreamError::UnreadableResponse { source }
    } else {
        UpstreamError::Lost { source }
    }
}

/// Opens a connection, which keeps `permit` until the upstream has closed it.
async fn connect(
    addr: SocketAddr,
    connect_by: Instant,
    permit: OwnedSemaphorePermit,
) -> Result<PooledConnection> {
    let connect_by = connect_by.min(Instant::now() + CONNECT_TIMEOUT);
    let connecting = tokio::time::timeout_at(connect_by, TcpStream::connect(addr));
    let stream = connecting.await.map_err(|_elapsed| UpstreamError::ConnectTimeout)?.context(ConnectSnafu)?;
    stream.set_nodelay(true).context(ConnectSnafu)?;
    // A slot stays occupied until the upstream closes the connection; on a dead connection only
    // keepalive ends that wait.
    enable_keepalive(&stream).context(ConnectSnafu)?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .context(HandshakeSnafu)?;
    let closed_by_upstream = CancellationToken::new();
    let driving = tokio::spawn(drive(addr, connection, permit, closed_by_upstream.clone().drop_guard()));
    let driver = driving.abort_handle();
    let now = Instant::now();
    Ok(PooledConnection {
        sender,
        closed_by_upstream,
        driver,
        opened_at: now,
        idle_since: now,
        streamed_bytes: None,
    })
}

/// Drives a connection to its end and then waits until the upstream has closed it too.
async fn drive(
    addr: SocketAddr,
    mut connection: Connection<TokioIo<TcpStream>, CallBody>,
    permit: OwnedSemaphorePermit,
    closed_by_upstream: DropGuard,
) {
    let ended = std::future::poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    if let Err(error) = ended {
        log::debug!("upstream connection failed; error={error}");
    }
    let parts = connection.into_parts();
    log_unread_status_line(addr, &parts.read_buf);
    wait_closed(parts.io.into_inner()).await;
    drop(closed_by_upstream);
    drop(permit);
}

/// Logs the status line of a response that a connection ended without reading.
///
/// Input of another form may be part of a body and is not logged.
fn log_unread_status_line(addr: SocketAddr, unread: &[u8]) {
    if !unread.starts_with(STATUS_LINE_START) {
        return;
    }
    let line = unread.split(|byte| matches!(byte, b'\r' | b'\n')).next().unwrap_or_default();
    let logged = line.get(..MAX_LOGGED_STATUS_LINE_BYTES).unwrap_or(line);
    log_event_limited!(
        Warn,
        "upstream connection ended at an unreadable or unrequested response",
        addr = addr,
        status_line = String::from_utf8_lossy(logged),
    );
}

/// Closes the sending side and discards input until the upstream closes its side.
///
/// An upstream that sends nothing may be executing the call still, so the wait has no end of its own. One
/// that sends on is answered by a reset after [`MAX_DISCARDED_BYTES`] or [`MAX_DISCARD_TIME`].
async fn wait_closed(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let Ok(first_bytes @ 1..) = stream.read(&mut buffer).await else {
        return;
    };
    let discarding = discard_input(&mut stream, &mut buffer, first_bytes);
    if tokio::time::timeout(MAX_DISCARD_TIME, discarding).await != Ok(true) {
        log_event_limited!(Info, "upstream connection reset, since it sends without end");
    }
}

/// Discards input until the connection ends, and returns whether it did within [`MAX_DISCARDED_BYTES`].
async fn discard_input(stream: &mut TcpStream, buffer: &mut [u8], mut discarded_bytes: usize) -> bool {
    while discarded_bytes < MAX_DISCARDED_BYTES {
        match stream.read(buffer).await {
            Ok(read @ 1..) => discarded_bytes += read,
            _ => return true,
        }
    }
    false
}
