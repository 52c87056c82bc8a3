//! Detects connections that no longer carry data although both ends consider them open.
//!
//! The HTTP/2 library sends pings while calls are outstanding, so that a healthy peer is never
//! silent for longer than [`PING_INTERVAL`] and a round trip. A connection that is gets closed.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::transport::peer_security::PeerStream;

/// Silence after which the HTTP/2 library sends a ping while calls are outstanding.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Idle time after which the kernel sends the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes that are not acknowledged.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which the kernel closes the connection.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the kernel closes the connection.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Enables TCP keepalive and a limit on unacknowledged data, so that the kernel closes dead connections.
///
/// # Errors
///
/// Returns an error if the system rejects a socket option.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(MAX_UNACKNOWLEDGED))
}

/// Lower bound on the time that the answer to a ping may take.
const MIN_PING_TIMEOUT: Duration = Duration::from_millis(200);
/// Upper bound on the time that the answer to a ping may take.
const MAX_PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the answer to a ping may take, in round trips of the connection.
const PING_TIMEOUT_ROUND_TRIPS: u32 = 8;
/// Interval between checks of a connection for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Weight of a longer round-trip sample, as a right shift: 1/32.
const SMOOTHING_SHIFT: u32 = 5;
/// Time that is never reached; value of `unanswered_since_us` while no write awaits a read.
const NEVER_US: u64 = u64::MAX;

/// Traffic of one connection, recorded by its read and write halves without locks.
///
/// Times are in microseconds since `created_at`.
#[derive(Debug)]
struct Traffic {
    created_at: Instant,
    /// Time of the last read.
    read_at_us: AtomicU64,
    /// Time of the first write or call since the last read, or [`NEVER_US`].
    unanswered_since_us: AtomicU64,
    /// Estimated round-trip time.
    round_trip_us: AtomicU64,
    /// Number of requests that await a response.
    outstanding: AtomicU32,
}

/// Counter of the requests that await a response over one connection.
#[derive(Clone, Debug)]
pub struct OutstandingRequests {
    traffic: Arc<Traffic>,
}

/// Request whose response has not begun; a connection without such requests may be silent.
#[derive(Debug)]
pub struct PendingResponse {
    traffic: Arc<Traffic>,
}

impl OutstandingRequests {
    /// Counts a request that is about to be sent, until the returned guard is dropped.
    #[must_use]
    pub fn start_request(&self) -> PendingResponse {
        if self.traffic.outstanding.fetch_add(1, Ordering::Relaxed) == 0 {
            self.traffic.unanswered_since_us.store(self.traffic.now_us(), Ordering::Relaxed);
        }
        PendingResponse { traffic: Arc::clone(&self.traffic) }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.traffic.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Traffic {
    fn new(round_trip: Duration) -> Self {
        Self {
            created_at: Instant::now(),
            read_at_us: AtomicU64::new(0),
            unanswered_since_us: AtomicU64::new(NEVER_US),
            round_trip_us: AtomicU64::new(micros(round_trip)),
            outstanding: AtomicU32::new(0),
        }
    }

    fn now_us(&self) -> u64 {
        micros(self.created_at.elapsed())
    }

    /// Records that data was written.
    fn record_write(&self) {
        if self.unanswered_since_us.load(Ordering::Relaxed) == NEVER_US {
            self.unanswered_since_us.store(self.now_us(), Ordering::Relaxed);
        }
    }

    /// Records that data was read, and samples the round trip if a write awaited it.
    fn record_read(&self) {
        let now_us = self.now_us();
        self.read_at_us.store(now_us, Ordering::Relaxed);
        let since_us = self.unanswered_since_us.swap(NEVER_US, Ordering::Relaxed);
        if since_us != NEVER_US {
            self.record_round_trip(now_us.saturating_sub(since_us));
        }
    }

    /// Updates the round-trip estimate.
    ///
    /// A shorter sample replaces it at once. A longer one, which includes service time, moves it slowly.
    fn record_round_trip(&self, sample_us: u64) {
        let old_us = self.round_trip_us.load(Ordering::Relaxed);
        let new_us =
            if sample_us < old_us { sample_us } else { old_us + ((sample_us - old_us) >> SMOOTHING_SHIFT) };
        self.round_trip_us.store(new_us, Ordering::Relaxed);
    }

    /// Returns the time that the answer to a ping may take.
    fn ping_timeout(&self) -> Duration {
        let round_trip = Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed));
        (round_trip * PING_TIMEOUT_ROUND_TRIPS).clamp(MIN_PING_TIMEOUT, MAX_PING_TIMEOUT)
    }

    /// Returns whether calls await a response and nothing was read for longer than a ping may take.
    fn is_silent(&self) -> bool {
        let since_us = self.unanswered_since_us.load(Ordering::Relaxed);
        if since_us == NEVER_US || self.outstanding.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let silent_since_us = since_us.max(self.read_at_us.load(Ordering::Relaxed));
        self.now_us().saturating_sub(silent_since_us) > micros(PING_INTERVAL + self.ping_timeout())
    }
}

/// Stream on which reads fail once it was silent for too long.
#[derive(Debug)]
pub struct WatchedStream {
    stream: PeerStream,
    traffic: Arc<Traffic>,
    /// Cancelled when the stream is dropped.
    closed: CancellationToken,
    /// Completes when the connection was silent for too long.
    silent: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl WatchedStream {
    /// Creates a watched stream; `round_trip` is the time that opening the connection took.
    #[must_use]
    pub fn new(stream: PeerStream, round_trip: Duration) -> Self {
        let traffic = Arc::new(Traffic::new(round_trip));
        let closed = CancellationToken::new();
        let silent = CancellationToken::new();
        tokio::spawn(watch(Arc::clone(&traffic), closed.clone(), silent.clone()));
        Self { stream, traffic, closed, silent: Box::pin(silent.cancelled_owned()) }
    }
}

impl WatchedStream {
    /// Returns the counter of requests that await a response over this connection.
    #[must_use]
    pub fn outstanding(&self) -> OutstandingRequests {
        OutstandingRequests { traffic: Arc::clone(&self.traffic) }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

/// Cancels `silent` when the connection was silent for too long, and ends when it is closed.
async fn watch(traffic: Arc<Traffic>, closed: CancellationToken, silent: CancellationToken) {
    loop {
        tokio::select! {
            () = closed.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if traffic.is_silent() {
            log::warn!("closing a silent connection; patience={:?}", traffic.ping_timeout());
            return silent.cancel();
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.silent.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the connection is silent")));
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if polled.is_ready() {
            self.traffic.record_read();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.traffic.record_write();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.traffic.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(NEVER_US)
}
