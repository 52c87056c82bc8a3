//! Calls through another node's gate, seen through when their connection is lost.
//!
//! A call that may run only once is never sent again after its first byte. When its
//! connection fails, the gate is asked for it by its identity over a new one.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Uri;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use snafu::Snafu;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::protocol::member::MemberId;
use crate::protocol::resolve_wish::ResolveWish;
use crate::transport::call_body::BodyError;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::whole_if_small;
use crate::transport::gate::Gate;
use crate::transport::ingress::RETRY_HINT;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::PeerChannel;
use crate::transport::peer_channel::PeerError;

/// Result of a call through a gate.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

const RESOLVE_PAUSE: Duration = Duration::from_millis(20);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A call on its way to the gate of another node.
#[derive(Clone, Copy, Debug)]
pub struct PeerCall<'a> {
    /// Identity of the call.
    pub id: &'a CallId,
    /// Whose gate it is.
    pub gate: &'a MemberId,
    /// Where the gate listens.
    pub addr: SocketAddr,
    /// When the call is of no more use.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it goes on when its caller leaves, who may come again for its answer.
    pub outlives_caller: bool,
}

/// Sends a call to a gate and waits for the header section of the answer.
///
/// # Errors
///
/// With the gate's refusal, or with what is known of a call whose answer was lost.
pub async fn through_peer(
    channels: &CallChannels,
    call: PeerCall<'_>,
    mut request: Request<CallBody>,
) -> Result<Response<PeerAnswerBody>> {
    let question = Question {
        id: call.id.clone(),
        gate: HeaderValue::from_str(&call.gate.to_string()).ok(),
        addr: call.addr,
        deadline: call.deadline,
        channel: channels.get(call.addr),
    };
    if let Some(gate) = &question.gate {
        request.headers_mut().insert(headers::GATE, gate.clone());
    }
    *request.uri_mut() = question.channel.absolute(request.uri());
    let caller =
        (!call.idempotent && !call.outlives_caller).then(|| PeerCaller { question: Some(question.clone()) });
    let answered = async {
        let response = question.channel.send(request).await?;
        Ok::<_, PeerError>(whole_if_small(response, call.deadline).await)
    };
    let answer = match tokio::time::timeout_at(call.deadline, answered).await {
        Ok(Ok(Ok(response))) => refusal_or_answer(response),
        Ok(Ok(Err(error))) => {
            log::debug!("answer cut; call={} peer={} error={error}", call.id, call.addr);
            question.resolve_if(!call.idempotent).await
        }
        // An earlier copy of a call that may come again may have run, whatever became of this one.
        Ok(Err(error)) if error.proves_not_executed() && !call.outlives_caller => {
            Err(ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string()).retry_after(RETRY_HINT))
        }
        Ok(Err(error)) => {
            log::debug!("peer lost; call={} peer={} error={error}", call.id, call.addr);
            question.resolve_if(!call.idempotent && !error.proves_not_executed()).await
        }
        Err(_) => Err(ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "no answer within the deadline")),
    };
    if let Some(caller) = caller {
        caller.answered();
    }
    let question = (!call.idempotent).then_some(question);
    answer.map(|response| response.map(|body| PeerAnswerBody::new(body, question)))
}

/// All that is needed to ask a gate about a call.
#[derive(Clone, Debug)]
struct Question {
    id: CallId,
    gate: Option<HeaderValue>,
    addr: SocketAddr,
    deadline: Instant,
    channel: Arc<PeerChannel<CallBody>>,
}

impl Question {
    async fn resolve_if(&self, runs_only_once: bool) -> Result<Response<CallBody>> {
        if runs_only_once { self.resolve().await } else { Err(connection_lost()) }
    }

    /// Asks for the answer, over new connections, until one holds or the deadline passes.
    async fn resolve(&self) -> Result<Response<CallBody>> {
        let asked = async {
            loop {
                match self.channel.send(self.request(ResolveWish::Attach)).await {
                    Ok(response) => {
                        if let Ok(response) = whole_if_small(response, self.deadline).await {
                            return refusal_or_answer(response);
                        }
                    }
                    Err(error) => log::debug!("cannot resolve; call={} error={error}", self.id),
                }
                tokio::time::sleep(RESOLVE_PAUSE).await;
            }
        };
        tokio::time::timeout_at(self.deadline, asked).await.unwrap_or_else(|_elapsed| Err(connection_lost()))
    }

    async fn cancel(self) {
        let sent = self.channel.send(self.request(ResolveWish::Cancel));
        if !matches!(tokio::time::timeout(CANCEL_TIMEOUT, sent).await, Ok(Ok(_))) {
            log::debug!("cannot cancel; call={} peer={}", self.id, self.addr);
        }
    }

    fn request(&self, wish: ResolveWish) -> Request<CallBody> {
        let mut request = Request::new(CallBody::from(Bytes::new()));
        *request.uri_mut() = self.channel.absolute(&Uri::from_static("/"));
        let fields = request.headers_mut();
        for (name, value) in [(headers::CALL, self.id.to_string()), (headers::RESOLVE, wish.to_string())] {
            if let Ok(value) = HeaderValue::from_str(&value) {
                fields.insert(name, value);
            }
        }
        if let Some(gate) = &self.gate {
            fields.insert(headers::GATE, gate.clone());
        }
        request
    }
}

/// A caller waiting for another node's gate; dropped, it gives the call up there.
#[derive(Debug)]
struct PeerCaller {
    question: Option<Question>,
}

impl PeerCaller {
    fn answered(mut self) {
        self.question = None;
    }
}

impl Drop for PeerCaller {
    fn drop(&mut self) {
        if let (Some(question), Ok(runtime)) = (self.question.take(), Handle::try_current()) {
            runtime.spawn(question.cancel());
        }
    }
}

/// A caller waiting for the gate beside; dropped, it gives the call up there.
#[derive(Debug)]
pub struct OwnGateCaller<'a> {
    gate: &'a Gate,
    id: Option<&'a CallId>,
}

impl<'a> OwnGateCaller<'a> {
    /// A caller of the given call, to be given up when the caller leaves if `ends_with_it`.
    #[must_use]
    pub fn new(gate: &'a Gate, id: &'a CallId, ends_with_it: bool) -> Self {
        Self { gate, id: ends_with_it.then_some(id) }
    }

    /// The caller has its answer.
    pub fn answered(mut self) {
        self.id = None;
    }
}

impl Drop for OwnGateCaller<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.gate.cancel(id);
        }
    }
}

/// Why the body of an answer from a gate ended early.
#[derive(Debug, Snafu)]
pub enum PeerAnswerError {
    /// The connection failed and the rest can't be had.
    #[snafu(display("the answer was cut short"))]
    Cut {
        /// What was seen on the connection.
        source: BodyError,
    },
    /// The rest can't be had over a new connection either.
    #[snafu(display("the rest of the answer is lost"))]
    Lost,
}

#[derive(Debug)]
enum Source {
    Open(CallBody),
    Asking(JoinHandle<Result<Response<CallBody>>>),
    Lost,
}

/// Body of an answer from a gate, read on over a new connection when the first fails.
#[derive(Debug)]
pub struct PeerAnswerBody {
    source: Source,
    question: Option<Question>,
    delivered_bytes: u64,
    skip_bytes: u64,
    resumed: bool,
}

impl PeerAnswerBody {
    const fn new(body: CallBody, question: Option<Question>) -> Self {
        Self { source: Source::Open(body), question, delivered_bytes: 0, skip_bytes: 0, resumed: false }
    }

    /// Asks for the answer again, unless the call may simply run again.
    fn ask_again(&mut self) -> bool {
        let Some(question) = self.question.clone() else {
            return false;
        };
        self.resumed = true;
        self.skip_bytes = self.delivered_bytes;
        self.source = Source::Asking(tokio::spawn(async move { question.resolve().await }));
        true
    }

    /// What is new in a frame after a resumption.
    fn unseen(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let mut data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return Some(trailers),
        };
        let seen = usize::try_from(self.skip_bytes).unwrap_or(usize::MAX).min(data.len());
        data.advance(seen);
        self.skip_bytes -= seen as u64;
        self.delivered_bytes += data.len() as u64;
        (!data.is_empty()).then(|| Frame::data(data))
    }
}

impl Body for PeerAnswerBody {
    type Data = Bytes;
    type Error = PeerAnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, PeerAnswerError>>> {
        let this = self.get_mut();
        loop {
            match &mut this.source {
                Source::Open(body) => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => {
                        if let Some(frame) = this.unseen(frame) {
                            return Poll::Ready(Some(Ok(frame)));
                        }
                    }
                    Some(Err(source)) if !this.ask_again() => {
                        this.source = Source::Lost;
                        return Poll::Ready(Some(Err(PeerAnswerError::Cut { source })));
                    }
                    Some(Err(_)) => {}
                    None if this.skip_bytes > 0 => this.source = Source::Lost,
                    None => return Poll::Ready(None),
                },
                Source::Asking(asking) => {
                    this.source = match ready!(Pin::new(asking).poll(cx)) {
                        Ok(Ok(response)) => Source::Open(response.into_body()),
                        _ => Source::Lost,
                    };
                }
                Source::Lost => return Poll::Ready(Some(LostSnafu.fail())),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Open(body) if self.skip_bytes == 0 && body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Open(body) if !self.resumed => body.size_hint(),
            _ => SizeHint::default(),
        }
    }
}

/// What the caller is told when one of its attempts may have run.
///
/// A later attempt that proves that it did not run itself proves nothing for the call.
#[must_use]
pub fn outcome_of_all(last: ErrorAnswer, earlier_may_have_run: bool) -> ErrorAnswer {
    if !earlier_may_have_run || last.execution == Execution::OutcomeUnknown {
        return last;
    }
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, format!("an earlier attempt may have run: {}", last.message))
}

fn refusal_or_answer(response: Response<CallBody>) -> Result<Response<CallBody>> {
    let kind = response.headers().get(headers::ERROR).and_then(|value| value.to_str().ok());
    let Some(kind) = kind.and_then(ErrorKind::from_name) else {
        return Ok(response);
    };
    let after_ms = response.headers().get(headers::RETRY_AFTER_MS);
    let after_ms = after_ms.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
    let mut answer = ErrorAnswer::new(kind, "the upstream's gate refused or lost the call");
    let load = response.headers().get(headers::LOAD).and_then(|value| value.to_str().ok());
    answer.load = load.and_then(|text| text.parse().ok());
    let execution = response.headers().get(headers::EXECUTION);
    if execution.is_some_and(|value| value.as_bytes() != Execution::NotExecuted.name().as_bytes()) {
        answer = answer.maybe_executed();
    }
    Err(match after_ms {
        Some(millis) => answer.retry_after(Duration::from_millis(millis)),
        None => answer,
    })
}

fn connection_lost() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the connection failed while the call was under way")
}
