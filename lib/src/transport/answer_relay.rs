//! Buffer between the upstream's answer to a call and the readers of that answer.
//!
//! A call that may run only once continues when the connection that carried it is lost.
//! Its answer is collected here, and an ingress that reconnects reads it from the start.

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

/// Largest answer that is buffered completely, in bytes; a larger one can be read only once.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = 256 * 1024;

/// Reason why the body of a relayed answer ended early.
#[derive(Clone, Copy, Debug, Snafu)]
pub enum AnswerRelayError {
    /// The upstream's answer ended before it was complete.
    #[snafu(display("the upstream's answer was truncated"))]
    Truncated,
    /// A chunk was discarded before this reader received it.
    #[snafu(display("a part of the answer was discarded before it was read"))]
    Dropped,
}

#[derive(Clone, Debug)]
enum Chunk {
    Data(Bytes),
    Trailers(HeaderMap),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Truncated,
}

/// Buffered answer and the tasks that wait for its progress.
#[derive(Debug, Default)]
struct State {
    head: Option<Result<Parts, ErrorAnswer>>,
    chunks: VecDeque<Chunk>,
    /// Index of the first buffered chunk in the answer, which is the number of discarded chunks.
    first_index: usize,
    buffered_bytes: usize,
    end: Option<End>,
    readers: usize,
    waiting_readers: Vec<Waker>,
    waiting_writer: Option<Waker>,
}

/// The answer of one call, written once and read by any number of readers.
#[derive(Debug, Default)]
pub struct AnswerRelay {
    state: Mutex<State>,
    /// Distinguishes different requests that carry the same issued key.
    fingerprint: u64,
    cancel: CancellationToken,
    reconnected: CancellationToken,
}

impl AnswerRelay {
    /// Creates the relay for the answer to a request with the given fingerprint.
    #[must_use]
    pub fn new(fingerprint: u64) -> Self {
        Self { fingerprint, ..Self::default() }
    }

    /// Returns the fingerprint of the relay's request.
    #[must_use]
    pub const fn fingerprint(&self) -> u64 {
        self.fingerprint
    }

    /// Returns whether the call failed with proof that it was not executed.
    #[must_use]
    pub fn is_not_executed(&self) -> bool {
        let state = self.state.lock();
        matches!(&state.head, Some(Err(answer)) if answer.execution == Execution::NotExecuted)
    }

    /// Requests cancellation of the call, for example when its caller disconnects.
    pub fn cancel(&self) {
        self.cancel.cancel();
    }

    /// Completes once the call is cancelled.
    pub async fn cancelled(&self) {
        self.cancel.cancelled().await;
    }

    /// Records that the ingress reconnected, so that the first connection delivers no more of the request.
    pub fn record_reconnect(&self) {
        self.reconnected.cancel();
    }

    /// Completes once the ingress has reconnected.
    pub async fn reconnected(&self) {
        self.reconnected.cancelled().await;
    }

    /// Ends the answer with an error in place of a response.
    pub fn fail(&self, answer: ErrorAnswer) {
        let mut state = self.state.lock();
        state.head = Some(Err(answer));
        state.end = Some(End::Complete);
        state.wake_readers();
    }

    /// Writes the header section of the answer.
    pub fn write_head(&self, head: Parts) {
        let mut state = self.state.lock();
        state.head = Some(Ok(head));
        state.wake_readers();
    }

    /// Writes a frame of the answer body once the buffer has capacity.
    pub async fn write_frame(&self, frame: Frame<Bytes>) {
        std::future::poll_fn(|cx| self.poll_capacity(cx)).await;
        let chunk = match frame.into_data() {
            Ok(data) => Chunk::Data(data),
            Err(frame) => match frame.into_trailers() {
                Ok(trailers) => Chunk::Trailers(trailers),
                Err(_) => return,
            },
        };
        let mut state = self.state.lock();
        state.buffered_bytes += chunk.bytes();
        state.chunks.push_back(chunk);
        state.wake_readers();
    }

    /// Ends the answer as complete or truncated; an end or a head that is already set remains.
    pub fn finish(&self, complete: bool) {
        let mut state = self.state.lock();
        state.end.get_or_insert(if complete { End::Complete } else { End::Truncated });
        let lost_answer = || Err(ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the answer is lost"));
        state.head.get_or_insert_with(lost_answer);
        state.wake_readers();
    }

    /// Returns the size of the answer in bytes if it is complete and can be read again from the start.
    #[must_use]
    pub fn replayable_bytes(&self) -> Option<usize> {
        let state = self.state.lock();
        (state.first_index == 0 && state.end == Some(End::Complete)).then_some(state.buffered_bytes)
    }

    /// Returns the answer, read from its start, once its head is available.
    ///
    /// # Errors
    ///
    /// Returns the call's error answer if it failed, or `OutcomeUnknown` if the start of the answer was
    /// discarded.
    pub async fn read(self: Arc<Self>) -> Result<Response<AnswerRelayBody>, ErrorAnswer> {
        self.register_reader()?;
        let body = AnswerRelayBody { relay: self, next_index: 0 };
        let head = std::future::poll_fn(|cx| body.poll_head(cx)).await?;
        Ok(Response::from_parts(head, body))
    }

    fn register_reader(&self) -> Result<(), ErrorAnswer> {
        let mut state = self.state.lock();
        if state.first_index > 0 {
            let message = "the call ran and the start of its answer is gone";
            return Err(ErrorAnswer::new(ErrorKind::OutcomeUnknown, message));
        }
        state.readers += 1;
        Ok(())
    }

    /// Polls for capacity to write a chunk.
    ///
    /// A full buffer waits for a reader; without readers it is discarded, so that the call can complete.
    fn poll_capacity(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.state.lock();
        if state.buffered_bytes < MAX_BUFFERED_ANSWER_BYTES {
            return Poll::Ready(());
        }
        if state.readers == 0 {
            state.discard_all();
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

    fn discard_all(&mut self) {
        self.first_index += self.chunks.len();
        self.chunks.clear();
        self.buffered_bytes = 0;
    }

    /// Discards the chunks that the only reader has read, once the answer exceeds the buffer.
    fn discard_read(&mut self, next_index: usize) {
        if self.waiting_writer.is_none() || self.readers > 1 {
            return;
        }
        while self.first_index < next_index
            && let Some(chunk) = self.chunks.pop_front()
        {
            self.first_index += 1;
            self.buffered_bytes -= chunk.bytes();
        }
        if self.buffered_bytes < MAX_BUFFERED_ANSWER_BYTES
            && let Some(writer) = self.waiting_writer.take()
        {
            writer.wake();
        }
    }
}

impl Chunk {
    fn bytes(&self) -> usize {
        match self {
            Self::Data(data) => data.len(),
            Self::Trailers(_) => 0,
        }
    }
}

/// One reader of a relayed answer.
#[derive(Debug)]
pub struct AnswerRelayBody {
    relay: Arc<AnswerRelay>,
    next_index: usize,
}

impl AnswerRelayBody {
    fn poll_head(&self, cx: &Context<'_>) -> Poll<Result<Parts, ErrorAnswer>> {
        let mut state = self.relay.state.lock();
        if let Some(head) = &state.head {
            return Poll::Ready(head.clone());
        }
        state.waiting_readers.push(cx.waker().clone());
        Poll::Pending
    }
}

impl Body for AnswerRelayBody {
    type Data = Bytes;
    type Error = AnswerRelayError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerRelayError>>> {
        let this = self.get_mut();
        let mut state = this.relay.state.lock();
        state.discard_read(this.next_index);
        let Some(offset) = this.next_index.checked_sub(state.first_index) else {
            return Poll::Ready(Some(DroppedSnafu.fail()));
        };
        if let Some(chunk) = state.chunks.get(offset).cloned() {
            this.next_index += 1;
            return Poll::Ready(Some(Ok(match chunk {
                Chunk::Data(data) => Frame::data(data),
                Chunk::Trailers(trailers) => Frame::trailers(trailers),
            })));
        }
        match state.end {
            Some(End::Complete) => Poll::Ready(None),
            Some(End::Truncated) => Poll::Ready(Some(TruncatedSnafu.fail())),
            None => {
                state.waiting_readers.push(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let state = self.relay.state.lock();
        state.end == Some(End::Complete) && self.next_index == state.first_index + state.chunks.len()
    }

    fn size_hint(&self) -> SizeHint {
        let state = self.relay.state.lock();
        let complete = self.next_index == 0 && state.first_index == 0 && state.end == Some(End::Complete);
        // With an exact size hyper sends a content length, and HTTP/1.1 trailers can't follow such a body.
        let trailers = matches!(state.chunks.back(), Some(Chunk::Trailers(_)));
        if complete && !trailers {
            SizeHint::with_exact(state.buffered_bytes as u64)
        } else {
            SizeHint::default()
        }
    }
}

impl Drop for AnswerRelayBody {
    fn drop(&mut self) {
        let mut state = self.relay.state.lock();
        state.readers -= 1;
        if let Some(writer) = state.waiting_writer.take() {
            writer.wake();
        }
    }
}
