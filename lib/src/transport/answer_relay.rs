//! An answer between the upstream that gives it and whoever reads it, now or again.
//!
//! A call that may run only once goes on when the connection that brought it is lost.
//! Its answer is collected here; the ingress that asks again reads it from the start.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::response::Parts;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio_util::sync::CancellationToken;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;

/// Largest answer that is kept whole, in bytes; a larger one can be read only once.
pub const MAX_KEPT_ANSWER_BYTES: usize = 256 * 1024;

/// Why the body of a relayed answer ended early.
#[derive(Clone, Copy, Debug, Snafu)]
pub enum RelayError {
    /// The upstream's answer broke off.
    #[snafu(display("the upstream's answer broke off"))]
    Cut,
    /// A part was dropped before this reader came to it.
    #[snafu(display("a part of the answer was dropped"))]
    Dropped,
}

#[derive(Clone, Debug)]
enum Piece {
    Data(Bytes),
    Trailers(HeaderMap),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Cut,
}

#[derive(Debug, Default)]
struct State {
    head: Option<Result<Parts, ErrorAnswer>>,
    pieces: VecDeque<Piece>,
    first: usize,
    held_bytes: usize,
    end: Option<End>,
    readers: usize,
    waiting_readers: Vec<Waker>,
    waiting_writer: Option<Waker>,
}

/// The answer of one call, written once and read by any number of readers.
#[derive(Debug, Default)]
pub struct AnswerRelay {
    state: Mutex<State>,
    /// Tells requests apart that carry the same key.
    fingerprint: u64,
    cancel: CancellationToken,
    asked_again: CancellationToken,
}

impl AnswerRelay {
    /// The relay for the answer to a request with that fingerprint.
    #[must_use]
    pub fn new(fingerprint: u64) -> Self {
        Self { fingerprint, ..Self::default() }
    }

    /// Fingerprint of the request that is answered.
    #[must_use]
    pub const fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Whether the call was refused with proof that it did not run.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        let state = self.state.lock();
        matches!(&state.head, Some(Err(answer)) if answer.execution == Execution::NotExecuted)
    }

    /// Ends the call without an answer.
    pub fn cancel(&self) {
        self.cancel.cancel();
    }

    /// Resolves when the call was cancelled.
    pub async fn cancelled(&self) {
        self.cancel.cancelled().await;
    }

    /// The ingress asks over a new connection, so that nothing more comes over the first.
    pub fn ask_again(&self) {
        self.asked_again.cancel();
    }

    /// Resolves when the ingress asked over a new connection.
    pub async fn asked_again(&self) {
        self.asked_again.cancelled().await;
    }

    /// Refuses the call; nothing follows.
    pub fn refuse(&self, answer: ErrorAnswer) {
        let mut state = self.state.lock();
        state.head = Some(Err(answer));
        state.end = Some(End::Whole);
        state.wake_readers();
    }

    /// Writes the header section of the answer.
    pub fn begin(&self, head: Parts) {
        let mut state = self.state.lock();
        state.head = Some(Ok(head));
        state.wake_readers();
    }

    /// Writes a part of the answer once there is room for it.
    pub async fn push(&self, frame: Frame<Bytes>) {
        std::future::poll_fn(|cx| self.poll_room(cx)).await;
        let piece = match frame.into_data() {
            Ok(data) => Piece::Data(data),
            Err(frame) => match frame.into_trailers() {
                Ok(trailers) => Piece::Trailers(trailers),
                Err(_) => return,
            },
        };
        let mut state = self.state.lock();
        state.held_bytes += piece.bytes();
        state.pieces.push_back(piece);
        state.wake_readers();
    }

    /// Ends the answer, whole or not; what was said first stays.
    pub fn end(&self, whole: bool) {
        let mut state = self.state.lock();
        state.end.get_or_insert(if whole { End::Whole } else { End::Cut });
        let lost = || Err(ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the answer is lost"));
        state.head.get_or_insert_with(lost);
        state.wake_readers();
    }

    /// Size of the answer when all of it is held and may be read again.
    #[must_use]
    pub fn kept_bytes(&self) -> Option<usize> {
        let state = self.state.lock();
        (state.first == 0 && state.end == Some(End::Whole)).then_some(state.held_bytes)
    }

    /// Reads the answer from the start.
    ///
    /// # Errors
    ///
    /// With the refusal when the call was refused, or when the start of the answer is gone.
    pub async fn read(self: Arc<Self>) -> Result<Response<RelayBody>, ErrorAnswer> {
        self.take_reader()?;
        let body = RelayBody { relay: self, next: 0 };
        let head = std::future::poll_fn(|cx| body.poll_head(cx)).await?;
        Ok(Response::from_parts(head, body))
    }

    fn take_reader(&self) -> Result<(), ErrorAnswer> {
        let mut state = self.state.lock();
        if state.first > 0 {
            let message = "the call ran and the start of its answer is gone";
            return Err(ErrorAnswer::new(ErrorKind::OutcomeUnknown, message));
        }
        state.readers += 1;
        Ok(())
    }

    /// Room is there while little is held, or when nobody is left to read it.
    fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.held_bytes < MAX_KEPT_ANSWER_BYTES {
            return Poll::Ready(());
        }
        if state.readers == 0 {
            state.drop_all();
            return Poll::Ready(());
        }
        state.waiting_writer = Some(cx.waker().clone());
        state.wake_readers();
        Poll::Pending
    }
}

impl State {
    fn wake_readers(&mut self) {
        for waker in self.waiting_readers.drain(..) {
            waker.wake();
        }
    }

    fn drop_all(&mut self) {
        self.first += self.pieces.len();
        self.pieces.clear();
        self.held_bytes = 0;
    }

    /// Drops what the only reader has read, once the answer is too large to be kept.
    fn drop_read(&mut self, next: usize) {
        if self.waiting_writer.is_none() || self.readers > 1 {
            return;
        }
        while self.first < next
            && let Some(piece) = self.pieces.pop_front()
        {
            self.first += 1;
            self.held_bytes -= piece.bytes();
        }
        if self.held_bytes < MAX_KEPT_ANSWER_BYTES
            && let Some(writer) = self.waiting_writer.take()
        {
            writer.wake();
        }
    }
}

impl Piece {
    fn bytes(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Trailers(_) => 0,
        }
    }
}

/// One reader of a relayed answer.
#[derive(Debug)]
pub struct RelayBody {
    relay: Arc<AnswerRelay>,
    next: usize,
}

impl RelayBody {
    fn poll_head(&self, cx: &Context<'_>) -> Poll<Result<Parts, ErrorAnswer>> {
        let mut state = self.relay.state.lock();
        if let Some(head) = &state.head {
            return Poll::Ready(head.clone());
        }
        state.waiting_readers.push(cx.waker().clone());
        Poll::Pending
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = self.get_mut();
        let mut state = this.relay.state.lock();
        state.drop_read(this.next);
        let Some(offset) = this.next.checked_sub(state.first) else {
            return Poll::Ready(Some(DroppedSnafu.fail()));
        };
        if let Some(piece) = state.pieces.get(offset).cloned() {
            this.next += 1;
            return Poll::Ready(Some(Ok(match piece {
                Piece::Data(data) => Frame::data(data),
                Piece::Trailers(trailers) => Frame::trailers(trailers),
            })));
        }
        match state.end {
            Some(End::Whole) => Poll::Ready(None),
            Some(End::Cut) => Poll::Ready(Some(CutSnafu.fail())),
            None => {
                state.waiting_readers.push(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.relay.state.lock();
        state.end == Some(End::Whole) && self.next == state.first + state.pieces.len()
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.relay.state.lock();
        let whole = self.next == 0 && state.first == 0 && state.end == Some(End::Whole);
        // A size would be sent in place of the trailers.
        let trailers = matches!(state.pieces.back(), Some(Piece::Trailers(_)));
        if whole && !trailers { SizeHint::with_exact(state.held_bytes as u64) } else { SizeHint::default() }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        let mut state = self.relay.state.lock();
        state.readers -= 1;
        if let Some(writer) = state.waiting_writer.take() {
            writer.wake();
        }
    }
}
