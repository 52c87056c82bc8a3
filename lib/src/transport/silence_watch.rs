//! Finding connections on which nothing passes any more though both ends think them open.
//!
//! The HTTP/2 library pings while calls are outstanding, so that a healthy peer is never
//! silent for longer than [`PING_INTERVAL`] and a round trip. One that is gets closed.

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

/// Silence after which the library sends a ping while calls are outstanding.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);

/// Idle time after which the system probes a connection, and time between its probes.
const PROBE_IDLE: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const UNANSWERED_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged before the connection fails.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);

/// Lets the system find out that nothing passes any more over a connection.
///
/// # Errors
///
/// When the system refuses the options.
pub fn probe_when_idle(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_IDLE)
        .with_interval(PROBE_INTERVAL)
        .with_retries(UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

const MIN_PATIENCE: Duration = Duration::from_millis(200);
const MAX_PATIENCE: Duration = Duration::from_secs(1);
const ROUND_TRIPS_OF_PATIENCE: u32 = 8;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const SMOOTHING_SHIFT: u32 = 5;
const NEVER: u64 = u64::MAX;

/// What passed over one connection, written by its two halves without locks.
#[derive(Debug)]
struct Traffic {
    epoch: Instant,
    read_at_us: AtomicU64,
    unanswered_since_us: AtomicU64,
    round_trip_us: AtomicU64,
    outstanding: AtomicU32,
}

/// What passes over one connection, for who sends calls over it.
#[derive(Clone, Debug)]
pub struct Outstanding {
    traffic: Arc<Traffic>,
}

/// A call whose answer has not begun yet; only such a call makes silence suspicious.
#[derive(Debug)]
pub struct AwaitedAnswer {
    traffic: Arc<Traffic>,
}

impl Outstanding {
    /// Counts a call in that is about to be sent.
    #[must_use]
    pub fn begin(&self) -> AwaitedAnswer {
        if self.traffic.outstanding.fetch_add(1, Ordering::Relaxed) == 0 {
            self.traffic.unanswered_since_us.store(self.traffic.now_us(), Ordering::Relaxed);
        }
        AwaitedAnswer { traffic: Arc::clone(&self.traffic) }
    }
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        self.traffic.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Traffic {
    fn new(round_trip: Duration) -> Self {
        Self {
            epoch: Instant::now(),
            read_at_us: AtomicU64::new(0),
            unanswered_since_us: AtomicU64::new(NEVER),
            round_trip_us: AtomicU64::new(micros(round_trip)),
            outstanding: AtomicU32::new(0),
        }
    }

    fn now_us(&self) -> u64 {
        micros(self.epoch.elapsed())
    }

    fn wrote(&self) {
        if self.unanswered_since_us.load(Ordering::Relaxed) == NEVER {
            self.unanswered_since_us.store(self.now_us(), Ordering::Relaxed);
        }
    }

    fn read(&self) {
        let now_us = self.now_us();
        self.read_at_us.store(now_us, Ordering::Relaxed);
        let since_us = self.unanswered_since_us.swap(NEVER, Ordering::Relaxed);
        if since_us != NEVER {
            self.sample(now_us.saturating_sub(since_us));
        }
    }

    /// Follows shorter samples at once and longer ones, which hold service times, slowly.
    fn sample(&self, sample_us: u64) {
        let old_us = self.round_trip_us.load(Ordering::Relaxed);
        let new_us =
            if sample_us < old_us { sample_us } else { old_us + ((sample_us - old_us) >> SMOOTHING_SHIFT) };
        self.round_trip_us.store(new_us, Ordering::Relaxed);
    }

    /// Time that an answer to a ping may take.
    fn patience(&self) -> Duration {
        let round_trip = Duration::from_micros(self.round_trip_us.load(Ordering::Relaxed));
        (round_trip * ROUND_TRIPS_OF_PATIENCE).clamp(MIN_PATIENCE, MAX_PATIENCE)
    }

    fn is_silent(&self) -> bool {
        let since_us = self.unanswered_since_us.load(Ordering::Relaxed);
        if since_us == NEVER || self.outstanding.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let quiet_since_us = since_us.max(self.read_at_us.load(Ordering::Relaxed));
        self.now_us().saturating_sub(quiet_since_us) > micros(PING_INTERVAL + self.patience())
    }
}

/// A connection that fails once it was silent for too long.
#[derive(Debug)]
pub struct WatchedStream {
    stream: PeerStream,
    traffic: Arc<Traffic>,
    closed: CancellationToken,
    silent: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl WatchedStream {
    /// Watches a connection whose opening took `round_trip`.
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
    /// Counts the calls that wait for an answer over this connection.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        Outstanding { traffic: Arc::clone(&self.traffic) }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

async fn watch(traffic: Arc<Traffic>, closed: CancellationToken, silent: CancellationToken) {
    loop {
        tokio::select! {
            () = closed.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if traffic.is_silent() {
            log::warn!("connection silent; patience={:?}", traffic.patience());
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
            self.traffic.read();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.traffic.wrote();
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.traffic.wrote();
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
    u64::try_from(duration.as_micros()).unwrap_or(NEVER)
}
