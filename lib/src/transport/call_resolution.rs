//! Calls through another node's gate, resolved over a new connection when theirs is lost.
//!
//! A call that may run only once is never sent again after its first byte. When its connection fails,
//! the gate is queried by the identity of the call over a new connection.

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

use crate::log_event_limited;
use crate::protocol::answer::ErrorAnswer;
use crate::protocol::call_id::CallId;
use crate::protocol::error_kind::ErrorKind;
use crate::protocol::error_kind::Execution;
use crate::protocol::headers;
use crate::protocol::member::MemberId;
use crate::protocol::resolve_request::ResolveRequest;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::call_body::BodyError;
use crate::transport::call_body::CallBody;
use crate::transport::call_body::buffer_if_small;
use crate::transport::gate::Gate;
use crate::transport::ingress::NO_UPSTREAM_RETRY_AFTER;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::PeerChannel;
use crate::transport::peer_channel::PeerError;
use crate::transport::peer_response::PeerResponseError;
use crate::transport::peer_response::check_response;
use crate::transport::peer_response::response_or_error;

/// Result of a call through a gate.
pub type Result<T, E = ErrorAnswer> = std::result::Result<T, E>;

/// Time between two attempts to resolve a call.
const RESOLVE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for sending a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to the gate of another node.
#[derive(Clone, Copy, Debug)]
pub struct PeerCall<'a> {
    /// Identity of the call.
    pub id: &'a CallId,
    /// Member that the gate belongs to.
    pub gate: &'a MemberId,
    /// Address at which the gate listens.
    pub addr: SocketAddr,
    /// Deadline of the call.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it continues when its caller disconnects, because the caller may fetch the answer later.
    pub continues_without_caller: bool,
    /// Metrics of the node.
    pub metrics: &'a SharedMetrics,
}

/// Sends a call to a gate and returns the answer once its header section is received.
///
/// # Errors
///
/// Returns the gate's error answer, or the known outcome of a call whose answer was lost.
pub async fn send_via_peer_gate(
    channels: &CallChannels,
    call: PeerCall<'_>,
    mut request: Request<CallBody>,
) -> Result<Response<PeerAnswerBody>> {
    let resolver = CallResolver {
        id: call.id.clone(),
        gate: HeaderValue::from_str(&call.gate.to_string()).ok(),
        addr: call.addr,
        deadline: call.deadline,
        channel: channels.get(call.addr),
        metrics: Arc::clone(call.metrics),
    };
    if let Some(gate) = &resolver.gate {
        request.headers_mut().insert(headers::GATE, gate.clone());
    }
    *request.uri_mut() = resolver.channel.absolute(request.uri());
    let cancel_guard = (!call.idempotent && !call.continues_without_caller)
        .then(|| PeerCancelGuard { resolver: Some(resolver.clone()) });
    let exchange = async {
        let response = resolver.channel.send(request).await?;
        Ok::<_, PeerError>(buffer_if_small(response, call.deadline).await)
    };
    let answer = match tokio::time::timeout_at(call.deadline, exchange).await {
        Ok(Ok(Ok(response))) => resolver.read_response(response),
        Ok(Ok(Err(error))) => {
            log::debug!("answer truncated; call={} peer={} error={error}", call.id, call.addr);
            resolver.resolve_if(!call.idempotent).await
        }
        // A call that outlives its caller may be a repetition: even if this request was not executed, an
        // earlier one with the same issued key may have been.
        Ok(Err(error)) if error.proves_not_executed() && !call.continues_without_caller => {
            Err(ErrorAnswer::new(ErrorKind::NoUpstream, error.to_string())
                .retry_after(NO_UPSTREAM_RETRY_AFTER))
        }
        Ok(Err(error)) => {
            log::debug!("connection to peer failed; call={} peer={} error={error}", call.id, call.addr);
            resolver.resolve_if(!call.idempotent && !error.proves_not_executed()).await
        }
        Err(_) => Err(ErrorAnswer::new(ErrorKind::DeadlineWhileRunning, "no answer within the deadline")),
    };
    if let Some(cancel_guard) = cancel_guard {
        cancel_guard.disarm();
    }
    let resolver = (!call.idempotent).then_some(resolver);
    answer.map(|response| response.map(|body| PeerAnswerBody::new(body, resolver)))
}

/// Queries a gate for the outcome of a call, or cancels the call there.
#[derive(Clone, Debug)]
struct CallResolver {
    id: CallId,
    gate: Option<HeaderValue>,
    addr: SocketAddr,
    deadline: Instant,
    channel: Arc<PeerChannel<CallBody>>,
    metrics: SharedMetrics,
}

impl CallResolver {
    /// Resolves the call if `must_resolve` is set, and otherwise fails with an unknown outcome.
    async fn resolve_if(&self, must_resolve: bool) -> Result<Response<CallBody>> {
        if must_resolve { self.resolve().await } else { Err(connection_lost()) }
    }

    /// Queries the gate for the answer until one is received or the deadline passes.
    async fn resolve(&self) -> Result<Response<CallBody>> {
        let resolution = async {
            loop {
                match self.channel.send(self.request(ResolveRequest::Attach)).await {
                    Ok(response) => {
                        if let Ok(response) = buffer_if_small(response, self.deadline).await {
                            return self.read_response(response);
                        }
                    }
                    Err(error) => log::debug!("cannot resolve call; call={} error={error}", self.id),
                }
                tokio::time::sleep(RESOLVE_RETRY_INTERVAL).await;
            }
        };
        tokio::time::timeout_at(self.deadline, resolution)
            .await
            .unwrap_or_else(|_elapsed| Err(connection_lost()))
    }

    /// Returns the response, or the error answer if it describes an error or is no answer of the gate.
    fn read_response(&self, response: Response<CallBody>) -> Result<Response<CallBody>> {
        let checked = check_response(response.status(), response.headers());
        checked.map_err(|error| self.record_invalid_response(error))?;
        response_or_error(response)
    }

    /// Counts and logs a response that is no answer of the gate, and returns the error answer for its call.
    fn record_invalid_response(&self, error: PeerResponseError) -> ErrorAnswer {
        match error {
            PeerResponseError::NotFinal { status } => {
                Metrics::count(&self.metrics.no_final_responses, "peer");
                log_event_limited!(
                    Warn,
                    "peer sent no final response",
                    call = &self.id,
                    peer = self.addr,
                    status = status,
                );
            }
            PeerResponseError::NotFromGate { status } => log_event_limited!(
                Warn,
                "peer answered a call without its gate",
                call = &self.id,
                peer = self.addr,
                status = status,
            ),
        }
        ErrorAnswer::new(ErrorKind::OutcomeUnknown, error.to_string())
    }

    /// Cancels the call at its gate, without a retry.
    async fn cancel(self) {
        let sent = self.channel.send(self.request(ResolveRequest::Cancel));
        if !matches!(tokio::time::timeout(CANCEL_TIMEOUT, sent).await, Ok(Ok(_))) {
            log::debug!("cannot cancel call; call={} peer={}", self.id, self.addr);
        }
    }

    fn request(&self, resolve_request: ResolveRequest) -> Request<CallBody> {
        let mut request = Request::new(CallBody::from(Bytes::new()));
        *request.uri_mut() = self.channel.absolute(&Uri::from_static("/"));
        let fields = request.headers_mut();
        for (name, value) in
            [(headers::CALL, self.id.to_string()), (headers::RESOLVE, resolve_request.to_string())]
        {
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

/// Cancels a call at another node's gate when dropped before the answer is received.
#[derive(Debug)]
struct PeerCancelGuard {
    resolver: Option<CallResolver>,
}

impl PeerCancelGuard {
    fn disarm(mut self) {
        self.resolver = None;
    }
}

impl Drop for PeerCancelGuard {
    fn drop(&mut self) {
        if let (Some(resolver), Ok(runtime)) = (self.resolver.take(), Handle::try_current()) {
            runtime.spawn(resolver.cancel());
        }
    }
}

/// Cancels a call at this node's own gate when dropped before the answer is received.
#[derive(Debug)]
pub struct OwnGateCancelGuard<'a> {
    gate: &'a Gate,
    id: Option<&'a CallId>,
}

impl<'a> OwnGateCancelGuard<'a> {
    /// Creates the guard of a call, which cancels the call only if `cancel_on_drop` is set.
    #[must_use]
    pub fn new(gate: &'a Gate, id: &'a CallId, cancel_on_drop: bool) -> Self {
        Self { gate, id: cancel_on_drop.then_some(id) }
    }

    /// Disarms the guard once the answer is received.
    pub fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for OwnGateCancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.gate.cancel(id);
        }
    }
}

/// Reason why the body of an answer from a gate ended early.
#[derive(Debug, Snafu)]
pub enum PeerAnswerError {
    /// The connection failed and the call is not resolved, since it may run again.
    #[snafu(display("the answer was truncated: {source}"))]
    Truncated {
        /// Error of the connection.
        source: BodyError,
    },
    /// The rest of the answer is not available over a new connection either.
    #[snafu(display("the rest of the answer is lost"))]
    Lost,
}

#[derive(Debug)]
enum Source {
    Open(CallBody),
    Resolving(JoinHandle<Result<Response<CallBody>>>),
    Lost,
}

/// Body of an answer from a gate, continued over a new connection when the first one fails.
#[derive(Debug)]
pub struct PeerAnswerBody {
    source: Source,
    resolver: Option<CallResolver>,
    delivered_bytes: u64,
    skip_bytes: u64,
    resumed: bool,
}

impl PeerAnswerBody {
    const fn new(body: CallBody, resolver: Option<CallResolver>) -> Self {
        Self { source: Source::Open(body), resolver, delivered_bytes: 0, skip_bytes: 0, resumed: false }
    }

    /// Starts to fetch the answer again; returns false if the call is idempotent and may run again instead.
    fn resume(&mut self) -> bool {
        let Some(resolver) = self.resolver.clone() else {
            return false;
        };
        self.resumed = true;
        self.skip_bytes = self.delivered_bytes;
        self.source = Source::Resolving(tokio::spawn(async move { resolver.resolve().await }));
        true
    }

    /// Returns the part of a frame that was not delivered before the answer was resumed.
    fn without_delivered(&mut self, frame: Frame<Bytes>) -> Option<Frame<Bytes>> {
        let mut data = match frame.into_data() {
            Ok(data) => data,
            Err(trailers) => return Some(trailers),
        };
        let skipped_bytes = usize::try_from(self.skip_bytes).unwrap_or(usize::MAX).min(data.len());
        data.advance(skipped_bytes);
        self.skip_bytes -= skipped_bytes as u64;
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
                        if let Some(frame) = this.without_delivered(frame) {
                            return Poll::Ready(Some(Ok(frame)));
                        }
                    }
                    Some(Err(source)) if !this.resume() => {
                        this.source = Source::Lost;
                        return Poll::Ready(Some(Err(PeerAnswerError::Truncated { source })));
                    }
                    Some(Err(_)) => {}
                    None if this.skip_bytes > 0 => this.source = Source::Lost,
                    None => return Poll::Ready(None),
                },
                Source::Resolving(resolving) => {
                    this.source = match ready!(Pin::new(resolving).poll(cx)) {
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

/// Returns the error answer for a call, given that of its last attempt.
///
/// The proof that the last attempt was not executed does not cover an earlier attempt that may have been.
#[must_use]
pub fn combined_error(last: ErrorAnswer, earlier_may_have_run: bool) -> ErrorAnswer {
    if !earlier_may_have_run || last.execution == Execution::OutcomeUnknown {
        return last;
    }
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, format!("an earlier attempt may have run: {}", last.message))
}

/// Returns the error answer for a call whose connection failed and whose outcome is unknown.
fn connection_lost() -> ErrorAnswer {
    ErrorAnswer::new(ErrorKind::OutcomeUnknown, "the connection failed while the call was under way")
}
