//! Bodies on the path of a call, streamed or kept, without dynamic dispatch.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use snafu::Snafu;

/// The error that hyper takes from any body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why a body ended early.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection that it came over failed.
    #[snafu(display("the body was cut short"))]
    Cut {
        /// What hyper said.
        source: hyper::Error,
    },
    /// It grew past the size that the service accepts.
    #[snafu(display("the body is larger than {limit_bytes} bytes"))]
    TooLarge {
        /// The size accepted.
        limit_bytes: u64,
    },
}

/// A body that is kept in memory or streams in.
#[derive(Debug)]
pub enum CallBody {
    /// The whole body; each part is gone once it was given out.
    Kept {
        /// The data, when there is any.
        data: Option<Bytes>,
        /// The trailers, when there are any.
        trailers: Option<Box<HeaderMap>>,
    },
    /// A body that streams in, with the number of bytes that it may still have.
    Stream {
        /// Where it comes from.
        incoming: Incoming,
        /// Bytes that may still come.
        left_bytes: u64,
        /// Bytes that were allowed at first.
        limit_bytes: u64,
        /// How the body fares, for who sent it on.
        watch: Option<Arc<BodyWatch>>,
    },
}

/// How a streamed body fares while another task sends it on.
#[derive(Debug, Default)]
pub struct BodyWatch {
    too_large: AtomicBool,
}

impl BodyWatch {
    /// Whether the body grew past its limit and was cut there.
    #[must_use]
    pub fn too_large(&self) -> bool {
        self.too_large.load(Ordering::Acquire)
    }
}

impl CallBody {
    /// A body that streams in and may have any size.
    #[must_use]
    pub const fn unlimited(incoming: Incoming) -> Self {
        Self::Stream { incoming, left_bytes: u64::MAX, limit_bytes: u64::MAX, watch: None }
    }

    /// A body that streams in and may have at most `limit_bytes`.
    #[must_use]
    pub const fn limited(incoming: Incoming, limit_bytes: u64, watch: Arc<BodyWatch>) -> Self {
        Self::Stream { incoming, left_bytes: limit_bytes, limit_bytes, watch: Some(watch) }
    }

    /// A body that was read to its end.
    #[must_use]
    pub fn kept(data: Bytes, trailers: Option<HeaderMap>) -> Self {
        Self::Kept { data: (!data.is_empty()).then_some(data), trailers: trailers.map(Box::new) }
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self::kept(bytes, None)
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
            Self::Kept { data, trailers } => {
                let data = data.take().map(Frame::data);
                let frame = data.or_else(|| trailers.take().map(|trailers| Frame::trailers(*trailers)));
                Poll::Ready(frame.map(Ok))
            }
            Self::Stream { incoming, left_bytes, limit_bytes, watch } => {
                let polled = Pin::new(incoming).poll_frame(cx);
                let polled = polled.map(|frame| frame.map(|frame| counted(frame, left_bytes, *limit_bytes)));
                if let (Poll::Ready(Some(Err(BodyError::TooLarge { .. }))), Some(watch)) = (&polled, watch) {
                    watch.too_large.store(true, Ordering::Release);
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Kept { data, trailers } => data.is_none() && trailers.is_none(),
            Self::Stream { incoming, .. } => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            // Trailers can't follow a body of declared length in HTTP/1.1.
            Self::Kept { trailers: Some(_), .. } => SizeHint::default(),
            Self::Kept { data, .. } => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Stream { incoming, .. } => incoming.size_hint(),
        }
    }
}

fn counted(
    frame: Result<Frame<Bytes>, hyper::Error>,
    left_bytes: &mut u64,
    limit_bytes: u64,
) -> Result<Frame<Bytes>, BodyError> {
    let frame = frame.map_err(|source| BodyError::Cut { source })?;
    let size = frame.data_ref().map_or(0, |data| data.len() as u64);
    *left_bytes = left_bytes.checked_sub(size).ok_or(BodyError::TooLarge { limit_bytes })?;
    Ok(frame)
}

/// What is told when a body ends.
pub trait BodyGuard {
    /// The body ended, whole or not; called at most once.
    fn ended(&mut self, whole: bool);

    /// The body was dropped before its end; called in place of [`Self::ended`].
    fn dropped(&mut self) {
        self.ended(false);
    }
}

/// A body that tells its guard how it ended.
#[derive(Debug)]
pub struct GuardedBody<B, G>
where
    G: BodyGuard,
{
    inner: B,
    guard: G,
    told: bool,
}

impl<B, G> GuardedBody<B, G>
where
    B: Body,
    G: BodyGuard,
{
    /// Guards a body; an empty one ends at once.
    pub fn new(inner: B, guard: G) -> Self {
        let mut body = Self { inner, guard, told: false };
        if body.inner.is_end_stream() {
            body.tell(true);
        }
        body
    }
}

impl<B, G> GuardedBody<B, G>
where
    G: BodyGuard,
{
    fn tell(&mut self, whole: bool) {
        if !self.told {
            self.told = true;
            self.guard.ended(whole);
        }
    }
}

impl<B, G> Body for GuardedBody<B, G>
where
    B: Body + Unpin,
    G: BodyGuard + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => this.tell(true),
            Poll::Ready(Some(Err(_))) => this.tell(false),
            Poll::Ready(Some(Ok(_))) if this.inner.is_end_stream() => this.tell(true),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B, G> Drop for GuardedBody<B, G>
where
    G: BodyGuard,
{
    fn drop(&mut self) {
        if !self.told {
            self.told = true;
            self.guard.dropped();
        }
    }
}
