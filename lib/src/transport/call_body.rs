//! Request and response bodies of calls, streamed or buffered, without dynamic dispatch.

use std::fmt::Display;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Largest body of known size that is received completely before it is forwarded, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;
/// Largest part of a body of unknown size that is delivered after its deadline, in bytes.
///
/// What has arrived by then is delivered, but such a body may never end.
const MAX_BYTES_AFTER_DEADLINE: u64 = 64 * 1024;

/// Error type that hyper accepts from a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Reason why a body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection that carried it failed.
    #[snafu(display("the body was cut short: {source}"))]
    Truncated {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The deadline of the call passed before the body ended.
    #[snafu(display("the deadline passed before the body ended"))]
    DeadlineExceeded,
    /// The body exceeds the size that the service accepts.
    #[snafu(display("the body is larger than {limit_bytes} bytes"))]
    TooLarge {
        /// Largest accepted size.
        limit_bytes: u64,
    },
}

/// A body that is buffered in memory or streamed from a connection.
#[derive(Debug)]
pub enum CallBody {
    /// A complete body in memory; reading it consumes its parts.
    Buffered {
        /// The data, unless empty or already read.
        data: Option<Bytes>,
        /// The trailers, unless absent or already read.
        trailers: Option<Box<HeaderMap>>,
    },
    /// A streamed body with a limit of its size.
    Stream {
        /// Body of the incoming message.
        incoming: Incoming,
        /// Bytes that may still follow.
        remaining_bytes: u64,
        /// Largest accepted size of the whole body.
        limit_bytes: u64,
        /// Timer of the deadline by which the body has to end.
        deadline: Option<Pin<Box<Sleep>>>,
        /// Shared record of an exceeded limit, read by the task that forwards the body.
        limit_flag: Option<Arc<BodyLimitFlag>>,
        /// Shared count of the bytes that were read from the body.
        streamed_bytes: Option<Arc<StreamedBytes>>,
    },
}

/// Shared record of whether a streamed body exceeded its limit while another task forwards it.
#[derive(Debug, Default)]
pub struct BodyLimitFlag {
    exceeded: AtomicBool,
}

impl BodyLimitFlag {
    /// Returns whether the body exceeded its limit and was truncated.
    #[must_use]
    pub fn exceeded(&self) -> bool {
        self.exceeded.load(Ordering::Acquire)
    }
}

/// Shared count of the bytes of a streamed body while another task forwards it.
#[derive(Debug, Default)]
pub struct StreamedBytes {
    count: AtomicU64,
}

impl StreamedBytes {
    /// Returns the number of bytes read from the body so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

impl CallBody {
    /// Starts to count the bytes read from a streamed body; returns `None` for a buffered one.
    #[must_use]
    pub fn count_streamed_bytes(&mut self) -> Option<Arc<StreamedBytes>> {
        match self {
            Self::Buffered { .. } => None,
            Self::Stream { streamed_bytes, .. } => Some(Arc::clone(streamed_bytes.get_or_insert_default())),
        }
    }

    /// Creates a streamed body of any size.
    #[must_use]
    pub const fn unlimited(incoming: Incoming) -> Self {
        Self::Stream {
            incoming,
            remaining_bytes: u64::MAX,
            limit_bytes: u64::MAX,
            deadline: None,
            limit_flag: None,
            streamed_bytes: None,
        }
    }

    /// Creates a streamed body that has to end by the deadline.
    #[must_use]
    pub fn with_deadline(incoming: Incoming, deadline: Instant) -> Self {
        let deadline = Some(Box::pin(tokio::time::sleep_until(deadline)));
        Self::Stream {
            incoming,
            remaining_bytes: u64::MAX,
            limit_bytes: u64::MAX,
            deadline,
            limit_flag: None,
            streamed_bytes: None,
        }
    }

    /// Creates a streamed body of at most `limit_bytes`.
    #[must_use]
    pub const fn limited(incoming: Incoming, limit_bytes: u64, limit_flag: Arc<BodyLimitFlag>) -> Self {
        Self::Stream {
            incoming,
            remaining_bytes: limit_bytes,
            limit_bytes,
            deadline: None,
            limit_flag: Some(limit_flag),
            streamed_bytes: None,
        }
    }

    /// Creates a buffered body from its complete data and trailers.
    #[must_use]
    pub fn buffered(data: Bytes, trailers: Option<HeaderMap>) -> Self {
        Self::Buffered { data: (!data.is_empty()).then_some(data), trailers: trailers.map(Box::new) }
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self::buffered(bytes, None)
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered { data, trailers } => {
                let data = data.take().map(Frame::data);
                let frame = data.or_else(|| trailers.take().map(|trailers| Frame::trailers(*trailers)));
                Poll::Ready(frame.map(Ok))
            }
            Self::Stream { incoming, remaining_bytes, limit_bytes, deadline, limit_flag, streamed_bytes } => {
                let is_overdue =
                    deadline.as_mut().is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready());
                if is_overdue && incoming.size_hint().exact().is_none() {
                    *remaining_bytes = (*remaining_bytes).min(MAX_BYTES_AFTER_DEADLINE);
                }
                let polled = Pin::new(incoming).poll_frame(cx);
                if is_overdue && polled.is_pending() {
                    return Poll::Ready(Some(DeadlineExceededSnafu.fail()));
                }
                let before = *remaining_bytes;
                let polled =
                    polled.map(|frame| frame.map(|frame| count_bytes(frame, remaining_bytes, *limit_bytes)));
                if let Some(streamed_bytes) = streamed_bytes {
                    streamed_bytes.count.fetch_add(before - *remaining_bytes, Ordering::Relaxed);
                }
                if let (Poll::Ready(Some(Err(BodyError::TooLarge { .. }))), Some(limit_flag)) =
                    (&polled, limit_flag)
                {
                    limit_flag.exceeded.store(true, Ordering::Release);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered { data, trailers } => data.is_none() && trailers.is_none(),
            Self::Stream { incoming, .. } => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            // Trailers can't follow a body of declared length in HTTP/1.1.
            Self::Buffered { trailers: Some(_), .. } => SizeHint::default(),
            Self::Buffered { data, .. } => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream { incoming, .. } => incoming.size_hint(),
        }
    }
}

/// Receives a small response completely, so that a truncated one is an error and not a partial response.
///
/// A response of unknown size or of more than [`MAX_BUFFERED_BODY_BYTES`] is streamed and has to end by
/// `deadline`.
///
/// # Errors
///
/// Fails when the small response is truncated.
pub async fn buffer_if_small(
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<Response<CallBody>, BodyError> {
    let (head, body) = response.into_parts();
    if body.size_hint().exact().is_none_or(|size| size > MAX_BUFFERED_BODY_BYTES) {
        return Ok(Response::from_parts(head, CallBody::with_deadline(body, deadline)));
    }
    let collected = body.collect().await.context(TruncatedSnafu)?;
    let trailers = collected.trailers().cloned();
    Ok(Response::from_parts(head, CallBody::buffered(collected.to_bytes(), trailers)))
}

/// Subtracts the size of a frame from the remaining bytes.
///
/// # Errors
///
/// Fails when the frame could not be read or exceeds the remaining bytes.
fn count_bytes(
    frame: Result<Frame<Bytes>, hyper::Error>,
    remaining_bytes: &mut u64,
    limit_bytes: u64,
) -> Result<Frame<Bytes>, BodyError> {
    let frame = frame.map_err(|source| BodyError::Truncated { source })?;
    let size = frame.data_ref().map_or(0, |data| data.len() as u64);
    *remaining_bytes = remaining_bytes.checked_sub(size).ok_or(BodyError::TooLarge { limit_bytes })?;
    Ok(frame)
}

/// Observer of the end of a body.
pub trait BodyGuard {
    /// Called at most once when the body ends, with whether it is complete.
    fn ended(&mut self, complete: bool);

    /// Called in place of [`Self::ended`] when the body breaks off with an error.
    fn aborted(&mut self, _error: &impl Display) {
        self.ended(false);
    }

    /// Called in place of [`Self::ended`] when the body is dropped before its end.
    fn dropped(&mut self) {
        self.ended(false);
    }
}

/// A body that notifies its guard how it ended.
///
/// An error is delayed by one poll, so that a server first sends the preceding data: the reader then receives
/// a truncated answer rather than a connection that closes without one.
#[derive(Debug)]
pub struct GuardedBody<B, G>
where
    B: Body,
    G: BodyGuard,
{
    inner: B,
    guard: G,
    notified: bool,
    pending_error: Option<B::Error>,
}

impl<B, G> GuardedBody<B, G>
where
    B: Body,
    G: BodyGuard,
{
    /// Wraps a body; the guard of an empty body is notified immediately.
    pub fn new(inner: B, guard: G) -> Self {
        let mut body = Self { inner, guard, notified: false, pending_error: None };
        if body.inner.is_end_stream() {
            body.notify_end();
        }
        body
    }
}

impl<B, G> GuardedBody<B, G>
where
    B: Body,
    G: BodyGuard,
{
    /// Returns the guard until it has been notified.
    pub fn waiting_guard(&mut self) -> Option<&mut G> {
        (!self.notified).then_some(&mut self.guard)
    }

    fn notify_end(&mut self) {
        if !self.notified {
            self.notified = true;
            self.guard.ended(true);
        }
    }

    fn notify_aborted(&mut self, error: &B::Error)
    where
        B::Error: Display,
    {
        if !self.notified {
            self.notified = true;
            self.guard.aborted(error);
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body<Error: Display + Unpin> + Unpin,
    G: BodyGuard + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        if let Some(error) = this.pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
            Some(Err(error)) => {
                this.notify_aborted(&error);
                this.pending_error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(Ok(frame)) => {
                if this.inner.is_end_stream() {
                    this.notify_end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            None => {
                this.notify_end();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.pending_error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, G> Drop for GuardedBody<B, G>
where
    B: Body,
    G: BodyGuard,
{
    fn drop(&mut self) {
        if !self.notified {
            self.notified = true;
            self.guard.dropped();
        }
    }
}
